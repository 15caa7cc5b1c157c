//! Case 6: a tenant asks for more than its quota while the leading control machine runs five
//! times slower.

mod common;

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{Deployment, Kind, LIMITS, NOT_RUN, Record, Target, read_head, request_id, trouble};

const GATEWAYS: usize = 3;
const CALLERS_PER_GATEWAY: usize = 16;
const TOKENS_PER_REQUEST: usize = 200;
const RATE: usize = 60_000;
const BURST: usize = 60_000;
const PLAY: Duration = Duration::from_secs(20);
/// From when on the leader is slow.
const TROUBLE_AT: Duration = Duration::from_secs(4);
/// The machine runs for a fifth of the time: five times slower.
const STANDS: Duration = Duration::from_millis(160);
const RUNS: Duration = Duration::from_millis(40);
/// Bounds of the site aakande-drift.
const WINDOW: f64 = 8.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 17_000.0;

/// Sends a request and reads its answer. Returns the status and `Retry-After`.
fn ask(stream: &mut BufReader<TcpStream>, id: &str) -> io::Result<(u16, f64)> {
    let text = format!(
        "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Api-Key: key-1\r\n\
         X-Deadline-Ms: 2500\r\n\r\n"
    );
    stream.get_mut().write_all(text.as_bytes())?;
    let head = read_head(stream)?.ok_or_else(|| io::Error::other("closed"))?;
    let mut body = vec![0; head.length()];
    stream.read_exact(&mut body)?;
    let retry_after = head.get("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.0);
    Ok((head.status(), retry_after))
}

/// Sends one request after the other. Each is a new one; after a refusal the caller waits as it
/// is told, for up to a third of its time.
fn caller(gateway: SocketAddr, record: &Record, end: Instant) {
    let mut stream = None;
    while Instant::now() < end {
        let mut open = match stream.take() {
            Some(open) => open,
            None => match TcpStream::connect(gateway) {
                Ok(new) => {
                    let _ = new.set_nodelay(true);
                    let _ = new.set_read_timeout(Some(Duration::from_secs(4)));
                    BufReader::new(new)
                }
                Err(_) => {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            },
        };
        let id = request_id();
        record.note(format!("sent {id}"));
        match ask(&mut open, &id) {
            Ok((status, retry_after)) => {
                record.note(format!("answered {id} {status}"));
                stream = Some(open);
                let pause = if status == 200 { 0.01 } else { retry_after.clamp(0.05, 0.8) };
                thread::sleep(Duration::from_secs_f64(pause));
            }
            Err(error) => record.note(format!("answered {id} not: {error}")),
        }
    }
}

/// Returns the most requests that were both sent and run within one window, and its begin.
fn worst_window(record_text: &str) -> (usize, f64, usize) {
    let mut sent = std::collections::HashMap::new();
    let mut runs = Vec::new();
    for line in record_text.lines() {
        let words: Vec<_> = line.split_whitespace().collect();
        let [at, "s", what, id, ..] = words[..] else { continue };
        let Ok(at) = at.parse::<f64>() else { continue };
        match what {
            "sent" => drop(sent.insert(id.to_owned(), at)),
            "run" => {
                if let Some(sent_at) = sent.get(id) {
                    runs.push((*sent_at, at));
                }
            }
            _ => {}
        }
    }
    let count = |begin: f64| {
        runs.iter().filter(|(sent, ran)| *sent >= begin && *ran <= begin + WINDOW).count()
    };
    let begins = (0..400).map(|step| f64::from(step) * 0.1);
    let worst = begins.map(|begin| (count(begin), begin)).max_by_key(|(count, _)| *count);
    let (most, begin) = worst.unwrap_or_default();
    (most, begin, runs.len())
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::start(&record, GATEWAYS);
    let serve = |mut run: common::Run<'_>| {
        run.target.record.note(format!("run {}", run.request()));
        thread::sleep(Duration::from_millis(5));
        run.answer(b"status")
    };
    let _targets: Vec<_> = (0..2).map(|i| Target::start(&deployment, i, "app", serve)).collect();
    deployment.configure(&format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"read\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/read/\",\"route_kind\":\"idempotent\",\"timeout_ms\":2500,\
         \"slo_ms\":150,\"priority\":1,\"service\":\"app\",\"max_attempts\":2,\"public\":false,\
         \"sticky\":false,\"resumable\":false,\"gap_aim_ms\":0}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":400,\
         \"protocol\":\"h1\",\"tls\":false}}],{LIMITS},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1,\
         \"unit\":\"tokens\",\"plain_tokens\":{TOKENS_PER_REQUEST},\"rate_per_s\":{RATE},\
         \"burst\":{BURST}}}]}}"
    ));
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(3));
    let leader = deployment.leader();
    record.say(format!("control {leader} leads"));
    let begin = Instant::now();
    let end = begin + PLAY;
    let mut callers = Vec::new();
    for index in 0..GATEWAYS {
        for _ in 0..CALLERS_PER_GATEWAY {
            let (gateway, record) = (deployment.gateway(index), record.clone());
            callers.push(thread::spawn(move || caller(gateway, &record, end)));
        }
    }
    let over = Arc::new(AtomicBool::new(false));
    let pid = deployment.pid(Kind::Control, leader);
    let slowing = trouble().then(|| {
        let (over, record) = (over.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(TROUBLE_AT);
            record.say("the leading control machine runs five times slower from now on");
            while !over.load(Ordering::SeqCst) {
                common::send_signal(pid, "STOP");
                thread::sleep(STANDS);
                common::send_signal(pid, "CONT");
                thread::sleep(RUNS);
            }
        })
    });
    for caller in callers {
        let _ = caller.join();
    }
    over.store(true, Ordering::SeqCst);
    if let Some(slowing) = slowing {
        let _ = slowing.join();
    }
    thread::sleep(Duration::from_millis(500));
    let still_leads = deployment.leader() == leader;
    let ended = (0..common::CORES).any(|i| deployment.has_ended(Kind::Control, i));
    drop(deployment);
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let (most, at, all) = worst_window(&text);
    let tokens = most * TOKENS_PER_REQUEST;
    let limit = (RATE as f64 * WINDOW + BURST as f64) * (1.0 + OVERSHOOT) + SLACK;
    record.say(format!(
        "the same machine leads at the end: {still_leads}; a control process ended: {ended}"
    ));
    record.say(format!("{all} requests ran; {most} in the 8 s from {at:.1} s, {tokens} tokens; the rule allows {limit:.0}"));
    if all < 1_000 {
        record.say("not run: too few requests ran");
        std::process::exit(NOT_RUN);
    }
    let broken = tokens as f64 > limit;
    record.say(if broken { "QUOTA is broken" } else { "QUOTA holds" });
    std::process::exit(i32::from(broken));
}
