//! A machine of the core loses its disk while the whole system starts for the first time.
//!
//! All machines start within 0.3 s. The seed with the lowest address is the first, and loses its
//! disk before the last ones have started. It is back a second later, with an empty disk and
//! without `bootstrap`. An operator sends a configuration until it is acknowledged. With KEEP_DISK=1
//! its processes are killed and its disk is kept.

mod harness;

use std::{fs, thread, time::Instant};

use harness::*;

/// Time from the first start to the loss, and to the start of the other machines.
const LOST_AFTER_MS: u64 = 200;
const OTHERS_AFTER_MS: u64 = 280;

/// Time from the loss to the next start.
const DOWN_MS: u64 = 1_000;

/// How long the operator goes on, from the moment at which all machines run. `ack_ms` is 4 s.
const PATIENCE_MS: u64 = 40_000;

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"lookup","host":"pond.example",
"path_prefix":"/lookup/","route_kind":"idempotent","timeout_ms":1200,"slo_ms":150,"priority":2,
"service":"butik-app","max_attempts":2,"public":false,"sticky":false,"resumable":false,
"gap_aim_ms":0}],"services":[{"name":"butik-app","health_path":"/healthz","max_conns":208,
"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"lilies",
"api_keys":["key-of-lilies"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":76260,
"burst":76260}]}"#;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let trouble = with_trouble();
    let keep_disk = std::env::var("KEEP_DISK").is_ok_and(|v| v == "1");
    record.line(&format!("disruption: {trouble}"));
    let mut cluster = Cluster::prepare(2, &record);
    let start = Instant::now();
    let wait_until = |at: u64| thread::sleep(ms(at).saturating_sub(start.elapsed()));
    cluster.start_machine(0, true);
    record.line("the seed with the lowest address starts");
    wait_until(LOST_AFTER_MS);
    if trouble {
        cluster.kill(0);
        if keep_disk {
            record.line("its processes are killed");
        } else {
            let _ = fs::remove_dir_all(cluster.folder.join("data-0"));
            record.line("it loses its disk");
        }
    }
    wait_until(OTHERS_AFTER_MS);
    for machine in 1..7 {
        cluster.start_machine(machine, true);
    }
    record.line("all other machines have started");
    if trouble {
        wait_until(LOST_AFTER_MS + DOWN_MS);
        cluster.start_machine(0, false);
        record.line("it is back, with bootstrap false");
    }
    let start = Instant::now();
    let mut acknowledged = false;
    let mut backoff = 50;
    'operator: while start.elapsed() < ms(PATIENCE_MS) {
        for address in cluster.control_planes() {
            let sent = start.elapsed();
            let got = call(address, "POST", "/config/replace", &[], CONFIGURATION, ms(1_000));
            let got = got.map(|r| (r.status(), r.text()));
            let after = sent.as_secs_f64();
            if backoff < 1_000 || got.as_ref().is_some_and(|g| g.0 != 503) {
                record.line(&format!("configuration sent at {after:.2} s to {address}: {got:?}"));
            }
            if got.is_some_and(|g| g.0 == 200) {
                acknowledged = true;
                break 'operator;
            }
        }
        thread::sleep(ms(backoff));
        backoff = (backoff * 2).min(1_000);
    }
    let took = start.elapsed().as_secs_f64();
    record.line(&format!("acknowledged: {acknowledged}, after {took:.2} s"));
    let headers = [
        ("X-Request-Id", "9c41d07be2a35f68".to_owned()),
        ("X-Deadline-Ms", "2500".to_owned()),
        ("X-Api-Key", "key-of-lilies".to_owned()),
    ];
    for gateway in 0..2 {
        let got = call(cluster.frontend(gateway), "GET", "/lookup/1", &headers, "", ms(2_500));
        record.line(&format!("a request at gateway {gateway}: {:?}", got.map(|r| r.status())));
    }
    for machine in 0..5 {
        let log = cluster.log(machine);
        let leads = log.lines().filter(|l| l.contains("\"role\":\"Leader\"")).count();
        record.line(&format!("control process {machine}: became leader {leads} times"));
    }
    cluster.stop();
    let code = if acknowledged { HELD } else { BROKEN };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
