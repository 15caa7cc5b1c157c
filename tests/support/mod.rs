//! What process tests share: a cluster of real daemons on loopback, and a
//! client.

use std::{
    collections, env, fs, net, path, process,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{client::legacy, rt::TokioExecutor};

/// The operator's first key.
pub const OPERATOR: &str = "hbd.operator.tests-first-operator-key";

/// Key of the workspace `lilies`.
pub const CALLER: &str = "hbd.lilies-shop.tests-caller-key";

/// How long a step may take before a test gives up.
pub const PATIENCE: Duration = Duration::from_secs(40);

const SECRET: &str = "a secret that the tests' processes share";

static NEXT: AtomicU64 = AtomicU64::new(0);

/// A daemon that ends with the value.
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
            .expect("the daemon starts");
        Self { child }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = process::Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.is_ok_and(|s| s.success()), "kill -{name} {id}");
    }

    /// Kills it as a power cut does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for it to end by itself.
    pub fn wait(&mut self) -> process::ExitStatus {
        self.child.wait().expect("the daemon can be waited for")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Control replicas and entries.
pub struct Cluster {
    pub controls: collections::BTreeMap<u64, Daemon>,
    pub entries: Vec<Daemon>,
    /// Where callers connect, by entry.
    pub public: Vec<net::SocketAddr>,
    /// Where targets announce themselves, by entry.
    pub internal: Vec<net::SocketAddr>,
    peers: collections::BTreeMap<u64, net::SocketAddr>,
    folder: path::PathBuf,
    pub client: Client,
}

/// Returns addresses that are free, and stay so: each cluster has a loopback
/// address of its own, which no outgoing connection takes a port of. They are
/// held together, or the system might give the same one twice.
fn free(number: u64, count: usize) -> Vec<net::SocketAddr> {
    let [.., high, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, high.max(1), low, number as u8 + 1);
    let bind = |_| net::TcpListener::bind((ip, 0)).expect("a port is free");
    let held: Vec<_> = (0..count).map(bind).collect();
    held.iter().map(|l| l.local_addr().expect("it has an address")).collect()
}

impl Cluster {
    /// Starts a cluster and waits until every entry is ready.
    pub async fn start(controls: u64, entries: usize) -> Self {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("hornbeamdock-test-{}-{number}", process::id());
        let mut addresses = free(number, 2 * entries + controls as usize).into_iter();
        let mut cluster = Self {
            controls: collections::BTreeMap::new(),
            entries: Vec::new(),
            public: addresses.by_ref().take(entries).collect(),
            internal: addresses.by_ref().take(entries).collect(),
            peers: (1..=controls).zip(addresses).collect(),
            folder: env::temp_dir().join(name),
            client: Client::new(),
        };
        for id in 1..=controls {
            cluster.start_control(id);
        }
        for at in 0..entries {
            let daemon = cluster.spawn_entry(at);
            cluster.entries.push(daemon);
        }
        for at in 0..entries {
            cluster.ready(at).await;
        }
        cluster
    }

    /// Returns the data folder of a replica.
    pub fn data(&self, id: u64) -> path::PathBuf {
        self.folder.join(format!("control-{id}"))
    }

    /// Starts a replica, in place of one that ended.
    pub fn start_control(&mut self, id: u64) {
        let peers: Vec<_> = self.peers.iter().map(|(id, at)| format!("{id}={at}")).collect();
        let arguments = [
            ("--id", id.to_string()),
            ("--domain", format!("domain-{id}")),
            ("--peers", peers.join(",")),
            ("--data", self.data(id).display().to_string()),
            ("--first-key", OPERATOR.to_owned()),
            ("--election-ms", "500".to_owned()),
        ];
        let arguments: Vec<_> =
            arguments.into_iter().flat_map(|(f, v)| [f.to_owned(), v]).collect();
        let daemon = Daemon::spawn(env!("CARGO_BIN_EXE_hornbeamdock-control"), &arguments);
        self.controls.insert(id, daemon);
    }

    fn spawn_entry(&self, at: usize) -> Daemon {
        let control: Vec<_> = self.peers.iter().map(|(id, at)| format!("{id}={at}")).collect();
        let arguments = [
            ("--name", format!("entry-{at}")),
            ("--domain", "a".to_owned()),
            ("--listen", self.public[at].to_string()),
            ("--internal", self.internal[at].to_string()),
            ("--control", control.join(",")),
            ("--notice-ms", "500".to_owned()),
            ("--drain-ms", "30000".to_owned()),
        ];
        let arguments: Vec<_> =
            arguments.into_iter().flat_map(|(f, v)| [f.to_owned(), v]).collect();
        Daemon::spawn(env!("CARGO_BIN_EXE_hornbeamdock-entry"), &arguments)
    }

    /// Starts an entry, in place of one that ended.
    pub fn start_entry(&mut self, at: usize) {
        self.entries[at] = self.spawn_entry(at);
    }

    /// Waits until an entry is ready.
    pub async fn ready(&self, at: usize) {
        until("the entry is ready", || async {
            self.get(at, "/ready").await.is_some_and(|a| a.status == 200)
        })
        .await;
    }

    /// Empties the data folder of a replica that does not run.
    pub fn lose_disk(&self, id: u64) {
        fs::remove_dir_all(self.data(id)).expect("the folder can be removed");
    }

    /// Gets a path of an entry without a key.
    pub async fn get(&self, at: usize, path: &str) -> Option<Answer> {
        self.client.call(Call::new("GET", self.public[at], path)).await
    }

    /// Calls the operators' interface.
    pub async fn admin(&self, at: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        let path = format!("/admin/v1/{path}");
        self.client.call(Call::new(method, self.public[at], &path).key(OPERATOR).body(body)).await
    }

    /// Calls the operators' interface until it accepts.
    pub async fn operate(&self, at: usize, method: &str, path: &str, body: &str) -> Answer {
        let start = Instant::now();
        loop {
            match self.admin(at, method, path, body).await {
                Some(answer) if answer.status < 300 => return answer,
                other if start.elapsed() > PATIENCE => panic!("{method} {path}: {other:?}"),
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Applies the records of the quickstart and grants the caller's key.
    pub async fn configure(&self) {
        let records = include_str!("../../examples/quickstart.json");
        self.operate(0, "POST", "records", records).await;
        let grant = serde_json::json!(
            {"id": "lilies-shop", "key": CALLER, "scope": {"caller": "lilies"}}
        );
        self.operate(0, "POST", "keys?wait=true", &grant.to_string()).await;
    }

    /// Returns the status as an entry sees it.
    pub async fn status(&self, at: usize) -> serde_json::Value {
        self.operate(at, "GET", "status", "").await.json()
    }

    /// Returns the leader's id, once there is one.
    pub async fn leader(&self, at: usize) -> u64 {
        let start = Instant::now();
        loop {
            let status = self.status(at).await;
            let leads = |r: &&serde_json::Value| r["owner"] == true;
            let leader = status["control"].as_array().into_iter().flatten().find(leads);
            if let Some(id) = leader.and_then(|r| r["node"].as_u64()) {
                return id;
            }
            assert!(start.elapsed() < PATIENCE, "no leader: {status}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Makes a chat call.
    pub fn chat(&self, at: usize, fields: &str) -> Call {
        let body = format!(r#"{{"model": "adviser", {fields}}}"#);
        Call::new("POST", self.public[at], "/v1/chat/completions").key(CALLER).body(&body)
    }

    /// Makes a shipment call with an idempotency key.
    pub fn shipment(&self, at: usize, key: &str, body: &str) -> Call {
        Call::new("POST", self.public[at], "/shipments")
            .key(CALLER)
            .header("idempotency-key", key)
            .body(body)
    }

    /// Makes calls until one answers with success.
    pub async fn insist(&self, call: impl Fn() -> Call) -> Answer {
        let start = Instant::now();
        loop {
            match self.client.call(call()).await {
                Some(answer) if answer.status < 300 => return answer,
                other if start.elapsed() > PATIENCE => panic!("{other:?}"),
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.controls.clear();
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A call to be made.
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub text: String,
    /// Whether the answer ended as it should.
    pub whole: bool,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_else(|e| panic!("{e}: {}", self.text))
    }

    /// Returns the `ran` field of a refusal.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the type of a refusal.
    pub fn kind(&self) -> String {
        self.json()["error"]["type"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the words of a streamed answer, in order.
    pub fn words(&self) -> Vec<String> {
        let data = self.text.lines().filter_map(|l| l.strip_prefix("data: "));
        let chunks = data.filter_map(|d| serde_json::from_str::<serde_json::Value>(d).ok());
        let words = chunks.filter_map(|c| {
            c["choices"][0]["delta"]["content"].as_str().map(|w| w.trim().to_owned())
        });
        words.collect()
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

    /// Returns a client that speaks HTTP/2.
    pub fn http2() -> Self {
        Self { http: legacy::Client::builder(TokioExecutor::new()).http2_only(true).build_http() }
    }

    /// Begins a call and returns the answer with its body unread.
    pub async fn begin(&self, call: Call) -> Option<http::Response<Incoming>> {
        let mut request = http::Request::builder().method(call.method.as_str()).uri(&call.uri);
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(call.body))).ok()?;
        self.http.request(request).await.ok()
    }

    /// Makes a call; `None` if no answer began.
    pub async fn call(&self, call: Call) -> Option<Answer> {
        let answering = async {
            let response = self.begin(call).await?;
            Some(read(response).await)
        };
        tokio::time::timeout(PATIENCE, answering).await.ok().flatten()
    }
}

/// Reads the rest of an answer.
pub async fn read(response: http::Response<Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        if let Ok(frame) = frame {
            bytes.extend_from_slice(frame.data_ref().map_or(&[], |d| &d[..]));
        } else {
            whole = false;
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Answer { status: head.status.as_u16(), headers: head.headers, text, whole }
}

/// Waits until a condition holds.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "waited too long until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
