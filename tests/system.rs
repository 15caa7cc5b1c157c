//! End-to-end tests: the daemons run as separate processes, talk over loopback sockets,
//! and are killed or paused by signals.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts in tests are small"
)]

mod support;

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use hornbeamdock::{
    connection::peer::{BUILD, Body, Frame, Hello, version},
    process::clock::Clock,
};
use hornbeamdock_fakes::{
    engine::{self, Engine},
    service::{self, Service},
};
use support::{CALLER_KEY, Call, Cluster, OPERATOR_KEY, Response, SECRET, wait_until};
use tokio::{net::TcpStream, task::JoinHandle};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time within which a change, or a loss of control, must take effect on all entry
/// processes. The requirement says "within seconds"; issue 4 sets this to 5 s.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// Defines each test of this file: its name and the function that runs it.
macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                $run.await;
            }
        )+
    };
}

cases! {
    requests_are_served_end_to_end => end_to_end();
    status_shows_the_builds_of_all_processes => builds();
    withdrawn_key_stops_a_running_stream => withdrawn_key();
    withdrawn_key_is_refused_at_once_by_the_entry_that_withdrew_it => withdrawn_here();
    keys_allow_only_requests_in_their_scope => key_scopes();
    records_survive_failures_of_the_leader => leader_killed();
    lost_disks_one_after_the_other_lose_no_records => lost_disks();
    entry_without_control_refuses_requests => entry_without_control();
    claimed_call_is_not_repeated_after_its_entry_is_killed => claimant_killed();
    claimed_call_is_not_repeated_after_its_entry_is_paused => claimant_paused();
    claimed_call_with_a_lost_response_is_not_repeated => response_lost();
    same_call_sent_concurrently_runs_once => concurrent_calls();
    stream_is_resumed_after_its_target_crashed => target_crashes();
    stream_that_cannot_be_resumed_ends_with_an_error => cannot_resume();
    stream_is_not_resumed_at_an_engine_of_another_version => other_version();
    queued_requests_complete_during_shutdown => queued_at_shutdown();
    connection_in_the_accept_queue_at_a_stop_signal_is_served => accept_queue_at_shutdown();
    claimed_call_runs_once_across_a_change_of_leader => leader_killed_during_claim();
    crashing_request_is_refused_and_others_complete => crashing_request();
    endless_answer_is_not_taken_for_a_crash => endless_answer();
    stalled_stream_ends_30_s_after_its_last_event => stalled_stream();
    stream_with_slow_events_is_not_cut => slow_stream();
    caller_gone_cancels_the_stream => caller_disconnects();
    leaving_target_gets_no_new_requests => leaving_target();
    evacuated_domain_gets_no_requests => evacuated_domain();
    evacuation_is_not_proposed_beside_replicas_of_an_earlier_build => earlier_replicas();
    rolling_restart_interrupts_no_request => rolling_restart();
    rate_limit_holds_across_all_entries => rate_across_entries();
    lost_order_responses_do_not_overcommit_memory => lost_order_responses();
}

async fn engine(cluster: &Cluster, name: &str) -> Engine {
    let options = engine::Options::quick(name, cluster.internal_addresses.clone());
    Engine::start(options).await.expect("the engine starts")
}

async fn service(cluster: &Cluster, name: &str) -> Service {
    let options = service::Options::quick(name, "orders", cluster.internal_addresses.clone());
    Service::start(options).await.expect("the service starts")
}

