//! The whole system in one process: an entry, a control replica of one, a
//! stand-in engine and a stand-in service, on loopback.
//!
//! It applies records, grants a key, serves a few requests, prints what
//! happened, and stays up for `curl` until interrupted. With `--once` it leaves
//! after that.

use std::{collections, env, error, fs, net, process, time};

use bytes::Bytes;
use hornbeamdock::{
    process::{control, entry, signal},
    version::key,
};
use hornbeamdock_fakes::{engine, service};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{client::legacy, rt};

/// Port of callers and operators, as in the README.
const PORT: u16 = 8080;

/// Keys that the README's lines use. They open this demonstration only.
const OPERATOR: &str = "hbd.operator.quickstart-operator";
const CALLER: &str = "hbd.lilies-shop.quickstart-caller";

/// How long the system may take to be ready for a step.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

type Failure = Box<dyn error::Error>;

/// A caller and operator of the system.
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
    ) -> Result<(u16, String), Failure> {
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

    /// Repeats a call until it succeeds, as a caller does who was told to come
    /// back.
    async fn insist(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<String, Failure> {
        let start = time::Instant::now();
        loop {
            let answer = self.call(method, path, headers, body).await;
            match answer {
                Ok((status, text)) if status < 300 => return Ok(text),
                other if start.elapsed() > PATIENCE => {
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
        Err(failure) => {
            eprintln!("quickstart: {failure}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(once: bool) -> Result<(), Failure> {
    let data = env::temp_dir().join(format!("hornbeamdock-quickstart-{}", process::id()));
    let outcome = demonstrate(once, &data).await;
    // A folder that was never made needs no removal.
    let _ = fs::remove_dir_all(&data);
    outcome
}

async fn demonstrate(once: bool, data: &std::path::Path) -> Result<(), Failure> {
    let port = if once { 0 } else { PORT };
    let (entry, client) = start(port, data).await?;
    let address = client.address;
    let internal = entry.internal_address()?;
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let serving = tokio::spawn(entry.run(async {
        let _ = stopped.await;
    }));
    engine::Engine::start(engine::Options::quick("engine-1", vec![internal])).await?;
    service::Service::start(service::Options::quick("orders-1", "orders", vec![internal])).await?;
    show(&client).await?;
    if !once {
        println!("\nServing on http://{address} until interrupted.");
        signal::stop_requested()?.await;
    }
    let _ = stop.send(());
    serving.await??;
    Ok(())
}

async fn start(port: u16, data: &std::path::Path) -> Result<(entry::Entry, Client), Failure> {
    let secret = key::generate("cluster");
    // A replica needs to know its own port before it starts.
    let free = net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()?;
    let peers = collections::BTreeMap::from([(1, free)]);
    let control = control::Control::start(control::Options {
        first_key: key::Presented::parse(OPERATOR),
        ..control::Options::new(1, free, data, &secret)
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

async fn show(client: &Client) -> Result<(), Failure> {
    let operator = format!("Bearer {OPERATOR}");
    let operator = [("authorization", operator.as_str())];
    let caller = format!("Bearer {CALLER}");
    let caller = [("authorization", caller.as_str())];
    let records = include_str!("quickstart.json");
    let applied = client.insist("POST", "/admin/v1/records", &operator, records).await?;
    println!("records applied: {applied}");
    let grant = serde_json::json!(
        {"id": "lilies-shop", "key": CALLER, "scope": {"caller": "lilies"}}
    );
    client.insist("POST", "/admin/v1/keys", &operator, &grant.to_string()).await?;
    println!("key granted: lilies-shop");
    let whole = r#"{"model": "adviser", "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which lilies suit a shaded pond?"}]}"#;
    let answer = client.insist("POST", "/v1/chat/completions", &caller, whole).await?;
    println!("whole answer: {answer}");
    let streamed = whole.replacen('{', r#"{"stream": true, "#, 1);
    let answer = client.insist("POST", "/v1/chat/completions", &caller, &streamed).await?;
    println!("streamed answer:\n{}", answer.trim_end());
    let adapted = whole.replace("adviser", "adviser-lilies");
    let answer = client.insist("POST", "/v1/chat/completions", &caller, &adapted).await?;
    println!("answer with an adapter: {answer}");
    let booking = [caller[0], ("idempotency-key", "order-17")];
    for _ in 0..2 {
        let answer = client.insist("POST", "/shipments", &booking, r#"{"order": 17}"#).await?;
        println!("shipment booked: {answer}");
    }
    let answer = client.insist("GET", "/status", &[], "").await?;
    println!("order status without a key: {answer}");
    let (status, answer) = client.call("POST", "/shipments", &caller, "{}").await?;
    println!("booking without an idempotency key: {status} {answer}");
    Ok(())
}
