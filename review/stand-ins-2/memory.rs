//! Callers read large answers slowly, and the gateway holds these beyond the memory of its
//! machine.

mod common;

use std::{
    collections::HashSet,
    fs,
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use common::{Deployment, Kind, LIMITS, NOT_RUN, Record, Target, read_head, request_id, trouble};

/// Callers that read slowly.
const READERS: usize = 220;
/// Callers of small answers, each with one request at a time.
const OTHERS: usize = 12;
/// Length of a large answer.
const ANSWER_BYTES: usize = 900_000;
/// For how long a reader does not read, after the head of its answer has arrived.
const PAUSE: Duration = Duration::from_secs(6);
/// Memory of the smallest gateway machine of the site tavolieri-ops-grown.
const MEMORY_MB: u64 = 120;

/// A kept connection of a caller.
struct Caller {
    stream: BufReader<TcpStream>,
}

impl Caller {
    fn connect(gateway: SocketAddr) -> io::Result<Self> {
        let stream = common::connect_as_on_a_network(gateway)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(16)))?;
        Ok(Self { stream: BufReader::with_capacity(4_096, stream) })
    }

    /// Sends a request and reads the answer. Returns its status and the bytes that are missing.
    fn ask(&mut self, path: &str, id: &str, pause: Duration) -> io::Result<(u16, usize)> {
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Api-Key: key-1\r\nX-Deadline-Ms: 15000\r\n\r\n"
        );
        self.stream.get_mut().write_all(text.as_bytes())?;
        let head =
            read_head(&mut self.stream)?.ok_or_else(|| io::Error::other("closed, no answer"))?;
        thread::sleep(pause);
        let mut body = Vec::new();
        let _ = (&mut self.stream).take(head.length() as u64).read_to_end(&mut body);
        Ok((head.status(), head.length() - body.len()))
    }
}

fn resident_mb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) / 1_024
}

fn main() {
    let record = Record::create();
    let deployment = Deployment::start(&record, 2);
    let runs = Arc::new(Mutex::new(HashSet::<String>::new()));
    let running = runs.clone();
    let serve = move |mut run: common::Run<'_>| {
        running.lock().unwrap().insert(run.request().to_owned());
        run.target.record.note(format!("run {}", run.request()));
        if run.head.line.contains("/large") {
            return run.answer(&vec![b'x'; ANSWER_BYTES]);
        }
        thread::sleep(Duration::from_millis(300));
        run.answer(b"status")
    };
    let _targets: Vec<_> =
        (0..4).map(|i| Target::start(&deployment, i, "app", serve.clone())).collect();
    deployment.configure(&format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"list\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/list/\",\"route_kind\":\"idempotent\",\"timeout_ms\":15000,\
         \"slo_ms\":1000,\"priority\":1,\"service\":\"app\",\"max_attempts\":2,\"public\":false,\
         \"sticky\":false,\"resumable\":false,\"gap_aim_ms\":0}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":820,\
         \"protocol\":\"h1\",\"tls\":false}}],{LIMITS},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    ));
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let gateway = deployment.gateway(0);
    let pid = deployment.pid(Kind::Gateway, 0);
    let over = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(AtomicBool::new(false));
    let most = Arc::new(AtomicU64::new(0));
    // The platform: "A process that uses more than `memory_mb` is killed."
    let platform = {
        let (record, over, killed, most) =
            (record.clone(), over.clone(), killed.clone(), most.clone());
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let used = resident_mb(pid);
                most.fetch_max(used, Ordering::SeqCst);
                if used > MEMORY_MB {
                    killed.store(true, Ordering::SeqCst);
                    common::kill_all(&[pid]);
                    record.note(format!("the platform kills the gateway, which uses {used} MB"));
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
        })
    };
    let closed = Arc::new(AtomicUsize::new(0));
    let cut = Arc::new(AtomicUsize::new(0));
    let unsent = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for index in 0..READERS + OTHERS {
        let (record, closed, cut) = (record.clone(), closed.clone(), cut.clone());
        let unsent = unsent.clone();
        let (over, killed, runs) = (over.clone(), killed.clone(), runs.clone());
        callers.push(thread::spawn(move || {
            let Ok(mut caller) = Caller::connect(gateway) else { return };
            let reads_large = index < READERS;
            let pause = if trouble() { PAUSE } else { Duration::ZERO };
            let mut number = 0;
            while !over.load(Ordering::SeqCst) {
                number += 1;
                let id = request_id();
                // The first request shows that the connection is kept.
                let is_large = reads_large && number == 2;
                if is_large {
                    thread::sleep(Duration::from_millis(10 * index as u64));
                }
                let path = if is_large { "/list/large" } else { "/list/small" };
                record.note(format!("sent {id} {path}"));
                let answer = caller.ask(path, &id, if is_large { pause } else { Duration::ZERO });
                record.note(format!("answered {id}: {answer:?}"));
                match answer {
                    Ok((200, 0)) => {}
                    Ok((200, _)) => {
                        cut.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    Ok(_) => {}
                    // Only what was passed on to a worker counts, on a kept connection.
                    Err(error) if number > 1 && error.kind() != io::ErrorKind::WouldBlock => {
                        if runs.lock().unwrap().contains(&id) {
                            closed.fetch_add(1, Ordering::SeqCst);
                        } else {
                            unsent.fetch_add(1, Ordering::SeqCst);
                        }
                        return;
                    }
                    Err(_) => return,
                }
                if is_large || killed.load(Ordering::SeqCst) {
                    return;
                }
            }
        }));
    }
    for caller in callers.drain(..READERS) {
        let _ = caller.join();
    }
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let _ = platform.join();
    drop(deployment);
    let (closed, cut) = (closed.load(Ordering::SeqCst), cut.load(Ordering::SeqCst));
    record.say(format!(
        "the gateway used up to {} MB of {MEMORY_MB}; killed: {}",
        most.load(Ordering::SeqCst),
        killed.load(Ordering::SeqCst)
    ));
    record.say(format!("{closed} kept connections ended without an answer to a request that a worker ran, {cut} within an answer, {} with a request that reached none (not counted)",
        unsent.load(Ordering::SeqCst)));
    if most.load(Ordering::SeqCst) == 0 {
        record.say("not run: the memory of the gateway is not known");
        std::process::exit(NOT_RUN);
    }
    let broken = closed > 3;
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    std::process::exit(i32::from(broken));
}