async fn end_to_end() {
    let cluster = Cluster::start(3, 3).await;
    let (engine, service) = (engine(&cluster, "e1").await, service(&cluster, "s1").await);
    cluster.configure().await;
    for index in 0..3 {
        let buffered =
            cluster.call_until_success(|| cluster.chat_call(index, r#""max_tokens": 4"#)).await;
        expect_that!(
            buffered.json()["choices"][0]["message"]["content"].as_str(),
            some(eq("t0 t1 t2 t3"))
        );
        let streamed = cluster
            .call_until_success(|| cluster.chat_call(index, r#""max_tokens": 4, "stream": true"#))
            .await;
        expect_that!(streamed.tokens(), eq(&["t0", "t1", "t2", "t3"]));
        expect_that!(streamed.text.trim_end(), ends_with("data: [DONE]"));
        let shipment = cluster
            .call_until_success(|| cluster.shipment_call(index, &format!("k{index}"), "{}"))
            .await;
        expect_that!(shipment.json()["run"], eq(&1));
        let models =
            Call::new("GET", cluster.listen_addresses[index], "/v1/models").key(CALLER_KEY);
        let models = cluster.call_until_success(|| models.clone()).await;
        expect_that!(models.text, contains_substring("adviser-lilies"));
    }
    let from_adapter = cluster
        .call_until_success(|| {
            Call::new("POST", cluster.listen_addresses[1], "/v1/completions")
                .key(CALLER_KEY)
                .body(r#"{"model": "adviser-lilies", "prompt": "shade", "max_tokens": 2}"#)
        })
        .await;
    expect_that!(from_adapter.json()["model"].as_str(), some(eq("adviser-lilies")));
    let call = cluster.chat_call(0, r#""max_tokens": 3, "stream": true"#);
    let over_http2 = support::Client::http2().call(call).await.expect("there is a response");
    expect_that!(over_http2.tokens(), eq(&["t0", "t1", "t2"]));
    expect_that!(engine.key_leaks() + service.key_leaks(), eq(0));
    let status = cluster.status(2).await;
    expect_that!(status["control"].as_array().map(Vec::len), some(eq(3)));
    expect_that!(status["targets"].as_array().map(Vec::len), some(eq(2)));
    let timeline = cluster.admin_until_accepted(0, "GET", "timeline", "").await;
    for kind in ["Leading", "Committed", "InForce", "Ordered", "Dispatched"] {
        expect_that!(timeline.text, contains_substring(kind));
    }
    let refused = cluster.admin(0, "POST", "records", r#"{"schema": 9}"#).await;
    expect_that!(refused.map(|a| a.status), some(eq(422)));
}

/// A stream ends with an error when its key is withdrawn through another entry process.
async fn builds() {
    let cluster = Cluster::start(3, 2).await;
    let messages = serde_json::json!({"oldest": version::OLDEST, "latest": version::LATEST});
    let own = serde_json::json!([BUILD, messages]);
    let build = |process: &serde_json::Value| {
        serde_json::json!([process["build"].clone(), process["messages"].clone()])
    };
    // Every process connects to the leader, and it states each with the version in use.
    let expected = ["control-1", "control-2", "control-3", "entry-0", "entry-1"];
    wait_until("the leader shows all other processes", || async {
        let status = cluster.status(0).await;
        let replicas = status["control"].as_array().cloned().unwrap_or_default();
        let Some(leader) = replicas.iter().find(|r| r["owner"] == true) else {
            return false;
        };
        let own_name = format!("control-{}", leader["id"]);
        let connected = leader["connected"].as_array().cloned().unwrap_or_default();
        let shows = |name: &&str| {
            connected
                .iter()
                .any(|c| c["name"] == **name && build(c) == own && c["version"] == version::LATEST)
        };
        expect_that!(build(&status["entry"]), eq(&own));
        replicas.iter().all(|r| build(r) == own)
            && expected.iter().filter(|name| **name != own_name).all(shows)
    })
    .await;
}

async fn withdrawn_key() {
    let cluster = Cluster::start(3, 2).await;
    let engine = engine(&cluster, "e1").await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let call = cluster.chat_call(1, r#""max_tokens": 9000, "stream": true"#);
    let withdraw = async {
        wait_until("the stream runs", || async { engine.requests() > 1 }).await;
        let start = Instant::now();
        cluster.admin_until_accepted(0, "DELETE", "keys/lilies-shop", "").await;
        start
    };
    let (response, start) = tokio::join!(cluster.client.call(call), withdraw);
    let response = response.expect("the stream began");
    expect_that!(start.elapsed(), lt(PROPAGATION_LIMIT));
    expect_that!(response.complete, eq(false));
    expect_that!(response.text, contains_substring("key_withdrawn"));
    expect_that!(response.text, not(contains_substring("[DONE]")));
    let refused = cluster.client.call(cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    expect_that!(refused.map(|a| a.status), some(eq(401)));
    wait_until("the stream at the engine is cancelled", || async {
        engine.cancelled_streams() > 0
    })
    .await;
}

async fn withdrawn_here() {
    let cluster = Cluster::start(1, 1).await;
    let _engine = engine(&cluster, "e1").await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    cluster.admin_until_accepted(0, "DELETE", "keys/lilies-shop", "").await;
    let refused = cluster.client.call(cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    expect_that!(refused.map(|a| a.status), some(eq(401)));
}

/// Checks the response to wrong, misplaced and repeated keys. No key may reach a target.
async fn key_scopes() {
    let cluster = Cluster::start(1, 1).await;
    let engine = engine(&cluster, "e1").await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let chat_with_key = |key: Option<&str>| {
        let call = Call::new("POST", cluster.listen_addresses[0], "/v1/chat/completions")
            .body(r#"{"model": "adviser", "max_tokens": 1}"#);
        key.map_or(call.clone(), |k| call.key(k))
    };
    let with_key_elsewhere = |query: &str, body: &str| {
        let path = format!("/v1/chat/completions{query}");
        Call::new("POST", cluster.listen_addresses[0], &path).key(CALLER_KEY).body(body)
    };
    let body = r#"{"model": "adviser", "max_tokens": 1}"#;
    let calls = [
        (chat_with_key(None), 401),
        (chat_with_key(Some("hbd.lilies-shop.guessed")), 401),
        (chat_with_key(Some("nonsense")), 401),
        (chat_with_key(Some(OPERATOR_KEY)), 403),
        (
            chat_with_key(Some(CALLER_KEY))
                .header("AuThOrIzAtIoN", &format!("Bearer {CALLER_KEY}")),
            401,
        ),
        (chat_with_key(Some(CALLER_KEY)).header("x-api-key", CALLER_KEY), 401),
        (chat_with_key(None).header("X-API-Key", CALLER_KEY), 200),
        (chat_with_key(Some(CALLER_KEY)).header("x-note", CALLER_KEY), 400),
        (with_key_elsewhere(&format!("?api_key={CALLER_KEY}"), body), 400),
        (with_key_elsewhere("", &body.replace("adviser", CALLER_KEY)), 400),
        (Call::new("GET", cluster.listen_addresses[0], "/admin/v1/status").key(CALLER_KEY), 403),
        (Call::new("GET", cluster.listen_addresses[0], "/admin/v1/status"), 401),
    ];
    for (call, status) in calls {
        let description = format!("{call:?}");
        let response = cluster.client.call(call).await.expect("there is a response");
        expect_that!(response.status, eq(status), "{description}: {}", response.text);
    }
    expect_that!(engine.key_leaks(), eq(0));
}

async fn leader_killed() {
    let mut cluster = Cluster::start(3, 2).await;
    cluster.configure().await;
    for version in 2..5_u64 {
        let leader = cluster.wait_for_leader(0).await;
        cluster.replicas.get_mut(&leader).expect("the replica exists").kill();
        let record = serde_json::json!({"schema": 2, "kind": "workspace", "name": "lilies",
            "version": version, "rate": 2000, "burst": 10000 + version, "weight": 1});
        cluster.admin_until_accepted(1, "POST", "records", &record.to_string()).await;
        let start = Instant::now();
        wait_until("the record is in force on the other entry process", || async {
            let records = cluster.admin(0, "GET", "records", "").await;
            records.is_some_and(|r| r.text.contains(&format!("{}", 10000 + version)))
        })
        .await;
        expect_that!(start.elapsed(), lt(PROPAGATION_LIMIT));
        cluster.start_replica(leader);
    }
}

/// Each replica in turn restarts with an empty disk. It must become a voter again, and no
/// record may be lost.
async fn lost_disks() {
    let mut cluster = Cluster::start(3, 1).await;
    cluster.configure().await;
    for id in [2, 3, 1] {
        cluster.replicas.get_mut(&id).expect("the replica exists").kill();
        cluster.lose_disk(id);
        cluster.start_replica(id);
        wait_until("the replica is a voter and has caught up", || async {
            let status = cluster.status(0).await;
            let replicas = status["control"].as_array().cloned().unwrap_or_default();
            let leader = replicas.iter().find(|r| r["owner"] == true);
            let voters = leader.and_then(|r| r["voters"].as_array().map(Vec::len));
            let caught_up = replicas.iter().all(|r| r["applied"].as_u64() > Some(0));
            voters == Some(3) && caught_up
        })
        .await;
        let records = cluster.admin_until_accepted(0, "GET", "records", "").await;
        expect_that!(records.text, contains_substring("lilies"));
    }
}

/// An entry process whose control replicas are paused must not serve with an outdated
/// configuration.
async fn entry_without_control() {
    let cluster = Cluster::start(3, 1).await;
    let engine = engine(&cluster, "e1").await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let start = Instant::now();
    cluster.replicas.values().for_each(|c| c.signal("STOP"));
    wait_until("the entry process is not ready", || async {
        cluster.get(0, "/ready").await.is_some_and(|a| a.status == 503)
    })
    .await;
    expect_that!(start.elapsed(), lt(PROPAGATION_LIMIT));
    let before = engine.requests();
    let refused = cluster.client.call(cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let refused = refused.expect("there is a response");
    expect_that!((refused.status, refused.ran().as_str()), eq((503, "no")));
    expect_that!(refused.headers.contains_key("retry-after"), eq(true));
    expect_that!(engine.requests(), eq(before));
    cluster.replicas.values().for_each(|c| c.signal("CONT"));
    cluster.wait_until_ready(0).await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
}

/// Starts a service whose responses take 2 s.
async fn slow_service(cluster: &Cluster) -> Service {
    let quick = service::Options::quick("s1", "orders", cluster.internal_addresses.clone());
    let options = service::Options { delay: Duration::from_secs(2), ..quick };
    Service::start(options).await.expect("the service starts")
}

/// Sends a shipment call through the first entry process in a new task.
fn spawn_shipment(cluster: &Cluster, key: &str) -> JoinHandle<Option<Response>> {
    let (client, call) = (cluster.client.clone(), cluster.shipment_call(0, key, "{}"));
    tokio::spawn(async move { client.call(call).await })
}

/// The call may have run when its entry process is killed, so repeats must be refused.
async fn claimant_killed() {
    let mut cluster = Cluster::start(3, 2).await;
    let service = slow_service(&cluster).await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.shipment_call(0, "warm", "{}")).await;
    let call = spawn_shipment(&cluster, "k");
    wait_until("the call runs", || async { service.runs("k") == 1 }).await;
    cluster.entries[0].kill();
    expect_that!(call.await.expect("the task ends").is_none(), eq(true));
    wait_until("the outcome is reported as unknown", || async {
        let repeated = cluster.client.call(cluster.shipment_call(1, "k", "{}")).await;
        let repeated = repeated.expect("there is a response");
        expect_that!(repeated.status, eq(409));
        expect_that!(repeated.ran(), eq("unknown"));
        repeated.error_type() == "outcome_unknown"
    })
    .await;
    expect_that!(service.runs("k"), eq(1));
}

/// As in [`claimant_killed`], but the entry process continues later and gets the response.
async fn claimant_paused() {
    let cluster = Cluster::start(3, 2).await;
    let service = slow_service(&cluster).await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.shipment_call(0, "warm", "{}")).await;
    let call = spawn_shipment(&cluster, "k");
    wait_until("the call runs", || async { service.runs("k") == 1 }).await;
    cluster.entries[0].signal("STOP");
    wait_until("the outcome is reported as unknown", || async {
        let repeated = cluster.client.call(cluster.shipment_call(1, "k", "{}")).await;
        repeated.is_some_and(|a| a.error_type() == "outcome_unknown")
    })
    .await;
    cluster.entries[0].signal("CONT");
    // The paused process then receives the response and records it, although its
    // session has ended and the outcome was unknown until then.
    let response = call.await.expect("the task ends").expect("there is a response");
    expect_that!(response.status, eq(200));
    wait_until("the recorded response is returned", || async {
        let repeated = cluster.client.call(cluster.shipment_call(1, "k", "{}")).await;
        repeated.is_some_and(|a| a.status == 200 && a.headers.contains_key("idempotent-replayed"))
    })
    .await;
    expect_that!(service.runs("k"), eq(1));
}

/// The service crashes after it ran the call and before it responds. Neither service may
/// run the call again.
async fn response_lost() {
    let cluster = Cluster::start(3, 2).await;
    let service = service(&cluster, "s1").await;
    let other = service::Options::quick("s2", "orders", cluster.internal_addresses.clone());
    let other = Service::start(other).await.expect("the service starts");
    cluster.configure().await;
    cluster.call_until_success(|| cluster.shipment_call(0, "warm", "{}")).await;
    let body = format!(r#"{{"note": "{}"}}"#, service::DROP_RESPONSE_TRIGGER);
    let failed = cluster
        .client
        .call(cluster.shipment_call(0, "k", &body))
        .await
        .expect("there is a response");
    expect_that!((failed.status, failed.ran().as_str()), eq((503, "unknown")));
    for index in [1, 0] {
        let repeated = cluster.client.call(cluster.shipment_call(index, "k", &body)).await;
        expect_that!(repeated.expect("there is a response").error_type(), eq("outcome_unknown"));
    }
    let reused = cluster
        .client
        .call(cluster.shipment_call(1, "k", "{}"))
        .await
        .expect("there is a response");
    expect_that!(
        (reused.status, reused.error_type().as_str()),
        eq((422, "idempotency_key_reused"))
    );
    expect_that!(service.runs("k") + other.runs("k"), eq(1));
}

async fn concurrent_calls() {
    let cluster = Cluster::start(3, 3).await;
    let service = slow_service(&cluster).await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.shipment_call(0, "warm", "{}")).await;
    let calls = (0..9).map(|n| cluster.client.call(cluster.shipment_call(n % 3, "k", "{}")));
    let responses = futures_util::future::join_all(calls).await;
    let succeeded = responses.iter().flatten().filter(|a| a.status == 200).count();
    let in_progress = responses.iter().flatten().filter(|a| a.status == 409).count();
    expect_that!((succeeded, in_progress), eq((1, 8)));
    expect_that!(service.runs("k"), eq(1));
}

/// Crashes the engine that has begun a stream, while another one states `resumable` in its
/// streamed responses. Returns the response.
async fn stream_of_crashed_engine(resumable: &'static str) -> support::Response {
    let cluster = Cluster::start(1, 1).await;
    let first = engine(&cluster, "e1").await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let model = serde_json::json!({"schema": 2, "kind": "model", "name": "adviser",
        "version": 2, "memory_mib": 400, "copies": 2, "max_output": 64});
    let options = engine::Options {
        resumable: Some(resumable),
        ..engine::Options::quick("e2", cluster.internal_addresses.clone())
    };
    let second = Engine::start(options).await.expect("the engine starts");
    cluster.admin_until_accepted(0, "POST", "records", &model.to_string()).await;
    wait_until("the model is resident on the second engine", || async {
        second.resident().len() == 1
    })
    .await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let before = (first.requests(), second.requests());
    let call = cluster.chat_call(0, r#""max_tokens": 400, "stream": true"#);
    let crash = async {
        wait_until("the stream runs", || async { (first.requests(), second.requests()) != before })
            .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        if first.requests() > before.0 { first.crash() } else { second.crash() }
    };
    let (response, ()) = tokio::join!(cluster.client.call(call), crash);
    response.expect("there is a response")
}

async fn target_crashes() {
    let response = stream_of_crashed_engine("1").await;
    let expected: Vec<_> = (0..400).map(|n| format!("t{n}")).collect();
    expect_that!(response.tokens(), eq(&expected));
    expect_that!(response.complete, eq(true));
    expect_that!(response.text.trim_end(), ends_with("[DONE]"));
}

async fn other_version() {
    let response = stream_of_crashed_engine("2").await;
    expect_that!(response.tokens().len(), gt(0));
    expect_that!(response.complete, eq(false));
    expect_that!(response.text, contains_substring("event: error"));
    expect_that!(response.text, not(contains_substring("[DONE]")));
}

async fn cannot_resume() {
    let cluster = Cluster::start(1, 1).await;
    let options = engine::Options {
        resumable: None,
        ..engine::Options::quick("e1", cluster.internal_addresses.clone())
    };
    let engine = Engine::start(options).await.expect("the engine starts");
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let call = cluster.chat_call(0, r#""max_tokens": 2000, "stream": true"#);
    let crash = async {
        wait_until("the stream runs", || async { engine.requests() > 1 }).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        engine.crash();
    };
    let (response, ()) = tokio::join!(cluster.client.call(call), crash);
    let response = response.expect("the stream began");
    expect_that!(response.tokens().len(), gt(0));
    expect_that!(response.complete, eq(false));
    expect_that!(response.text, contains_substring("event: error"));
    expect_that!(response.text, not(contains_substring("[DONE]")));
}

async fn queued_at_shutdown() {
    let mut cluster = Cluster::start(1, 1).await;
    let options = engine::Options {
        slots: 1,
        token_time: Duration::from_millis(20),
        ..engine::Options::quick("e1", cluster.internal_addresses.clone())
    };
    let engine = Engine::start(options).await.expect("the engine starts");
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let calls: Vec<_> = (0..6)
        .map(|_| {
            let (client, call) =
                (cluster.client.clone(), cluster.chat_call(0, r#""max_tokens": 20"#));
            tokio::spawn(async move { client.call(call).await })
        })
        .collect();
    wait_until("the engine runs one of the requests", || async { engine.requests() > 1 }).await;
    cluster.entries[0].signal("TERM");
    for call in calls {
        let response = call.await.expect("the task ends");
        expect_that!(response.map(|a| (a.status, a.complete)), some(eq((200, true))));
    }
    expect_that!(cluster.entries[0].wait().success(), eq(true));
}

/// The entry process gets the signal before it has accepted any of the connections.
async fn accept_queue_at_shutdown() {
    let mut cluster = Cluster::start(1, 1).await;
    let service = service(&cluster, "s1").await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.shipment_call(0, "warm", "{}")).await;
    cluster.entries[0].signal("STOP");
    let calls: Vec<_> = (0..8)
        .map(|n| {
            let call = cluster.shipment_call(0, &format!("k-{n}"), "{}");
            tokio::spawn(async move { support::Client::new().call(call).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.entries[0].signal("TERM");
    cluster.entries[0].signal("CONT");
    for call in calls {
        let response = call.await.expect("the task ends");
        expect_that!(response.map(|r| (r.status, r.complete)), some(eq((200, true))));
    }
    expect_that!((0..8).all(|n| service.runs(&format!("k-{n}")) == 1), eq(true));
    expect_that!(cluster.entries[0].wait().success(), eq(true));
}

async fn leader_killed_during_claim() {
    let mut cluster = Cluster::start(3, 2).await;
    let service = slow_service(&cluster).await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.shipment_call(0, "warm", "{}")).await;
    for round in 0..2 {
        let key = format!("k{round}");
        let call = spawn_shipment(&cluster, &key);
        // In the first round the leader is killed while the call runs, in the second soon
        // after the call was sent, about the time of the claim and the dispatch.
        if round == 0 {
            wait_until("the call runs", || async { service.runs(&key) == 1 }).await;
        }
        let leader = cluster.wait_for_leader(1).await;
        cluster.replicas.get_mut(&leader).expect("the replica exists").kill();
        let response = call.await.expect("the task ends").expect("there is a response");
        let repeated = cluster.call_until_success(|| cluster.shipment_call(1, &key, "{}")).await;
        expect_that!(repeated.status, eq(200));
        expect_that!(response.status == 200 || response.ran() != "yes", eq(true));
        expect_that!(service.runs(&key), eq(1));
        cluster.start_replica(leader);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
}

/// The request crashes the target that it shares with others, and one more in its trial.
/// It is then refused; the requests that it interrupted complete on other targets.
async fn crashing_request() {
    let cluster = Cluster::start(3, 2).await;
    cluster.configure().await;
    let model = serde_json::json!({"schema": 2, "kind": "model", "name": "adviser",
        "version": 2, "memory_mib": 400, "copies": 4, "max_output": 64});
    cluster.admin_until_accepted(0, "POST", "records", &model.to_string()).await;
    let mut engines = Vec::new();
    for name in ["e1", "e2", "e3", "e4"] {
        engines.push(engine(&cluster, name).await);
    }
    wait_until("the model is resident on every engine", || async {
        engines.iter().all(|e| e.resident().len() == 1)
    })
    .await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let crashing_fields = format!(r#""prompt": "{}", "max_tokens": 1"#, engine::CRASH_TRIGGER);
    let others = (0..8).map(|n| {
        let fields = format!(r#""prompt": "bystander {n}", "max_tokens": 500, "stream": true"#);
        cluster.client.call(cluster.chat_call(n % 2, &fields))
    });
    let send_crashing = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.client.call(cluster.chat_call(0, &crashing_fields)).await
    };
    let (others, refused) = tokio::join!(futures_util::future::join_all(others), send_crashing);
    let refused = refused.expect("there is a response");
    expect_that!((refused.status, refused.ran().as_str()), eq((422, "yes")));
    for response in others {
        expect_that!(response.map(|a| a.tokens().len()), some(eq(500)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let repeated = cluster
        .client
        .call(cluster.chat_call(1, &crashing_fields))
        .await
        .expect("there is a response");
    expect_that!(
        (repeated.status, repeated.error_type().as_str()),
        eq((422, "request_crashes_targets"))
    );
    let crashed_engines = engines.iter().filter(|e| !e.is_up()).count();
    expect_that!(crashed_engines, eq(2));
}

/// An engine that sends a response without end has not crashed, so the request is not
/// refused as one that crashes targets.
async fn endless_answer() {
    let cluster = Cluster::start(1, 1).await;
    cluster.configure().await;
    let model = serde_json::json!({"schema": 2, "kind": "model", "name": "adviser",
        "version": 2, "memory_mib": 400, "copies": 2, "max_output": 64});
    cluster.admin_until_accepted(0, "POST", "records", &model.to_string()).await;
    let engines = [engine(&cluster, "e1").await, engine(&cluster, "e2").await];
    wait_until("the model is resident on both engines", || async {
        engines.iter().all(|e| e.resident().len() == 1)
    })
    .await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let fields = format!(r#""prompt": "{}", "max_tokens": 1"#, engine::ENDLESS_TRIGGER);
    for _ in 0..2 {
        let failed = cluster.client.call(cluster.chat_call(0, &fields)).await;
        let failed = failed.expect("there is a response");
        expect_that!(
            (failed.status, failed.error_type().as_str(), failed.ran().as_str()),
            eq((503, "target_error", "unknown"))
        );
    }
    expect_that!(engines.iter().all(Engine::is_up), eq(true));
}

/// The engine sends one event, and then a byte now and then.
async fn stalled_stream() {
    let cluster = Cluster::start(1, 1).await;
    let options = engine::Options {
        resumable: None,
        ..engine::Options::quick("e1", cluster.internal_addresses.clone())
    };
    let engine = Engine::start(options).await.expect("the engine starts");
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let fields = format!(r#""prompt": "{}", "stream": true"#, engine::STALL_TRIGGER);
    let started = Instant::now();
    let response = cluster.client.call(cluster.chat_call(0, &fields)).await;
    let response = response.expect("the stream ends");
    expect_that!(started.elapsed().as_secs_f64(), all![ge(30.0), le(32.0)]);
    expect_that!(response.tokens(), eq(&["t0"]));
    expect_that!(response.complete, eq(false));
    expect_that!(response.text, contains_substring("event: error"));
    wait_until("the engine's connection is closed", || async { engine.cancelled_streams() == 1 })
        .await;
}

/// The whole stream takes longer than a stalled one may, no event does.
async fn slow_stream() {
    let cluster = Cluster::start(1, 1).await;
    let options = engine::Options {
        token_time: Duration::from_secs(11),
        ..engine::Options::quick("e1", cluster.internal_addresses.clone())
    };
    let _engine = Engine::start(options).await.expect("the engine starts");
    cluster.configure().await;
    let call = || cluster.chat_call(0, r#""max_tokens": 3, "stream": true"#);
    let response = cluster.call_until_success(call).await;
    expect_that!(response.tokens(), eq(&["t0", "t1", "t2"]));
    expect_that!(response.complete, eq(true));
    expect_that!(response.text.trim_end(), ends_with("[DONE]"));
}

/// The stream of a caller that disconnects is cancelled at the target, and the unused
/// tokens are refunded.
async fn caller_disconnects() {
    let cluster = Cluster::start(1, 1).await;
    let engine = engine(&cluster, "e1").await;
    cluster.configure().await;
    let record = serde_json::json!({"schema": 2, "kind": "workspace", "name": "pond",
        "version": 1, "rate": 10, "burst": 9500});
    cluster.admin_until_accepted(0, "POST", "records", &record.to_string()).await;
    let key = "hbd.pond.tests-pond-key";
    let grant = serde_json::json!({"id": "pond", "key": key, "scope": {"caller": "pond"}});
    cluster.admin_until_accepted(0, "POST", "keys?wait=true", &grant.to_string()).await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let call = || {
        Call::new("POST", cluster.listen_addresses[0], "/v1/chat/completions")
            .key(key)
            .body(r#"{"model": "adviser", "max_tokens": 9000, "stream": true}"#)
    };
    for cancelled in 1..=2 {
        // At 10 tokens/s it takes about 15 minutes until the rate alone allows the second
        // stream, so it starts only if the first one was refunded.
        let started = cluster.client.begin(call()).await.expect("there is a response");
        expect_that!(started.status().as_u16(), eq(200));
        drop(started);
        wait_until("the stream at the engine is cancelled", || async {
            engine.cancelled_streams() == cancelled
        })
        .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

async fn leaving_target() {
    let cluster = Cluster::start(1, 1).await;
    let (first, second) = (service(&cluster, "s1").await, service(&cluster, "s2").await);
    cluster.configure().await;
    let read = || Call::new("GET", cluster.listen_addresses[0], "/status");
    wait_until("both services have served a request", || async {
        cluster.call_until_success(read).await;
        first.total_runs() > 0 && second.total_runs() > 0
    })
    .await;
    first.announce_leaving();
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let before = first.total_runs();
    for _ in 0..50 {
        cluster.call_until_success(read).await;
    }
    expect_that!(first.total_runs(), eq(before));
}

/// Runs the operators' tool against the first entry process; returns whether it succeeded, and
/// its output.
async fn run_tool(cluster: &Cluster, key: &str, arguments: &[&str]) -> (bool, String) {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_hornbeamdock"))
        .args(["--entry", &cluster.listen_addresses[0].to_string(), "--key", key])
        .args(arguments)
        .output()
        .await
        .expect("the tool starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

/// Guards against requests to targets in an evacuated domain, against targets that get none
/// after the end of the evacuation, and against callers who evacuate.
async fn evacuated_domain() {
    let cluster = Cluster::start(3, 1).await;
    let entries = cluster.internal_addresses.clone();
    let options = service::Options::quick("s2", "orders", entries);
    let options = service::Options { domain: "b".into(), ..options };
    let first = service(&cluster, "s1").await;
    let second = Service::start(options).await.expect("the service starts");
    cluster.configure().await;
    let read = || Call::new("GET", cluster.listen_addresses[0], "/status");
    let both_serve = async || {
        let before = (first.total_runs(), second.total_runs());
        wait_until("both services have served a request", || async {
            cluster.call_until_success(read).await;
            first.total_runs() > before.0 && second.total_runs() > before.1
        })
        .await;
    };
    both_serve().await;
    for (key, domain, error) in [(CALLER_KEY, "b", "403"), (OPERATOR_KEY, "none", "404")] {
        let refused = run_tool(&cluster, key, &["evacuate", "begin", domain]).await;
        expect_that!(refused, (eq(&false), contains_substring(error)));
    }
    for _ in 0..2 {
        let begun = run_tool(&cluster, OPERATOR_KEY, &["evacuate", "begin", "b", "--wait"]).await;
        assert_that!(begun, (eq(&true), contains_substring("in_force")));
    }
    let list = run_tool(&cluster, OPERATOR_KEY, &["evacuate", "list"]).await;
    expect_that!(list, (eq(&true), contains_substring("\"domain\": \"b\"")));
    let before = second.total_runs();
    for _ in 0..50 {
        cluster.call_until_success(read).await;
    }
    expect_that!(second.total_runs(), eq(before));
    let finished = run_tool(&cluster, OPERATOR_KEY, &["evacuate", "finish", "b"]).await;
    assert_that!(finished, (eq(&true), anything()));
    both_serve().await;
}

/// Connects to a replica as another one of an earlier build does, which speaks version 3 only.
async fn connect_as_earlier_replica(
    address: net::SocketAddr,
    id: u64,
) -> Framed<TcpStream, LengthDelimitedCodec> {
    let stream = TcpStream::connect(address).await.unwrap();
    let codec = LengthDelimitedCodec::builder().little_endian().new_codec();
    let mut framed = Framed::new(stream, codec);
    let hello = Hello { protocol: 3, secret: SECRET.into(), process: format!("control-{id}") };
    let frame = Frame { stamp: Clock::new().stamp(), body: Body::Hello(hello) };
    framed.send(Bytes::from(postcard::to_stdvec(&frame).unwrap())).await.unwrap();
    framed.next().await.expect("a hello").unwrap();
    framed
}

/// Guards against entries that stall the replicas of an earlier build.
async fn earlier_replicas() {
    let cluster = Cluster::start(3, 1).await;
    // The operator's key is in force from then on.
    cluster.status(0).await;
    let mut connections = Vec::new();
    for (_, address) in cluster.replicas() {
        for (id, _) in cluster.replicas() {
            connections.push(connect_as_earlier_replica(address, id).await);
        }
    }
    let refused = run_tool(&cluster, OPERATOR_KEY, &["evacuate", "begin", "a"]).await;
    expect_that!(refused, (eq(&false), contains_substring("earlier build")));
    let list = run_tool(&cluster, OPERATOR_KEY, &["evacuate", "list"]).await;
    expect_that!(list, (eq(&true), contains_substring("[]")));
    drop(connections);
    cluster.admin_until_accepted(0, "POST", "evacuations/a/begin", "").await;
}

async fn rolling_restart() {
    let mut cluster = Cluster::start(3, 3).await;
    let _service = service(&cluster, "s1").await;
    let _engine = engine(&cluster, "e1").await;
    cluster.configure().await;
    cluster.call_until_success(|| cluster.chat_call(0, r#""max_tokens": 1"#)).await;
    let (stop, interrupted, sent) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicU64::new(0)),
    );
    let generator = LoadGenerator {
        entry_addresses: cluster.listen_addresses.clone(),
        client: cluster.client.clone(),
        stop: stop.clone(),
        interrupted: interrupted.clone(),
        sent: sent.clone(),
    };
    let generators: Vec<_> = (0..6).map(|n| tokio::spawn(generator.clone().run(n))).collect();
    for index in 0..3 {
        cluster.entries[index].signal("TERM");
        let status = cluster.entries[index].wait();
        expect_that!(status.success(), eq(true));
        cluster.start_entry(index);
        cluster.wait_until_ready(index).await;
    }
    for id in 1..=3 {
        let control = cluster.replicas.get_mut(&id).expect("the replica exists");
        control.signal("TERM");
        expect_that!(control.wait().success(), eq(true));
        cluster.start_replica(id);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    stop.store(true, Ordering::SeqCst);
    for generator in generators {
        generator.await.expect("the load generator ends");
    }
    expect_that!(interrupted.load(Ordering::SeqCst), eq(0));
    expect_that!(sent.load(Ordering::SeqCst), gt(100));
}

/// Sends requests as through a load balancer that checks readiness before each one.
#[derive(Clone)]
struct LoadGenerator {
    entry_addresses: Vec<net::SocketAddr>,
    client: support::Client,
    stop: Arc<AtomicBool>,
    interrupted: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

impl LoadGenerator {
    async fn run(self, number: usize) {
        let mut sequence = number;
        while !self.stop.load(Ordering::SeqCst) {
            sequence += 1;
            let entry = self.entry_addresses[sequence % self.entry_addresses.len()];
            let ready = self.client.call(Call::new("GET", entry, "/ready")).await;
            if ready.is_none_or(|a| a.status != 200) {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
            let call = if number.is_multiple_of(2) {
                Call::new("POST", entry, "/v1/chat/completions")
                    .key(CALLER_KEY)
                    .body(r#"{"model": "adviser", "max_tokens": 400, "stream": true}"#)
            } else {
                Call::new("GET", entry, "/status")
            };
            self.sent.fetch_add(1, Ordering::SeqCst);
            let response = self.client.call(call).await;
            // A refusal is a complete response. Only interrupted requests count.
            if response.is_none_or(|a| !a.complete) {
                self.interrupted.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

async fn rate_across_entries() {
    let cluster = Cluster::start(3, 3).await;
    let service = service(&cluster, "s1").await;
    cluster.configure().await;
    let records = serde_json::json!([
        {"schema": 2, "kind": "workspace", "name": "small", "version": 1, "rate": 20, "burst": 40},
        {"schema": 2, "kind": "route", "name": "paid", "version": 1, "path": "/paid",
         "backend": {"service": "orders"}, "access": "keyed", "repeat": "allowed"},
    ]);
    cluster.admin_until_accepted(0, "POST", "records", &records.to_string()).await;
    let key = "hbd.small.tests-small-key";
    let grant = serde_json::json!({"id": "small", "key": key, "scope": {"caller": "small"}});
    cluster.admin_until_accepted(0, "POST", "keys?wait=true", &grant.to_string()).await;
    let paid =
        |n: usize| Call::new("POST", cluster.listen_addresses[n % 3], "/paid").key(key).body("{}");
    let start = Instant::now();
    let calls = (0..200).map(|n| cluster.client.call(paid(n)));
    let responses = futures_util::future::join_all(calls).await;
    let elapsed = start.elapsed().as_secs_f64();
    let admitted = responses.iter().flatten().filter(|a| a.status == 200).count();
    let refused: Vec<_> = responses.iter().flatten().filter(|a| a.status == 429).collect();
    expect_that!(admitted + refused.len(), eq(200));
    expect_that!(admitted as f64, le(40.0 + 20.0 * elapsed));
    // The whole burst must be admitted, whichever entry processes get the requests.
    expect_that!(admitted, ge(40));
    expect_that!(service.total_runs(), eq(admitted as u64));
    for refusal in refused {
        expect_that!(refusal.ran(), eq("no"));
        expect_that!(refusal.headers.contains_key("retry-after"), eq(true));
    }
}

/// The engine does not check fencing numbers, the leader changes, and the response to one
/// order is lost. Even so the models loaded must never exceed the memory of the engine.
async fn lost_order_responses() {
    let cluster = Cluster::start(3, 1).await;
    cluster.configure().await;
    let options = engine::Options {
        class: "careless".into(),
        checks_fencing: false,
        memory_mib: 1_000,
        ..engine::Options::quick("e1", cluster.internal_addresses.clone())
    };
    let engine = Engine::start(options).await.expect("the engine starts");
    engine.drop_order_responses(1);
    let models: Vec<_> = (0..3)
        .map(|n| {
            serde_json::json!({"schema": 2, "kind": "model", "name": format!("m{n}"),
                "version": 1, "memory_mib": 400, "copies": 0, "max_output": 8})
        })
        .collect();
    let models = serde_json::Value::Array(models).to_string();
    cluster.admin_until_accepted(0, "POST", "records?wait=true", &models).await;
    let chat = |model: &str| {
        let body = format!(r#"{{"model": "{model}", "max_tokens": 1}}"#);
        Call::new("POST", cluster.listen_addresses[0], "/v1/chat/completions")
            .key(CALLER_KEY)
            .body(&body)
    };
    let leader = cluster.wait_for_leader(0).await;
    cluster.replicas[&leader].signal("STOP");
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.replicas[&leader].signal("CONT");
    for model in ["m0", "m1", "m2"] {
        let _ = cluster.client.call(chat(model)).await;
    }
    expect_that!(engine.peak_memory_mib(), le(1_000));
    expect_that!(engine.peak_memory_mib(), gt(0));
}
