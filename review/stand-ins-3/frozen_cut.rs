//! A gateway stands still while a worker crashes in the middle of an answer without a length, and
//! goes on after the worker is back.
//!
//! Three workers, one client with one stream. The client judges whether what looks complete to it
//! has all pieces that the worker would have sent.

mod harness;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    thread,
    time::Instant,
};

use harness::*;

/// Events of the stream, and the pause between them.
const EVENTS: u64 = 20;
const GAP_MS: u64 = 100;

/// Time for which the gateway stands still.
const FROZEN_MS: u64 = 3_500;

/// Time from the freeze to the crash of the worker, and from there to its next start.
const CRASH_AFTER_MS: u64 = 400;
const DOWN_MS: u64 = 2_000;

const MODEL: &str = "rada000";

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"rewrite","host":"pond.example","path_prefix":"/rewrite/",
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

/// What a client got.
#[derive(Debug)]
struct Got {
    status: u16,
    /// Whether the response bore the signature of the worker.
    signed: bool,
    pieces: Vec<u64>,
    complete: bool,
}

fn ask(address: SocketAddr, id: &str) -> Option<Got> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    // The client leaves at its deadline, and no sooner: four times the objective are as long.
    stream.set_read_timeout(Some(ms(6_000))).ok()?;
    let headers = [
        ("Host", "pond.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Usage", format!("400,{}", EVENTS * 2)),
        ("X-Prefix-Hash", "5c1e07a2:300,91bd3f06:100".to_owned()),
        ("X-Deadline-Ms", "6000".to_owned()),
        ("X-Api-Key", "key-of-lilies".to_owned()),
    ];
    stream.write_all(request_text("POST", "/rewrite/1", &headers, "{}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let mut text = Vec::new();
    let end = read_body(&mut reader, &head, true, |piece| text.extend_from_slice(piece));
    let text = String::from_utf8_lossy(&text).into_owned();
    let pieces = text.lines().filter_map(|l| l.strip_prefix("id: ")?.trim().parse().ok()).collect();
    Some(Got {
        status: head.status(),
        signed: head.header("x-signature").is_some(),
        pieces,
        complete: end == End::Regular,
    })
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let trouble = with_trouble();
    record.line(&format!("disruption: {trouble}"));
    let mut cluster = Cluster::start(2, &record);
    cluster.configure(&configuration());
    let mut workers: Vec<_> = (0..3)
        .map(|number| {
            let options = [
                ("service", "sprog-pool".to_owned()),
                ("weights_mb", "200000".to_owned()),
                ("sizes", format!("{MODEL}:72700:1200")),
                ("holds", MODEL.to_owned()),
                ("gap_ms", GAP_MS.to_string()),
                ("unframed", "1".to_owned()),
            ];
            let address = cluster.worker_address(number);
            Worker::start(&cluster, number, &format!("i-{number}a"), address, &options)
        })
        .collect();
    cluster.wait_until_ready();
    thread::sleep(ms(2_000));

    let (sender, receiver) = mpsc::channel();
    let (address, id) = (cluster.frontend(0), "9c41d07be2a35f68");
    record.line(&format!("request {id} is sent; {EVENTS} pieces are due"));
    thread::spawn(move || drop(sender.send(ask(address, id))));
    let start = Instant::now();
    let sent = format!("sent piece 4 of {id}");
    let serving = loop {
        let found = workers.iter().position(|w| w.lines().iter().any(|l| l.contains(&sent)));
        if let Some(found) = found {
            break found;
        }
        if start.elapsed() > ms(5_000) {
            cluster.give_up("no worker runs the request");
        }
        thread::sleep(ms(5));
    };
    record.line(&format!("worker {serving} runs it"));
    if trouble {
        // FREEZE=0 leaves the crash alone, for comparison.
        let freezes = std::env::var("FREEZE").map_or(true, |v| v != "0");
        if freezes {
            cluster.signal(5, SIGSTOP);
            record.line("the gateway stands still");
        }
        thread::sleep(ms(CRASH_AFTER_MS));
        workers[serving].kill();
        record.line("the worker crashes");
        thread::sleep(ms(DOWN_MS));
        workers[serving].start_again(&format!("i-{serving}b"), &[]);
        record.line("the worker is back, as another instance");
        thread::sleep(ms(FROZEN_MS - CRASH_AFTER_MS - DOWN_MS));
        if freezes {
            cluster.signal(5, SIGCONT);
            record.line("the gateway goes on");
        }
    }
    let got = receiver.recv_timeout(ms(12_000)).ok().flatten();
    for worker in &workers {
        for line in worker.lines() {
            record.line(&format!("worker: {line}"));
        }
    }
    for line in cluster.log(5).lines().filter(|l| l.contains(id)) {
        record.line(&format!("gateway: {line}"));
    }
    record.line(&format!("the client got: {got:?}"));
    let Some(got) = got else {
        record.line("no answer");
        drop(workers);
        cluster.stop();
        std::process::exit(if trouble { HELD } else { NOT_RUN });
    };
    let is_whole = got.pieces == (1..=EVENTS).collect::<Vec<_>>();
    let is_broken = got.complete && got.status == 200 && got.signed && !is_whole;
    record.line(&format!("complete to the client: {}, whole: {is_whole}", got.complete));
    drop(workers);
    cluster.stop();
    let code = match (is_broken, trouble) {
        (true, _) => BROKEN,
        (false, false) if !is_whole => NOT_RUN,
        _ => HELD,
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
