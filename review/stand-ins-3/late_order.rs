//! A load that got no answer reaches a worker after it has restarted under its id.
//!
//! One worker has room for two of three models. It leaves one load unanswered, crashes, and starts
//! again, empty, under the same id. The load arrives when the worker has been ordered to hold the
//! two other models, and has accepted as many orders as the load states.

mod harness;

use std::{
    collections::BTreeSet,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use harness::*;

/// Time from the unanswered order to its arrival. The page says 2 to 12 s.
const LATENESS_MS: u64 = 9_000;

/// Time from the crash of the worker to its next start. "Some seconds".
const DOWN_MS: u64 = 1_500;

const MODELS: [&str; 3] = ["rada000", "rada111", "rada222"];

fn configuration() -> String {
    let models: Vec<_> = MODELS
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","weights_mb":72700.0,"load_s":1.2,"adapters":26,"adapter_mb":66.0,"warm_s":0.6,"disk_s":0.78}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":3,"routes":[{{"name":"advice","host":"pond.example","path_prefix":"/advice/",
"route_kind":"streaming","timeout_ms":5000,"slo_ms":600,"priority":1,"service":"sprog-pool",
"max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300}}],
"services":[{{"name":"sprog-pool","health_path":"/healthz","max_conns":780,"protocol":"h1",
"tls":false,"engine":{{"slots":64,"kv_tokens":162799,"kv_bytes":327680,"link_mbps":740000.0,
"moves":true,"backups":true,"stride":2,"cap":12,"host_mb":130000.0,"disk_mb":380000.0,
"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{}],"weights_mb":200000.0,
"adapter_slots":8,"loads_per_s":1.1}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}},"tenants":[{{"name":"lilies","api_keys":["key-of-lilies"],"priority":1,
"unit":"tokens","plain_tokens":200,"rate_per_s":760000,"burst":760000}}]}}"#,
        models.join(",")
    )
}

/// Sends one request, and returns its status and whether the response was whole.
fn ask(address: SocketAddr, id: &str, model: &str) -> Option<(u16, bool)> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(6_000))).ok()?;
    let headers = [
        ("Host", "pond.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", model.to_owned()),
        ("X-Token-Usage", "400,20".to_owned()),
        ("X-Prefix-Hash", format!("5c1e07a2:300,{id}:100")),
        ("X-Deadline-Ms", "5000".to_owned()),
        ("X-Api-Key", "key-of-lilies".to_owned()),
    ];
    stream.write_all(request_text("POST", "/advice/1", &headers, "{}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let end = read_body(&mut reader, &head, true, |_| ());
    Some((head.status(), end == End::Regular))
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let trouble = with_trouble();
    record.line(&format!("disruption: {trouble}"));
    let mut cluster = Cluster::start(2, &record);
    cluster.configure(&configuration());
    let sizes = MODELS.map(|m| format!("{m}:72700:1200")).join(",");
    let way = cluster.folder.join("way").display().to_string();
    let late = if trouble { format!("{}:2:{LATENESS_MS}", MODELS[2]) } else { String::new() };
    let address = cluster.worker_address(0);
    let options = [
        ("service", "sprog-pool".to_owned()),
        ("weights_mb", "200000".to_owned()),
        ("sizes", sizes),
        ("holds", format!("{},{}", MODELS[0], MODELS[1])),
        ("gap_ms", "20".to_owned()),
        ("way", way.clone()),
        ("late", late),
    ];
    let mut worker = Worker::start(&cluster, 0, "i-7f3a91c2", address, &options);
    cluster.wait_until_ready();

    // Clients ask for what `wanted` lists, a few times a second.
    let wanted = Arc::new(Mutex::new(vec![format!("{}/a1", MODELS[0])]));
    let count = Arc::new(AtomicU64::new(0));
    let asked = Arc::new(Mutex::new(BTreeSet::new()));
    let frontends = [cluster.frontend(0), cluster.frontend(1)];
    let (asking, counting, noting, recording) =
        (wanted.clone(), count.clone(), asked.clone(), record.clone());
    thread::spawn(move || {
        loop {
            let models = asking.lock().unwrap().clone();
            for model in models {
                let number = counting.fetch_add(1, Ordering::SeqCst);
                let (record, noting) = (recording.clone(), noting.clone());
                let address = frontends[number as usize % 2];
                thread::spawn(move || {
                    let id = format!("{:x}", 0xa000_0000_u64 + number);
                    let got = ask(address, &id, &model);
                    record.line(&format!("request {id} for {model}: {got:?}"));
                    if got == Some((200, true)) {
                        noting.lock().unwrap().insert(model);
                    }
                });
            }
            thread::sleep(ms(250));
        }
    });
    let served = |model: &str| asked.lock().unwrap().contains(model);
    let wait = |what: &str, limit: u64, condition: &mut dyn FnMut() -> bool| {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() > ms(limit) {
                record.line(&format!("did not come about: {what}"));
                return false;
            }
            thread::sleep(ms(20));
        }
        record.line(what);
        true
    };
    let adapter = format!("{}/a1", MODELS[0]);
    if !wait("an adapter was loaded and used", 20_000, &mut || served(&adapter)) {
        cluster.give_up("no adapter");
    }
    // Demand moves: the third model is asked for in place of the second one.
    *wanted.lock().unwrap() = vec![MODELS[0].to_owned(), MODELS[2].to_owned()];
    if trouble {
        let mut held_up = || exists(&way);
        if !wait("the load of the third model got no answer", 30_000, &mut held_up) {
            cluster.give_up("the order to be held up was not sent");
        }
        thread::sleep(ms(1_000));
        *wanted.lock().unwrap() = vec![MODELS[0].to_owned(), MODELS[1].to_owned()];
        worker.kill();
        record.line("the worker crashes");
        thread::sleep(ms(DOWN_MS));
        let again = [("holds", String::new()), ("late", String::new())];
        worker.start_again("i-7f3a91c2", &again);
        record.line("the worker starts again, empty, under its id");
        wait("the order arrives", LATENESS_MS + 1_000, &mut || !exists(&way));
        thread::sleep(ms(2_000));
    } else {
        if !wait("the third model was used", 30_000, &mut || served(MODELS[2])) {
            cluster.give_up("the third model was not loaded");
        }
        *wanted.lock().unwrap() = vec![MODELS[0].to_owned(), MODELS[1].to_owned()];
        thread::sleep(ms(12_000));
    }
    let lines = worker.lines();
    // What clients got is in the record already.
    for line in lines.iter().filter(|l| !l.contains("piece") && !l.contains(" run")) {
        record.line(&format!("worker: {line}"));
    }
    let overfilled = lines.iter().any(|l| l.contains("OVERFILLED"));
    record.line(&format!("worker overfilled: {overfilled}"));
    worker.kill();
    cluster.stop();
    let code = if overfilled { BROKEN } else { HELD };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
