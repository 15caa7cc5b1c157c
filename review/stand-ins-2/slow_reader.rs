//! Case 7: callers read their answers slowly while the gateway that took their requests is
//! stopped with SIGTERM.

mod common;

use std::{
    collections::HashSet,
    io::{self, BufReader, Read, Write},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::{Deployment, Kind, LIMITS, Record, Target, read_head, request_id, trouble};

/// Ids of the requests that a worker has run.
type Runs = Arc<Mutex<HashSet<String>>>;

const CALLERS: usize = 10;
/// Length of each answer.
const ANSWER_BYTES: usize = 500_000;
/// For how long a caller does not read, after the head of its answer has arrived.
const PAUSE: Duration = Duration::from_secs(4);
/// Time of the callers, and of the route.
const DEADLINE: Duration = Duration::from_secs(15);

/// Sends a request, reads the head of the answer, pauses, and reads the rest. Returns whether
/// the answer was complete.
fn caller(gateway: SocketAddr, record: &Record, runs: &Runs) -> io::Result<bool> {
    let stream = common::connect_as_on_a_network(gateway)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let id = request_id();
    let text = format!(
        "GET /list/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Api-Key: key-1\r\n\
         X-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let began = Instant::now();
    let mut reader = BufReader::with_capacity(4_096, stream);
    reader.get_mut().write_all(text.as_bytes())?;
    record.note(format!("sent {id}"));
    let head = match read_head(&mut reader) {
        Ok(Some(head)) => head,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
        // It counts only if it has been passed on to a worker.
        Ok(None) | Err(_) => {
            record.note(format!("no answer to {id}"));
            return Ok(!runs.lock().unwrap().contains(&id));
        }
    };
    record.note(format!("answer to {id} begins: {}, {} bytes", head.line, head.length()));
    thread::sleep(PAUSE);
    let mut body = Vec::new();
    let read = reader.take(head.length() as u64).read_to_end(&mut body);
    let took = began.elapsed().as_secs_f64();
    let whole = head.status() == 200 && body.len() == head.length();
    if !whole && began.elapsed() >= DEADLINE {
        return Err(io::Error::other("its deadline has passed"));
    }
    record.note(format!(
        "answer to {id} {}: {} of {} bytes after {took:.1} s, {read:?}",
        if whole { "is complete" } else { "ends early" },
        body.len(),
        head.length()
    ));
    Ok(whole)
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::start(&record, 2);
    let runs = Runs::default();
    let running = runs.clone();
    let serve = move |mut run: common::Run<'_>| {
        running.lock().unwrap().insert(run.request().to_owned());
        run.target.record.note(format!("run {}", run.request()));
        let answered = run.answer(&vec![b'x'; ANSWER_BYTES]);
        run.target.record.note(format!("run {} has sent its whole answer", run.request()));
        answered
    };
    let _target = Target::start(&deployment, 0, "app", serve);
    deployment.configure(&format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"list\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/list/\",\"route_kind\":\"idempotent\",\"timeout_ms\":{},\
         \"slo_ms\":600,\"priority\":1,\"service\":\"app\",\"max_attempts\":2,\"public\":false,\
         \"sticky\":false,\"resumable\":false,\"gap_aim_ms\":0}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":400,\
         \"protocol\":\"h1\",\"tls\":false}}],{LIMITS},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        DEADLINE.as_millis()
    ));
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let gateway = deployment.gateway(0);
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || caller(gateway, &record, &runs))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let mut lived = None;
    if trouble() {
        record.say("the gateway gets SIGTERM; its grace period is 8 s");
        let at = Instant::now();
        deployment.signal(Kind::Gateway, 0, "TERM");
        deployment.wait(Kind::Gateway, 0);
        lived = Some(at.elapsed());
    }
    let mut cut = 0;
    let mut other = 0;
    for caller in callers {
        match caller.join() {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => cut += 1,
            Ok(Err(error)) => {
                record.note(format!("a caller failed: {error}"));
                other += 1;
            }
            Err(_) => other += 1,
        }
    }
    drop(deployment);
    if let Some(lived) = lived {
        record.say(format!("the gateway ended {:.1} s after SIGTERM", lived.as_secs_f64()));
    }
    record.say(format!("{cut} of {CALLERS} answers ended early"));
    if other > 0 {
        record.say("not run: a caller failed");
        std::process::exit(common::NOT_RUN);
    }
    record.say(if cut > 0 { "LOST is broken" } else { "LOST holds" });
    std::process::exit(i32::from(cut > 0));
}
