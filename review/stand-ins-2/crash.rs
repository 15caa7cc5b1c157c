//! Case 8: a request that crashes every worker which runs it comes again and again, while the
//! control machines are restarted in turn.

mod common;

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{Deployment, Kind, LIMITS, Record, Target, read_head, request_id, trouble};

const GATEWAYS: usize = 3;
const OTHERS_PER_GATEWAY: usize = 4;
const TARGETS: usize = 6;
/// How long a worker is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Time from one of the requests to the next.
const INTERVAL: Duration = Duration::from_millis(14_500);
const REQUESTS: usize = 7;
/// From every second crash to the SIGTERM of the leading control machine.
const STOP_AFTER: Duration = Duration::from_millis(10_200);
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Bound of the site aakande-drift.
const CONNECTIVITY: f64 = 3.0;
/// Retries that the rule allows.
const ALLOWED: usize = 3;

fn send(gateway: SocketAddr, method: &str, path: &str, body: &str, id: &str) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let mut stream = BufReader::new(stream);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Api-Key: key-1\r\nX-Deadline-Ms: 2500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.get_mut().write_all(text.as_bytes())?;
    let head = read_head(&mut stream)?.ok_or_else(|| io::Error::other("closed"))?;
    let mut answer = vec![0; head.length()];
    stream.read_exact(&mut answer)?;
    Ok(head.status())
}

/// Sends other requests, which may run only once, so that there is traffic at all machines.
fn other_callers(gateway: SocketAddr, record: &Record, over: &AtomicBool, cut: &AtomicUsize) {
    while !over.load(Ordering::SeqCst) {
        let id = request_id();
        let answer = send(gateway, "POST", &format!("/book/{id}"), "book", &id);
        if !matches!(answer, Ok(200)) {
            record.note(format!("other request {id} answered {answer:?}"));
            cut.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(60));
    }
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::start(&record, GATEWAYS);
    let crashes = Arc::new(Mutex::new(Vec::<f64>::new()));
    let _targets: Vec<_> = (0..TARGETS)
        .map(|index| {
            let crashes = crashes.clone();
            Target::start(&deployment, index, "app", move |mut run| {
                if run.body == b"crash" {
                    let record = &run.target.record;
                    record.note(format!("run {}: worker {} crashes", run.request(), run.id));
                    crashes.lock().unwrap().push(record.now());
                    run.target.crash(DOWN);
                    return Err(io::Error::other("crashed"));
                }
                thread::sleep(Duration::from_millis(150));
                run.answer(b"done")
            })
        })
        .collect();
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}/\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":2500,\"slo_ms\":150,\"priority\":1,\
             \"service\":\"app\",\"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\
             \"resumable\":false,\"gap_aim_ms\":0}}"
        )
    };
    deployment.configure(&format!(
        "{{\"version\":3,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":400,\
         \"protocol\":\"h1\",\"tls\":false}}],{LIMITS},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        route("book", "non_idempotent", 1),
        route("read", "idempotent", 2),
    ));
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let over = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicUsize::new(0));
    let others: Vec<_> = (0..GATEWAYS * OTHERS_PER_GATEWAY)
        .map(|number| {
            let gateway = deployment.gateway(number % GATEWAYS);
            let (record, over, cut) = (record.clone(), over.clone(), cut.clone());
            thread::spawn(move || other_callers(gateway, &record, &over, &cut))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut starts = Vec::new();
    let mut next = Instant::now();
    for number in 0..REQUESTS {
        let id = request_id();
        record.note(format!("sent {id} to gateway {}", number % GATEWAYS));
        let gateway = deployment.gateway(number % GATEWAYS);
        let answer = send(gateway, "POST", "/book/1", "crash", &id);
        record.note(format!("answered {id}: {answer:?}"));
        if number + 1 == REQUESTS {
            break;
        }
        next += INTERVAL;
        if trouble() && number % 2 == 1 {
            thread::sleep(STOP_AFTER.saturating_sub(Duration::from_secs(1)));
            let leader = deployment.leader();
            thread::sleep(Duration::from_millis(150));
            record.note(format!("control {leader}, which leads, gets SIGTERM"));
            deployment.signal(Kind::Control, leader, "TERM");
            deployment.wait(Kind::Control, leader);
            thread::sleep(RESTART_AFTER);
            deployment.spawn(Kind::Control, leader, false);
            starts.push(record.now());
            record.note(format!("control {leader} is started again"));
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    over.store(true, Ordering::SeqCst);
    for other in others {
        let _ = other.join();
    }
    drop(deployment);
    let crashes = crashes.lock().unwrap().clone();
    let Some(third) = crashes.get(2) else {
        record.say("not run: fewer than three crashes");
        std::process::exit(common::NOT_RUN);
    };
    // The machines are out of touch until `connectivity_ms` after a start of a control process.
    let in_touch = |at: f64| starts.iter().all(|start| at <= *start || at > start + CONNECTIVITY);
    let counted = |at: &&f64| **at > third + CONNECTIVITY && in_touch(**at);
    let retries = crashes.iter().filter(counted).count();
    record.say(format!(
        "{} crashes; {retries} later than 3 s after the third, by machines in touch; {} other requests not served",
        crashes.len(),
        cut.load(Ordering::SeqCst)
    ));
    let broken = retries > ALLOWED;
    record.say(if broken { "BUDGET is broken" } else { "BUDGET holds" });
    std::process::exit(i32::from(broken));
}
