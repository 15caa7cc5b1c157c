//! A request that crashes each worker that runs it, some events after it has begun.
//!
//! Six workers, which are back 2 s after a crash. One caller sends the deadly request again and
//! again, as the platform's page says, at any gateway. Other callers have streams at the same
//! workers, which may not be repeated.

mod harness;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use harness::*;

const MODEL: &str = "rada000";
const WORKERS: u8 = 6;
const GATEWAYS: u8 = 3;

/// Time for which the deadly request is sent, and the pause between two attempts.
const SENT_FOR_MS: u64 = 40_000;
const PAUSE_MS: u64 = 2_000;

/// Time until a crashed worker is back.
const DOWN_MS: u64 = 2_000;

const DEADLY: &str = "/advice/deadly";

/// `connectivity_ms`, and the most retries later than that after the third crash.
const CONNECTIVITY_MS: u64 = 3_000;
const MAX_RETRIES: usize = 3;

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"advice","host":"pond.example","path_prefix":"/advice/",
"route_kind":"streaming","timeout_ms":5000,"slo_ms":600,"priority":1,"service":"sprog-pool",
"max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300}},
{{"name":"rewrite","host":"pond.example","path_prefix":"/rewrite/",
"route_kind":"streaming","timeout_ms":6000,"slo_ms":1500,"priority":1,"service":"sprog-pool",
"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":300}}],
"services":[{{"name":"sprog-pool","health_path":"/healthz","max_conns":780,"protocol":"h1",
"tls":false,"engine":{{"slots":64,"kv_tokens":162799,"kv_bytes":327680,"link_mbps":740000.0,
"moves":true,"backups":true,"stride":2,"cap":12,"host_mb":130000.0,"disk_mb":380000.0,
"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}",
"weights_mb":72700.0,"load_s":1.2,"adapters":0,"adapter_mb":66.0,"warm_s":0.6,"disk_s":0.78}}],
"weights_mb":200000.0,"adapter_slots":8,"loads_per_s":1.1}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}},"tenants":[{{"name":"lilies","api_keys":["key-of-lilies"],"priority":1,
"unit":"tokens","plain_tokens":200,"rate_per_s":760000,"burst":760000}}]}}"#
    )
}

/// Sends one request; returns its status, and whether the response was whole.
fn ask(address: SocketAddr, path: &str, id: &str, prefix: &str, tokens: u64) -> Option<(u16, bool)> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(5_000))).ok()?;
    let headers = [
        ("Host", "pond.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Usage", format!("400,{tokens}")),
        ("X-Prefix-Hash", format!("5c1e07a2:300,{prefix}:100")),
        ("X-Deadline-Ms", "5000".to_owned()),
        ("X-Api-Key", "key-of-lilies".to_owned()),
    ];
    stream.write_all(request_text("POST", path, &headers, "{}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let end = read_body(&mut reader, &head, true, |_| ());
    Some((head.status(), end == End::Regular))
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let trouble = with_trouble();
    let events: u64 = std::env::var("EVENTS").ok().and_then(|v| v.parse().ok()).unwrap_or(8);
    record.line(&format!("disruption: {trouble}; the crash comes after {events} events"));
    let mut cluster = Cluster::start(GATEWAYS, &record);
    cluster.configure(&configuration());
    let mut workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let options = [
                ("service", "sprog-pool".to_owned()),
                ("weights_mb", "200000".to_owned()),
                ("sizes", format!("{MODEL}:72700:1200")),
                ("holds", MODEL.to_owned()),
                ("gap_ms", "25".to_owned()),
                ("deadly", if trouble { format!("{DEADLY}:{events}") } else { String::new() }),
            ];
            let address = cluster.worker_address(number);
            Worker::start(&cluster, number, &format!("i-{number}-0"), address, &options)
        })
        .collect();
    cluster.wait_until_ready();
    thread::sleep(ms(2_000));

    let over = Arc::new(AtomicBool::new(false));
    let (sent, whole, cut) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let frontends: Vec<_> = (0..GATEWAYS).map(|g| cluster.frontend(g)).collect();
    let others = {
        let (over, sent, whole, cut) = (over.clone(), sent.clone(), whole.clone(), cut.clone());
        let frontends = frontends.clone();
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let number = sent.fetch_add(1, Ordering::SeqCst);
                let (whole, cut) = (whole.clone(), cut.clone());
                let address = frontends[number as usize % frontends.len()];
                thread::spawn(move || {
                    let id = format!("{:x}", 0xb000_0000_u64 + number);
                    match ask(address, "/rewrite/1", &id, &id, 40) {
                        Some((200, true)) => whole.fetch_add(1, Ordering::SeqCst),
                        Some((200, false)) => cut.fetch_add(1, Ordering::SeqCst),
                        _ => 0,
                    };
                });
                thread::sleep(ms(100));
            }
        })
    };
    // Brings crashed workers back.
    let restarts = {
        let over = over.clone();
        thread::spawn(move || {
            let mut starts = vec![0; workers.len()];
            let mut down: Vec<Option<Instant>> = vec![None; workers.len()];
            while !over.load(Ordering::SeqCst) {
                for (number, worker) in workers.iter_mut().enumerate() {
                    if !worker.has_ended() {
                        continue;
                    }
                    let since = *down[number].get_or_insert_with(Instant::now);
                    if since.elapsed() >= ms(DOWN_MS) {
                        starts[number] += 1;
                        down[number] = None;
                        worker.start_again(&format!("i-{number}-{}", starts[number]), &[]);
                    }
                }
                thread::sleep(ms(20));
            }
            workers
        })
    };
    let start = Instant::now();
    let mut attempts = 0_u64;
    while start.elapsed() < ms(SENT_FOR_MS) {
        let address = frontends[attempts as usize % frontends.len()];
        let id = format!("{:x}", 0xd000_0000_u64 + attempts);
        let got = ask(address, DEADLY, &id, "dead0001", 40);
        record.line(&format!("deadly request {id}: {got:?}"));
        attempts += 1;
        thread::sleep(ms(PAUSE_MS));
    }
    over.store(true, Ordering::SeqCst);
    let _ = others.join();
    let workers = restarts.join().expect("the restarts failed");
    let mut runs = Vec::new();
    let mut crashes = Vec::new();
    for worker in &workers {
        for line in worker.lines() {
            let at = line.split(' ').next().and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
            if line.contains(" runs ") && line.contains(DEADLY) {
                runs.push(at);
            }
            if line.contains("CRASHES") {
                crashes.push(at);
                record.line(&format!("worker: {line}"));
            }
        }
    }
    runs.sort_unstable();
    crashes.sort_unstable();
    let late = match crashes.get(2) {
        Some(third) => runs.iter().filter(|at| **at > third + CONNECTIVITY_MS).count(),
        None => 0,
    };
    record.line(&format!(
        "{attempts} attempts of the caller, {} runs, {} crashes; {late} runs later than \
         {CONNECTIVITY_MS} ms after the third crash, {MAX_RETRIES} may be",
        runs.len(),
        crashes.len()
    ));
    let count = |n: &AtomicU64| n.load(Ordering::SeqCst);
    record.line(&format!(
        "streams of other callers: {} sent, {} whole, {} cut off in the middle",
        count(&sent),
        count(&whole),
        count(&cut)
    ));
    drop(workers);
    cluster.stop();
    let code = if late > MAX_RETRIES { BROKEN } else { HELD };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
