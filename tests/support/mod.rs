//! Shared by the tests that run the daemons as processes: a cluster on loopback
//! addresses, and an HTTP client.

// Not every test file uses all of it.
#![allow(dead_code)]

pub mod raw;

use std::{
    collections, env, fs, net, path, process,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{client::legacy, rt::TokioExecutor};

/// First key of the operator, passed to every control replica.
pub const OPERATOR_KEY: &str = "hbd.operator.tests-first-operator-key";

/// Caller key of the workspace `lilies`, granted by [`Cluster::configure`].
pub const CALLER_KEY: &str = "hbd.lilies-shop.tests-caller-key";

/// Longest wait for a condition or a response before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

pub const SECRET: &str = "secret shared by the processes of a test";

static NEXT_CLUSTER: AtomicU64 = AtomicU64::new(0);

/// A control or entry process, killed on drop.
pub struct Daemon {
    child: process::Child,
}

impl Daemon {
    fn spawn(program: &str, arguments: &[String]) -> Self {
        let child = process::Command::new(program)
            .args(arguments)
            .env("HORNBEAMDOCK_SECRET", SECRET)
            .env("HORNBEAMDOCK_LOG", "warn")
            .spawn()
            .expect("failed to start the daemon");
        Self { child }
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = process::Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.is_ok_and(|s| s.success()), "kill -{name} {id}");
    }

    /// Kills the process without a shutdown, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself, without a time limit.
    pub fn wait(&mut self) -> process::ExitStatus {
        self.child.wait().expect("failed to wait for the daemon")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A cluster of control replicas and entry processes, killed on drop.
pub struct Cluster {
    /// Control replicas by id, starting with 1.
    pub replicas: collections::BTreeMap<u64, Daemon>,
    pub entries: Vec<Daemon>,
    /// Address of each entry process for callers and operators.
    pub listen_addresses: Vec<net::SocketAddr>,
    /// Address of each entry process for announcements of targets.
    pub internal_addresses: Vec<net::SocketAddr>,
    peers: collections::BTreeMap<u64, net::SocketAddr>,
    folder: path::PathBuf,
    pub client: Client,
}

/// Returns free addresses that no other process takes before the daemons bind them.
///
/// Each cluster has its own loopback IP, and outgoing connections do not take their
/// ports from it. All listeners are open at the same time, because the system might
/// otherwise assign a port twice.
fn free_addresses(cluster: u64, count: usize) -> Vec<net::SocketAddr> {
    let [.., high, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, high.max(1), low, cluster as u8 + 1);
    let bind = |_| net::TcpListener::bind((ip, 0)).expect("failed to bind a free port");
    let listeners: Vec<_> = (0..count).map(bind).collect();
    listeners.iter().map(|l| l.local_addr().expect("a bound listener has an address")).collect()
}

impl Cluster {
    /// Starts a cluster and waits until every entry process is ready.
    pub async fn start(replicas: u64, entries: usize) -> Self {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::SeqCst);
        let name = format!("hornbeamdock-test-{}-{number}", process::id());
        let mut addresses = free_addresses(number, 2 * entries + replicas as usize).into_iter();
        let mut cluster = Self {
            replicas: collections::BTreeMap::new(),
            entries: Vec::new(),
            listen_addresses: addresses.by_ref().take(entries).collect(),
            internal_addresses: addresses.by_ref().take(entries).collect(),
            peers: (1..=replicas).zip(addresses).collect(),
            folder: env::temp_dir().join(name),
            client: Client::new(),
        };
        // A run that was killed leaves its folders, and process ids come again.
        let _ = fs::remove_dir_all(&cluster.folder);
        for id in 1..=replicas {
            cluster.start_replica(id);
        }
        for entry in 0..entries {
            let daemon = cluster.spawn_entry(entry);
            cluster.entries.push(daemon);
        }
        for entry in 0..entries {
            cluster.wait_until_ready(entry).await;
        }
        cluster
    }

    /// Returns the control replicas with their addresses.
    pub fn replicas(&self) -> impl Iterator<Item = (u64, net::SocketAddr)> {
        self.peers.iter().map(|(id, address)| (*id, *address))
    }

    /// Returns the data folder of a control replica.
    pub fn data_folder(&self, id: u64) -> path::PathBuf {
        self.folder.join(format!("control-{id}"))
    }

    /// Starts a control replica, and kills the one that runs under this id, if any.
    pub fn start_replica(&mut self, id: u64) {
        let peers: Vec<_> =
            self.peers.iter().map(|(id, address)| format!("{id}={address}")).collect();
        let arguments = [
            ("--id", id.to_string()),
            ("--domain", format!("domain-{id}")),
            ("--peers", peers.join(",")),
            ("--data", self.data_folder(id).display().to_string()),
            ("--first-key", OPERATOR_KEY.to_owned()),
            ("--election-ms", "500".to_owned()),
        ];
        let arguments: Vec<_> =
            arguments.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        let daemon = Daemon::spawn(env!("CARGO_BIN_EXE_hornbeamdock-control"), &arguments);
        self.replicas.insert(id, daemon);
    }

    fn spawn_entry(&self, entry: usize) -> Daemon {
        let replicas: Vec<_> =
            self.peers.iter().map(|(id, address)| format!("{id}={address}")).collect();
        let arguments = [
            ("--name", format!("entry-{entry}")),
            ("--domain", "a".to_owned()),
            ("--listen", self.listen_addresses[entry].to_string()),
            ("--internal", self.internal_addresses[entry].to_string()),
            ("--control", replicas.join(",")),
            ("--notice-ms", "500".to_owned()),
            ("--drain-ms", "30000".to_owned()),
        ];
        let arguments: Vec<_> =
            arguments.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        Daemon::spawn(env!("CARGO_BIN_EXE_hornbeamdock-entry"), &arguments)
    }

    /// Starts an entry process in place of one that has ended.
    pub fn start_entry(&mut self, entry: usize) {
        self.entries[entry] = self.spawn_entry(entry);
    }

    /// Waits until an entry process is ready.
    pub async fn wait_until_ready(&self, entry: usize) {
        wait_until("the entry is ready", || async {
            self.get(entry, "/ready").await.is_some_and(|r| r.status == 200)
        })
        .await;
    }

    /// Deletes the data folder of a control replica, which must not be running.
    pub fn lose_disk(&self, id: u64) {
        fs::remove_dir_all(self.data_folder(id)).expect("failed to delete the data folder");
    }

    /// Sends a GET request without a key to an entry process.
    pub async fn get(&self, entry: usize, path: &str) -> Option<Response> {
        self.client.call(Call::new("GET", self.listen_addresses[entry], path)).await
    }

    /// Sends a request with the operator's key to the admin API.
    pub async fn admin(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Response> {
        let path = format!("/admin/v1/{path}");
        self.client
            .call(
                Call::new(method, self.listen_addresses[entry], &path).key(OPERATOR_KEY).body(body),
            )
            .await
    }

    /// Repeats a request to the admin API until its status is below 300.
    pub async fn admin_until_accepted(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Response {
        let start = Instant::now();
        loop {
            match self.admin(entry, method, path, body).await {
                Some(response) if response.status < 300 => return response,
                other if start.elapsed() > WAIT_TIMEOUT => panic!("{method} {path}: {other:?}"),
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Applies the records of the quickstart and grants [`CALLER_KEY`].
    pub async fn configure(&self) {
        let records = include_str!("../../examples/quickstart.json");
        self.admin_until_accepted(0, "POST", "records", records).await;
        let grant = serde_json::json!(
            {"id": "lilies-shop", "key": CALLER_KEY, "scope": {"caller": "lilies"}}
        );
        self.admin_until_accepted(0, "POST", "keys?wait=true", &grant.to_string()).await;
    }

    /// Returns the status of the cluster that an entry process reports.
    pub async fn status(&self, entry: usize) -> serde_json::Value {
        self.admin_until_accepted(entry, "GET", "status", "").await.json()
    }

    /// Waits until an entry process reports a leader, and returns the leader's id.
    pub async fn wait_for_leader(&self, entry: usize) -> u64 {
        let start = Instant::now();
        loop {
            let status = self.status(entry).await;
            let is_leader = |r: &&serde_json::Value| r["owner"] == true;
            let leader = status["control"].as_array().into_iter().flatten().find(is_leader);
            if let Some(id) = leader.and_then(|r| r["node"].as_u64()) {
                return id;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no leader: {status}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns a chat call to be sent through an entry process. `fields` are JSON
    /// fields beside the model.
    pub fn chat_call(&self, entry: usize, fields: &str) -> Call {
        let body = format!(r#"{{"model": "adviser", {fields}}}"#);
        Call::new("POST", self.listen_addresses[entry], "/v1/chat/completions")
            .key(CALLER_KEY)
            .body(&body)
    }

    /// Returns a shipment call, which is not idempotent, with an idempotency key.
    pub fn shipment_call(&self, entry: usize, key: &str, body: &str) -> Call {
        Call::new("POST", self.listen_addresses[entry], "/shipments")
            .key(CALLER_KEY)
            .header("idempotency-key", key)
            .body(body)
    }

    /// Repeats a call until its status is below 300.
    pub async fn call_until_success(&self, call: impl Fn() -> Call) -> Response {
        let start = Instant::now();
        loop {
            match self.client.call(call()).await {
                Some(response) if response.status < 300 => return response,
                other if start.elapsed() > WAIT_TIMEOUT => panic!("no success: {other:?}"),
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.replicas.clear();
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An HTTP request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    method: String,
    uri: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Call {
    pub fn new(method: &str, address: net::SocketAddr, path: &str) -> Self {
        Self {
            method: method.into(),
            uri: format!("http://{address}{path}"),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }
}

/// A response that was read to its end.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub text: String,
    /// False if the connection failed before the end of the body.
    pub complete: bool,
}

impl Response {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_else(|e| panic!("{e}: {}", self.text))
    }

    /// Returns the `ran` field of an error response, or an empty string.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the type of an error response, or an empty string.
    pub fn error_type(&self) -> String {
        self.json()["error"]["type"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the tokens of a chat completion stream, in order.
    pub fn tokens(&self) -> Vec<String> {
        let data = self.text.lines().filter_map(|l| l.strip_prefix("data: "));
        let chunks = data.filter_map(|d| serde_json::from_str::<serde_json::Value>(d).ok());
        let tokens = chunks.filter_map(|c| {
            c["choices"][0]["delta"]["content"].as_str().map(|t| t.trim().to_owned())
        });
        tokens.collect()
    }
}

/// An HTTP client.
#[derive(Clone)]
pub struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new() -> Self {
        Self { http: legacy::Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Returns a client that speaks only HTTP/2.
    pub fn http2() -> Self {
        Self { http: legacy::Client::builder(TokioExecutor::new()).http2_only(true).build_http() }
    }

    /// Sends a call and returns the head of the response, with its body unread.
    pub async fn begin(&self, call: Call) -> Option<http::Response<Incoming>> {
        let mut request = http::Request::builder().method(call.method.as_str()).uri(&call.uri);
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(call.body))).ok()?;
        self.http.request(request).await.ok()
    }

    /// Sends a call and reads the response. Returns `None` if no response started or
    /// it did not end within [`WAIT_TIMEOUT`].
    pub async fn call(&self, call: Call) -> Option<Response> {
        let response = async {
            let response = self.begin(call).await?;
            Some(read_response(response).await)
        };
        tokio::time::timeout(WAIT_TIMEOUT, response).await.ok().flatten()
    }
}

/// Reads the body of a response.
pub async fn read_response(response: http::Response<Incoming>) -> Response {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        if let Ok(frame) = frame {
            bytes.extend_from_slice(frame.data_ref().map_or(&[], |d| &d[..]));
        } else {
            complete = false;
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Response { status: head.status.as_u16(), headers: head.headers, text, complete }
}

/// Polls `condition` until it holds. `description` is printed if it does not hold
/// within [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(
    description: &str,
    mut condition: impl FnMut() -> F,
) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
