//! Case 9: all control processes are killed, and are back within a second, right after they have
//! acknowledged that a worker leaves.

mod common;

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    CORES, Deployment, Kind, LIMITS, NOT_RUN, Record, Target, read_head, request_id, trouble,
};

const GATEWAYS: usize = 2;
const TARGETS: usize = 3;
/// How long the worker goes on serving after the acknowledgement.
const LINGERS: Duration = Duration::from_secs(12);
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Bounds of the site aakande-drift.
const DRAIN: f64 = 2.0;
const CONNECTIVITY: f64 = 3.0;

fn send(gateway: SocketAddr, id: &str) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let mut stream = BufReader::new(stream);
    let text = format!(
        "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Api-Key: key-1\r\nX-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbook"
    );
    stream.get_mut().write_all(text.as_bytes())?;
    let head = read_head(&mut stream)?.ok_or_else(|| io::Error::other("closed"))?;
    let mut answer = vec![0; head.length()];
    stream.read_exact(&mut answer)?;
    Ok(head.status())
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::start(&record, GATEWAYS);
    let runs = Arc::new(Mutex::new(Vec::<(f64, String)>::new()));
    let targets: Vec<_> = (0..TARGETS)
        .map(|index| {
            let runs = runs.clone();
            Target::start(&deployment, index, "app", move |mut run| {
                let record = &run.target.record;
                record.note(format!("run {} at {}", run.request(), run.id));
                runs.lock().unwrap().push((record.now(), run.id.to_owned()));
                thread::sleep(Duration::from_millis(30));
                run.answer(b"booked")
            })
        })
        .collect();
    deployment.configure(&format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"book\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/book/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":2500,\
         \"slo_ms\":150,\"priority\":1,\"service\":\"app\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false,\"gap_aim_ms\":0}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":400,\
         \"protocol\":\"h1\",\"tls\":false}}],{LIMITS},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    ));
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(5));
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..GATEWAYS)
        .map(|index| {
            let (gateway, record, over) = (deployment.gateway(index), record.clone(), over.clone());
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let id = request_id();
                    record.note(format!("sent {id} to gateway {index}"));
                    let answer = send(gateway, &id);
                    record.note(format!("answered {id}: {answer:?}"));
                    thread::sleep(Duration::from_millis(70));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let leaving = &targets[0];
    let id = leaving.id();
    let pids: Vec<_> = (0..CORES).map(|i| deployment.pid(Kind::Control, i)).collect();
    if !leaving.deregister(deployment.control(1)) {
        deployment.give_up("no acknowledgement that the worker leaves");
    }
    let at = Instant::now();
    let acknowledged = record.now();
    let mut started = acknowledged;
    if trouble() {
        common::kill_all(&pids);
        record.note(format!("all {CORES} control processes are killed"));
        for index in 0..CORES {
            deployment.wait(Kind::Control, index);
        }
        thread::sleep(RESTART_AFTER);
        for index in 0..CORES {
            deployment.spawn(Kind::Control, index, false);
        }
        started = record.now();
        record.note("all control processes are started again");
        if started > acknowledged + 1.0 {
            deployment.give_up("the control processes were not back within a second");
        }
    }
    record.note(format!("control 1 had acknowledged at {acknowledged:.3} s that {id} leaves"));
    thread::sleep(LINGERS.saturating_sub(at.elapsed()));
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(deployment);
    // The machines are in touch again from then on.
    let calm = started + CONNECTIVITY;
    let from = calm.max(acknowledged + DRAIN);
    let runs = runs.lock().unwrap();
    let late = runs.iter().filter(|(at, target)| *at > from && *target == id).count();
    let all = runs.iter().filter(|(at, _)| *at > from).count();
    record.say(format!(
        "{late} of {all} requests reached the worker later than {:.2} s after the acknowledgement",
        from - acknowledged
    ));
    if all < 50 {
        record.say("not run: too few requests ran");
        std::process::exit(NOT_RUN);
    }
    record.say(if late > 0 { "DRAIN is broken" } else { "DRAIN holds" });
    std::process::exit(i32::from(late > 0));
}
