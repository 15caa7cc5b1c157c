//! Latency and throughput of requests through an entry process, compared with
//! direct calls to the same target.
//!
//! `cargo bench --bench path` starts an entry and a control replica in this
//! process, and a fake service that responds at once, then one that takes 5 ms.
//! It calls the service directly (`direct`) and through three routes: without a
//! key (`open`), with an API key (`keyed`), and with an API key and an
//! idempotency key that the control replica records (`claimed`).

#![allow(missing_docs, clippy::cast_precision_loss, reason = "a benchmark")]

use std::{
    collections, env, fs, net, process,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hornbeamdock::{
    process::{control, entry},
    version::key,
};
use hornbeamdock_fakes::service;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt::TokioExecutor};

const OPERATOR_KEY: &str = "hbd.operator.bench-operator-key";
const CALLER_KEY: &str = "hbd.bench.bench-caller-key";

/// Requests of a latency run, sent one after the other.
const LATENCY_REQUESTS: u32 = 2_000;
/// Concurrent callers of a throughput run.
const CALLERS: u32 = 32;
const REQUESTS_PER_CALLER: u32 = 500;
/// Requests of a latency run with idempotency keys. Each of them waits until its
/// claim is on disk.
const CLAIM_REQUESTS: u32 = 400;

/// Upper bound of the latency histogram; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

type Http = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

#[derive(Clone)]
struct Caller {
    http: Http,
    address: net::SocketAddr,
    path: &'static str,
    key: Option<&'static str>,
    claims: bool,
}

impl Caller {
    async fn call(&self, number: u32) -> bool {
        let mut request = http::Request::post(format!("http://{}{}", self.address, self.path));
        if let Some(key) = self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if self.claims {
            request = request.header("idempotency-key", format!("k{number}"));
        }
        let body = Full::new(Bytes::from_static(b"{}"));
        let Ok(request) = request.body(body) else {
            return false;
        };
        let Ok(response) = self.http.request(request).await else {
            return false;
        };
        let succeeded = response.status().is_success();
        response.into_body().collect().await.is_ok() && succeeded
    }

    async fn latency(&self, count: u32) -> Histogram<u64> {
        let mut histogram =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        for number in 0..count {
            let start = Instant::now();
            assert!(self.call(number).await, "{} failed", self.path);
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        histogram
    }

    /// Returns the requests per second of all concurrent callers together.
    async fn throughput(&self) -> f64 {
        let start = Instant::now();
        let callers = (0..CALLERS).map(|caller_index| {
            let caller = self.clone();
            tokio::spawn(async move {
                for n in 0..REQUESTS_PER_CALLER {
                    assert!(caller.call(1_000_000 + caller_index * REQUESTS_PER_CALLER + n).await);
                }
            })
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await.expect("the caller ends");
        }
        f64::from(CALLERS * REQUESTS_PER_CALLER) / start.elapsed().as_secs_f64()
    }
}

#[tokio::main]
async fn main() {
    for delay in [Duration::ZERO, Duration::from_millis(5)] {
        println!("service delay: {delay:?}");
        measure(delay).await;
    }
}

async fn measure(delay: Duration) {
    let name = format!("hornbeamdock-path-{}-{}", process::id(), delay.as_millis());
    let data_folder = env::temp_dir().join(name);
    let (entry_address, service_address) = start(&data_folder, delay).await;
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let caller = |address, path, key, claims| Caller {
        http: Http::clone(&http),
        address,
        path,
        key,
        claims,
    };
    let direct = caller(service_address, "/open", None, false);
    let open = caller(entry_address, "/open", None, false);
    let keyed = caller(entry_address, "/keyed", Some(CALLER_KEY), false);
    let claimed = caller(entry_address, "/claimed", Some(CALLER_KEY), true);
    direct.latency(500).await;
    keyed.latency(500).await;
    println!("{:<10} {:>9} {:>9} {:>9}", "latency", "p50 us", "p95 us", "p99 us");
    let runs = [
        ("direct", &direct, LATENCY_REQUESTS),
        ("open", &open, LATENCY_REQUESTS),
        ("keyed", &keyed, LATENCY_REQUESTS),
        ("claimed", &claimed, CLAIM_REQUESTS),
    ];
    for (name, caller, count) in runs {
        let histogram = caller.latency(count).await;
        let quantile = |q| histogram.value_at_quantile(q);
        println!("{name:<10} {:>9} {:>9} {:>9}", quantile(0.5), quantile(0.95), quantile(0.99));
    }
    println!("{:<10} {:>9}", "throughput", "1/s");
    for (name, caller) in [("direct", &direct), ("open", &open), ("keyed", &keyed)] {
        println!("{name:<10} {:>9.0}", caller.throughput().await);
    }
    let _ = fs::remove_dir_all(&data_folder);
}

async fn start(
    data_folder: &std::path::Path,
    delay: Duration,
) -> (net::SocketAddr, net::SocketAddr) {
    let secret = key::generate("cluster");
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port can be bound");
    let free_address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let peers = collections::BTreeMap::from([(1, free_address)]);
    let control = control::Control::start(control::Options {
        first_key: key::Presented::parse(OPERATOR_KEY),
        ..control::Options::new(1, free_address, data_folder, &secret)
    });
    tokio::spawn(control.await.expect("control starts").run(std::future::pending()));
    let entry = entry::Entry::start(entry::Options {
        name: "entry".into(),
        domain: "a".into(),
        listen: ([127, 0, 0, 1], 0).into(),
        internal_listen: ([127, 0, 0, 1], 0).into(),
        control_replicas: peers,
        secret,
        shutdown_delay: Duration::ZERO,
        drain_timeout: Duration::from_secs(1),
    });
    let entry = entry.await.expect("the entry starts");
    let address = entry.address().expect("the entry listens");
    let internal = entry.internal_address().expect("the entry listens");
    tokio::spawn(entry.run(std::future::pending()));
    let quick = service::Options::quick("s", "orders", vec![internal]);
    let options = service::Options { delay, ..quick };
    let service = service::Service::start(options).await.expect("the service starts");
    let service_address = service.address;
    // Keeps the service until the process ends.
    std::mem::forget(Arc::new(service));
    configure(address).await;
    (address, service_address)
}

async fn configure(address: net::SocketAddr) {
    let route = |name: &str, access: &str, repeat: &str| {
        serde_json::json!({"schema": 2, "kind": "route", "name": name, "version": 1,
            "path": format!("/{name}"), "backend": {"service": "orders"}, "access": access,
            "repeat": repeat})
    };
    let records = serde_json::json!([
        {"schema": 2, "kind": "workspace", "name": "bench", "version": 1,
         "rate": 10_000_000, "burst": 100_000_000},
        route("open", "open", "allowed"),
        route("keyed", "keyed", "allowed"),
        route("claimed", "keyed", "idempotency_key"),
    ]);
    let key_grant =
        serde_json::json!({"id": "bench", "key": CALLER_KEY, "scope": {"caller": "bench"}});
    let http: Http = legacy::Client::builder(TokioExecutor::new()).build_http();
    for (path, body) in [("records", records), ("keys?wait=true", key_grant)] {
        for attempt in 0.. {
            let request = http::Request::post(format!("http://{address}/admin/v1/{path}"))
                .header("authorization", format!("Bearer {OPERATOR_KEY}"))
                .body(Full::new(Bytes::from(body.to_string())))
                .expect("the request is valid");
            let response = http.request(request).await;
            if response.is_ok_and(|r| r.status().is_success()) {
                break;
            }
            assert!(attempt < 200, "{path} was not accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
