//! The whole system in one process, on loopback: an entry, a single control
//! replica, a fake engine and a fake service.
//!
//! The example applies records, grants a key, sends a few requests, prints the
//! responses, and serves requests, for example from `curl`, until interrupted.
//! With `--once` it exits after the responses.

use std::{collections, env, error, fs, net, process, time};

use bytes::Bytes;
use hornbeamdock::{
    process::{control, entry, signal},
    version::key,
};
use hornbeamdock_fakes::{engine, service};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{client::legacy, rt};

/// Port for callers and operators that the commands in the README use.
const PORT: u16 = 8080;

/// Keys that the commands in the README use. They are valid in this example only.
const OPERATOR_KEY: &str = "hbd.operator.quickstart-operator";
const CALLER_KEY: &str = "hbd.lilies-shop.quickstart-caller";

/// Time after which a call that still fails is an error.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

type BoxError = Box<dyn error::Error>;

/// HTTP client of callers and operators.
struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    address: net::SocketAddr,
}

impl Client {
    async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<(u16, String), BoxError> {
        let mut request =
            http::Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
        let response = self.http.request(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Repeats a call every 100 ms until it succeeds or `CALL_TIMEOUT` has passed.
    async fn call_until_success(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<String, BoxError> {
        let start = time::Instant::now();
        loop {
            let response = self.call(method, path, headers, body).await;
            match response {
                Ok((status, text)) if status < 300 => return Ok(text),
                other if start.elapsed() > CALL_TIMEOUT => {
                    return Err(format!("{method} {path}: {other:?}").into());
                }
                _ => tokio::time::sleep(time::Duration::from_millis(100)).await,
            }
        }
    }
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let once = env::args().any(|a| a == "--once");
    match run(once).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(once: bool) -> Result<(), BoxError> {
    let data_folder = env::temp_dir().join(format!("hornbeamdock-quickstart-{}", process::id()));
    let outcome = run_example(once, &data_folder).await;
    // Removal fails if the folder was not created.
    let _ = fs::remove_dir_all(&data_folder);
    outcome
}

async fn run_example(once: bool, data_folder: &std::path::Path) -> Result<(), BoxError> {
    let port = if once { 0 } else { PORT };
    let (entry, client) = start(port, data_folder).await?;
    let address = client.address;
    let internal = entry.internal_address()?;
    let (stop_sender, stop_receiver) = tokio::sync::oneshot::channel::<()>();
    let entry_task = tokio::spawn(entry.run(async {
        let _ = stop_receiver.await;
    }));
    engine::Engine::start(engine::Options::quick("engine-1", vec![internal])).await?;
    service::Service::start(service::Options::quick("orders-1", "orders", vec![internal])).await?;
    send_requests(&client).await?;
    if !once {
        println!("\nServing on http://{address} until interrupted.");
        signal::stop_requested()?.await;
    }
    let _ = stop_sender.send(());
    entry_task.await??;
    Ok(())
}

async fn start(
    port: u16,
    data_folder: &std::path::Path,
) -> Result<(entry::Entry, Client), BoxError> {
    let secret = key::generate("cluster");
    // The address of a replica must be known before it starts.
    let free_address = net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()?;
    let peers = collections::BTreeMap::from([(1, free_address)]);
    let control = control::Control::start(control::Options {
        first_key: key::Presented::parse(OPERATOR_KEY),
        ..control::Options::new(1, free_address, data_folder, &secret)
    })
    .await?;
    tokio::spawn(control.run(std::future::pending()));
    let entry = entry::Entry::start(entry::Options {
        name: "entry-1".into(),
        domain: "a".into(),
        listen: ([127, 0, 0, 1], port).into(),
        internal_listen: ([127, 0, 0, 1], 0).into(),
        control_replicas: peers,
        secret,
        shutdown_delay: time::Duration::ZERO,
        drain_timeout: time::Duration::from_secs(10),
    })
    .await?;
    let http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let client = Client { http, address: entry.address()? };
    Ok((entry, client))
}

async fn send_requests(client: &Client) -> Result<(), BoxError> {
    let authorization = format!("Bearer {OPERATOR_KEY}");
    let operator_headers = [("authorization", authorization.as_str())];
    let authorization = format!("Bearer {CALLER_KEY}");
    let caller_headers = [("authorization", authorization.as_str())];
    let records = include_str!("quickstart.json");
    let response =
        client.call_until_success("POST", "/admin/v1/records", &operator_headers, records).await?;
    println!("records applied: {response}");
    let key_grant = serde_json::json!(
        {"id": "lilies-shop", "key": CALLER_KEY, "scope": {"caller": "lilies"}}
    );
    client
        .call_until_success("POST", "/admin/v1/keys", &operator_headers, &key_grant.to_string())
        .await?;
    println!("key granted: lilies-shop");
    let request = r#"{"model": "adviser", "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which lilies suit a shaded pond?"}]}"#;
    let response =
        client.call_until_success("POST", "/v1/chat/completions", &caller_headers, request).await?;
    println!("response: {response}");
    let stream_request = request.replacen('{', r#"{"stream": true, "#, 1);
    let response = client
        .call_until_success("POST", "/v1/chat/completions", &caller_headers, &stream_request)
        .await?;
    println!("streamed response:\n{}", response.trim_end());
    let adapter_request = request.replace("adviser", "adviser-lilies");
    let response = client
        .call_until_success("POST", "/v1/chat/completions", &caller_headers, &adapter_request)
        .await?;
    println!("response with an adapter: {response}");
    let shipment_headers = [caller_headers[0], ("idempotency-key", "order-17")];
    for _ in 0..2 {
        let response = client
            .call_until_success("POST", "/shipments", &shipment_headers, r#"{"order": 17}"#)
            .await?;
        println!("shipment booked: {response}");
    }
    let response = client.call_until_success("GET", "/status", &[], "").await?;
    println!("order status without a key: {response}");
    let (status, response) = client.call("POST", "/shipments", &caller_headers, "{}").await?;
    println!("booking without an idempotency key: {status} {response}");
    Ok(())
}
