//! A whole request through an entry beside a direct call to the same stand-in,
//! in one run: added latency and share of the throughput.
//!
//! `cargo bench --bench path` starts an entry and a control replica in this
//! process, with a stand-in service that answers at once and one that takes 5 ms.
//! Requests are open for all, keyed, and claimed.

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

const OPERATOR: &str = "hbd.operator.bench-operator-key";
const CALLER: &str = "hbd.bench.bench-caller-key";

/// Requests of a latency run, each after the one before.
const LATENCY_REQUESTS: u32 = 2_000;
/// Callers and requests of each in a throughput run.
const CALLERS: u32 = 32;
const CALLER_REQUESTS: u32 = 500;
/// Claims, which each wait for the disk.
const CLAIMS: u32 = 400;

/// Longest latency that is told apart, in us.
const LONGEST_US: u64 = 60_000_000;

type Http = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

#[derive(Clone)]
struct Caller {
    http: Http,
    address: net::SocketAddr,
    path: &'static str,
    key: Option<&'static str>,
    claimed: bool,
}

impl Caller {
    async fn call(&self, number: u32) -> bool {
        let mut request = http::Request::post(format!("http://{}{}", self.address, self.path));
        if let Some(key) = self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if self.claimed {
            request = request.header("idempotency-key", format!("k{number}"));
        }
        let body = Full::new(Bytes::from_static(b"{}"));
        let Ok(request) = request.body(body) else {
            return false;
        };
        let Ok(response) = self.http.request(request).await else {
            return false;
        };
        let fine = response.status().is_success();
        response.into_body().collect().await.is_ok() && fine
    }

    async fn latency(&self, count: u32) -> Histogram<u64> {
        let mut histogram =
            Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are sound");
        for number in 0..count {
            let start = Instant::now();
            assert!(self.call(number).await, "{} failed", self.path);
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        histogram
    }

    /// Returns requests a second of many callers at once.
    async fn throughput(&self) -> f64 {
        let start = Instant::now();
        let callers = (0..CALLERS).map(|n| {
            let caller = self.clone();
            tokio::spawn(async move {
                for turn in 0..CALLER_REQUESTS {
                    assert!(caller.call(1_000_000 + n * CALLER_REQUESTS + turn).await);
                }
            })
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await.expect("the caller ends");
        }
        f64::from(CALLERS * CALLER_REQUESTS) / start.elapsed().as_secs_f64()
    }
}

#[tokio::main]
async fn main() {
    for delay in [Duration::ZERO, Duration::from_millis(5)] {
        println!("a service that takes {delay:?}");
        measure(delay).await;
    }
}

async fn measure(delay: Duration) {
    let name = format!("hornbeamdock-path-{}-{}", process::id(), delay.as_millis());
    let data = env::temp_dir().join(name);
    let (address, target) = start(&data, delay).await;
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let caller = |address, path, key, claimed| Caller {
        http: Http::clone(&http),
        address,
        path,
        key,
        claimed,
    };
    let direct = caller(target, "/open", None, false);
    let open = caller(address, "/open", None, false);
    let keyed = caller(address, "/keyed", Some(CALLER), false);
    let claimed = caller(address, "/claimed", Some(CALLER), true);
    direct.latency(500).await;
    keyed.latency(500).await;
    println!("{:<10} {:>9} {:>9} {:>9}", "latency", "p50 us", "p95 us", "p99 us");
    let runs = [
        ("direct", &direct, LATENCY_REQUESTS),
        ("open", &open, LATENCY_REQUESTS),
        ("keyed", &keyed, LATENCY_REQUESTS),
        ("claimed", &claimed, CLAIMS),
    ];
    for (name, caller, count) in runs {
        let h = caller.latency(count).await;
        let at = |q| h.value_at_quantile(q);
        println!("{name:<10} {:>9} {:>9} {:>9}", at(0.5), at(0.95), at(0.99));
    }
    println!("{:<10} {:>9}", "throughput", "1/s");
    for (name, caller) in [("direct", &direct), ("open", &open), ("keyed", &keyed)] {
        println!("{name:<10} {:>9.0}", caller.throughput().await);
    }
    let _ = fs::remove_dir_all(&data);
}

async fn start(data: &std::path::Path, delay: Duration) -> (net::SocketAddr, net::SocketAddr) {
    let secret = key::generate("cluster");
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let free = listener.local_addr().expect("it has an address");
    drop(listener);
    let peers = collections::BTreeMap::from([(1, free)]);
    let control = control::Control::start(control::Options {
        first_key: key::Presented::parse(OPERATOR),
        ..control::Options::new(1, free, data, &secret)
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
    let address = entry.address().expect("it listens");
    let internal = entry.internal_address().expect("it listens");
    tokio::spawn(entry.run(std::future::pending()));
    let quick = service::Options::quick("s", "orders", vec![internal]);
    let options = service::Options { delay, ..quick };
    let service = service::Service::start(options).await.expect("the service starts");
    let target = service.address;
    // The service lives as long as the benchmark.
    std::mem::forget(Arc::new(service));
    configure(address).await;
    (address, target)
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
    let grant = serde_json::json!({"id": "bench", "key": CALLER, "scope": {"caller": "bench"}});
    let http: Http = legacy::Client::builder(TokioExecutor::new()).build_http();
    for (path, body) in [("records", records), ("keys?wait=true", grant)] {
        for attempt in 0.. {
            let request = http::Request::post(format!("http://{address}/admin/v1/{path}"))
                .header("authorization", format!("Bearer {OPERATOR}"))
                .body(Full::new(Bytes::from(body.to_string())))
                .expect("it is a request");
            let answer = http.request(request).await;
            if answer.is_ok_and(|a| a.status().is_success()) {
                break;
            }
            assert!(attempt < 200, "{path} was not accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
