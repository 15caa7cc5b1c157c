//! Measures how the size of the state, the size of messages and the processor time
//! of each role grow with a deployment, for docs/CAPACITY.md. The last size is that expected in two years.
//!
//! `cargo bench --bench scale` prints two tables, and `cargo bench --bench scale -- sync` only that
//! of [`synchronization`]. Times are means over repeated runs
//! on one core; sizes are of the encoded form.

#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "the measured quantities are small"
)]

#[path = "../../tests/support/placer_world.rs"]
mod placer_world;
mod synchronization;
#[path = "../../tests/support/traffic_model.rs"]
#[expect(dead_code, reason = "tests use the rest")]
mod traffic_model;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use hornbeamdock::{
    connection::peer,
    process::clock::Stamp,
    request::{
        limit::{GrantReply, GrantRequest, holder, owner},
        schedule::{Action, End, Pool, Request, Scheduler, available_targets},
        stage::Stage,
    },
    version::{
        announce::{Announcement, Demand, Report},
        claim, key,
        lead::{Leader, Policy},
        memory::Item,
        raft, record,
        record::wire,
        state::{self, State},
        view::{Command, Presence, Target},
    },
};

/// Size of a deployment.
#[derive(Clone, Copy)]
struct Size {
    gateways: u64,
    targets: usize,
    models: usize,
    adapters: usize,
    workspaces: usize,
}

/// The size today, one between, and the size expected in two years.
const SIZES: [Size; 3] = [
    Size { gateways: 13, targets: 15, models: 15, adapters: 75, workspaces: 5 },
    Size { gateways: 80, targets: 150, models: 100, adapters: 400, workspaces: 50 },
    Size { gateways: 420, targets: 1_500, models: 410, adapters: 2_000, workspaces: 400 },
];

/// Memory of a target, enough for eight models.
const TARGET_MIB: u64 = 80_000;
const MODEL_MIB: u64 = 9_000;

fn main() {
    if std::env::args().any(|argument| argument == "sync") {
        return synchronization::print();
    }
    println!("{:<44} {:>12} {:>12} {:>12}", "measure", "today", "between", "two years");
    let states: Vec<(State, Size)> = SIZES.iter().map(|size| (new_state(*size), *size)).collect();
    row("view, encoded, KiB", &states, |state, _| encoded_size(&state.view) as f64 / 1024.0);
    row("time to encode a snapshot, ms", &states, |state, _| {
        as_millis(mean_time(5, || drop(black_box(postcard::to_stdvec(state)))))
    });
    row("time to copy a view and apply a change, us", &states, |state, _| {
        let command = grant_key(9_999_999);
        as_micros(mean_time(20, || {
            let mut view = state.view.clone();
            let _ = black_box(view.apply(state.index + 1, 0, &command));
        }))
    });
    row("poll and empty response, bytes", &states, |state, _| {
        (frame_size(peer::Body::Call { id: 1, call: peer::Call::Poll { index: state.index } })
            + frame_size(poll_reply(Vec::new(), state.index))) as f64
    });
    row("one change in a poll response, bytes", &states, |state, _| {
        let empty = frame_size(poll_reply(Vec::new(), state.index));
        let change = peer::Change { index: state.index, log_time_ms: 0, command: grant_key(1) };
        (frame_size(poll_reply(vec![change], state.index)) - empty) as f64
    });
    row("scheduler: submit and complete a request, us", &states, time_schedule);
    row("scheduler: configure from a new view, us", &states, |state, _| {
        let targets = available_targets(&state.view);
        let mut scheduler = Scheduler::new(1);
        as_micros(mean_time(20, || {
            drop(scheduler.configure(
                targets.clone(),
                record::Objective::WorstServed,
                Duration::ZERO,
            ));
        }))
    });
    row("holder: charge from a grant, us", &states, |_, _| time_charge());
    row("owner: handle a grant request, us", &states, |_, size| time_grant_request(size));
    row("owner: grant request and reply, bytes", &states, |_, _| {
        let grant_request = GrantRequest {
            workspace: "workspace-17".into(),
            required: 300,
            desired: 900,
            usage: Vec::new(),
        };
        let reply = GrantReply::Denied { wait: Duration::from_millis(30) };
        (frame_size(peer::Body::Call { id: 1, call: peer::Call::RequestGrant(grant_request) })
            + frame_size(peer::Body::Reply { id: 1, reply: peer::Reply::Grant(reply) }))
            as f64
    });
    row("leader: report of a gateway, us", &states, time_report);
    row("leader: report of a gateway, bytes", &states, |_, size| {
        frame_size(peer::Body::Call { id: 1, call: peer::Call::Report(report(size)) }) as f64
    });
    row("leader: reply to a report (loads), bytes", &states, |state, size| {
        let mut leader = Leader::new(1, Policy::default(), Duration::ZERO);
        leader.handle_report(&full_report(size), state, Duration::ZERO);
        let loads = leader.next_loads(Duration::ZERO);
        let reply = peer::Reply::ReportRecorded { session_live: true, loads };
        frame_size(peer::Body::Reply { id: 1, reply }) as f64
    });
    row("leader: run the planner once, ms", &states, |state, size| {
        let mut leader = Leader::new(1, Policy::default(), Duration::ZERO);
        leader.handle_report(&full_report(size), state, Duration::from_secs(4));
        as_millis(mean_time(10, || {
            black_box(leader.plan(&state.view, Duration::from_secs(4)));
        }))
    });
    row("placer: plan once, ms", &states, |_, size| {
        let mut world = placer_world::World::new(placer_size(size));
        as_millis(mean_time(20, || drop(black_box(world.tick()))))
    });
    row("placer: handle a placement request, us", &states, |_, size| {
        let mut world = placer_world::World::new(placer_size(size));
        as_micros(mean_time(200, || world.request()))
    });
    row("placer: handle the outcome of an order, us", &states, |_, size| {
        let mut world = placer_world::World::new(placer_size(size));
        as_micros(mean_time(200, || world.outcome()))
    });
    row("log: append, commit and apply a claim, us", &states, |_, _| time_claim());
    row("log: claim and stored response, bytes", &states, |_, _| claim_size());
    println!();
    synchronization::print();
}

/// Returns a deployment of which half of the models are resident, and a request waits
/// for each resident model.
fn placer_size(size: Size) -> placer_world::Size {
    let resident_models = size.models.div_ceil(2);
    placer_world::Size {
        targets: size.targets,
        resident_models,
        other_models: size.models - resident_models,
        waiting: resident_models,
    }
}

fn row(name: &str, states: &[(State, Size)], measure: impl Fn(&State, Size) -> f64) {
    let cells: Vec<String> =
        states.iter().map(|(state, size)| format!("{:>12.2}", measure(state, *size))).collect();
    println!("{name:<44} {}", cells.join(" "));
}

fn mean_time(times: u32, mut run: impl FnMut()) -> Duration {
    run();
    let start = Instant::now();
    for _ in 0..times {
        run();
    }
    start.elapsed() / times
}

fn as_micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn encoded_size<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_stdvec(value).map_or(0, |b| b.len())
}

/// Returns the size of a frame with its length prefix.
fn frame_size(body: peer::Body) -> usize {
    let stamp = Stamp { wall: 1_796_000_000_000, tick: 3 };
    encoded_size(&peer::Frame { stamp, body }) + 4
}

fn poll_reply(changes: Vec<peer::Change>, index: raft::Index) -> peer::Body {
    peer::Body::Reply { id: 1, reply: peer::Reply::Update(peer::Update::Delta { index, changes }) }
}

fn grant_key(number: u64) -> Command {
    let id = format!("key-{number}");
    let presented = key::Presented::parse(&key::generate(&id)).expect("the generated key is valid");
    Command::GrantKey { id, digest: presented.digest, scope: key::Scope::System }
}

fn target(number: usize) -> Target {
    Target {
        address: ([127, 0, 0, 1], 9_000).into(),
        class: "engine".into(),
        service: None,
        domain: format!("domain-{}", number % 8),
        memory: TARGET_MIB,
        incarnation: 1,
        slots: 32,
        presence: Presence::Up,
    }
}

/// Returns the resident items of a target and their memory: up to eight models
/// with an adapter for each.
fn resident_items(number: usize, size: Size) -> Vec<(Item, u64)> {
    let models = (0..8).map(|n| (number * 8 + n) % size.models);
    let models: std::collections::BTreeSet<_> = models.collect();
    models
        .into_iter()
        .flat_map(|m| {
            let model = (Item::Model(format!("model-{m}")), MODEL_MIB);
            let adapter = (Item::Adapter(format!("adapter-{m}")), 100);
            [model, adapter]
        })
        .collect()
}

fn announcement(number: usize, size: Size) -> Announcement {
    let resident = resident_items(number, size);
    let busy = resident.iter().map(|(i, _)| i.clone()).collect();
    let name = format!("target-{number}");
    Announcement { name, target: target(number), resident, load: 20, busy }
}

/// Returns a state with the records, keys, targets, sessions and resident items
/// of a deployment of this size.
fn new_state(size: Size) -> State {
    let mut state = State::default();
    let mut records = Vec::new();
    for n in 0..size.models {
        records.push(serde_json::json!({"schema": 2, "kind": "model",
            "name": format!("model-{n}"), "version": 1, "memory_mib": MODEL_MIB, "copies": 1}));
    }
    for n in 0..size.adapters {
        records.push(serde_json::json!({"schema": 2, "kind": "adapter",
            "name": format!("adapter-{n}"), "version": 1,
            "model": format!("model-{}", n % size.models), "memory_mib": 100}));
    }
    for n in 0..size.workspaces {
        records.push(serde_json::json!({"schema": 2, "kind": "workspace",
            "name": format!("workspace-{n}"), "version": 1, "rate": 10_000, "burst": 100_000}));
    }
    let text = serde_json::Value::Array(records).to_string();
    apply(&mut state, Command::PutRecords(wire::parse(&text).expect("the records are valid")));
    for n in 0..size.workspaces as u64 * 4 {
        apply(&mut state, grant_key(n));
    }
    for n in 0..size.targets {
        let Announcement { name, target, resident, .. } = announcement(n, size);
        apply(&mut state, Command::AnnounceTarget { name, target, resident });
    }
    for n in 0..size.gateways {
        let index = state.index + 1;
        let change = state::Change::BeginSession(claim::Session(n));
        state.apply(index, &state::Command { proposed_at: 0, change });
    }
    state
}

fn apply(state: &mut State, command: Command) {
    let index = state.index + 1;
    let change = state::Change::View(command);
    let outcome = state.apply(index, &state::Command { proposed_at: 0, change });
    assert_eq!(outcome, state::Outcome::Applied);
}

/// Returns the report of one gateway: its part of the announcements, and the
/// demand for ten models.
fn report(size: Size) -> Report {
    let target_count = size.targets.div_ceil(size.gateways as usize);
    let demand = (0..10).map(|n| Demand { model: format!("model-{n}"), load: 1_500 }).collect();
    Report {
        session: claim::Session(1),
        announcements: (0..target_count).map(|n| announcement(n, size)).collect(),
        demand,
        wanted: Vec::new(),
    }
}

fn full_report(size: Size) -> Report {
    let announcements = (0..size.targets).map(|n| announcement(n, size)).collect();
    Report { announcements, ..report(size) }
}

fn time_report(state: &State, size: Size) -> f64 {
    let mut leader = Leader::new(1, Policy::default(), Duration::ZERO);
    let report = report(size);
    as_micros(mean_time(200, || {
        black_box(leader.handle_report(&report, state, Duration::from_secs(1)));
    }))
}

fn time_schedule(state: &State, size: Size) -> f64 {
    let mut scheduler = Scheduler::new(1);
    scheduler.configure(
        available_targets(&state.view),
        record::Objective::WorstServed,
        Duration::ZERO,
    );
    let mut id = 0;
    as_micros(mean_time(20_000, || {
        id += 1;
        let request = Request {
            id,
            workspace: format!("workspace-{}", id as usize % size.workspaces).into(),
            weight: 1,
            pool: Pool::Model(format!("model-{}", id as usize % size.models).into()),
            adapter: None,
            tokens: 300,
            deferrable: false,
            stage: Stage::New,
            deadline: Duration::from_secs(9),
            prefix_hash: Some(id % 400),
            exclusive: false,
            avoid: Vec::new(),
        };
        let actions = scheduler.submit(request, Duration::ZERO);
        assert!(matches!(actions[..], [Action::Dispatch { .. }]));
        scheduler.complete(id, End::Finished, Some(3), Duration::from_millis(1));
    }))
}

fn time_charge() -> f64 {
    let mut holder = holder::WorkspaceGrants::new("w", Duration::ZERO);
    holder.submit(0, 1, Duration::from_secs(1), Duration::ZERO);
    let id = hornbeamdock::request::limit::GrantId { term: 1, number: 1 };
    let reply = GrantReply::Granted { id, tokens: u64::MAX / 2 };
    holder.handle_reply(reply, Duration::ZERO, true, Duration::ZERO);
    let mut id = 0;
    as_micros(mean_time(100_000, || {
        id += 1;
        black_box(holder.submit(id, 300, Duration::from_secs(1), Duration::from_millis(1)));
    }))
}

/// Times grant requests, for each workspace in turn.
fn time_grant_request(size: Size) -> f64 {
    let limit = owner::Limit { rate: 10_000, burst: 100_000 };
    let mut owner = owner::Owner::new(1, Duration::ZERO);
    let mut now = Duration::from_secs(10);
    let mut number = 0_usize;
    as_micros(mean_time(20_000, || {
        number += 1;
        now += Duration::from_micros(500);
        let workspace = format!("workspace-{}", number % size.workspaces);
        let grant_request =
            GrantRequest { workspace, required: 300, desired: 900, usage: Vec::new() };
        black_box(owner.handle(&grant_request, limit, now));
    }))
}

fn claim_changes(number: u64) -> (state::Change, state::Change) {
    let key = claim::RequestKey {
        workspace: "workspace-17".into(),
        route: "shipments".into(),
        idempotency_key: format!("order-{number:012}"),
    };
    let attempt = claim::Attempt { session: claim::Session(1), number };
    let digest = claim::RequestDigest([7; 32]);
    let response =
        claim::StoredResponse { status: 200, content_type: None, body: Some(vec![7; 200]) };
    let claim = claim::Command::Claim { key: key.clone(), digest, attempt };
    let finish = claim::Command::Finish { key, attempt, response: Some(response) };
    (state::Change::Claim(claim), state::Change::Claim(finish))
}

fn claim_size() -> f64 {
    let (claim, finish) = claim_changes(1);
    let encoded = |change| encoded_size(&state::Command { proposed_at: 1_796_000_000_000, change });
    (encoded(claim) + encoded(finish)) as f64
}

/// Times the path of a claim through the log of one replica to its application,
/// without a disk.
fn time_claim() -> f64 {
    let config = raft::Config {
        id: 1,
        store_id: 1,
        peers: vec![1],
        may_bootstrap: true,
        max_voters: usize::MAX,
        election_timeout: Duration::from_millis(500),
        heartbeat_interval: Duration::from_millis(50),
        seed: 1,
    };
    let mut node = raft::Raft::new(config, raft::Restored::default(), Duration::ZERO);
    node.step(raft::Event::Tick, Duration::from_secs(2));
    let mut state = State::default();
    let begin_session = state::Change::BeginSession(claim::Session(1));
    state.apply(1, &state::Command { proposed_at: 0, change: begin_session });
    let mut number = 0;
    as_micros(mean_time(20_000, || {
        number += 1;
        let (change, _) = claim_changes(number);
        let command = postcard::to_stdvec(&state::Command { proposed_at: 0, change })
            .expect("the command encodes");
        let event = raft::Event::Propose { context: number, command };
        for action in node.step(event, Duration::from_secs(2)) {
            let raft::Action::Apply(entries) = action else {
                continue;
            };
            for entry in entries {
                if let raft::Payload::Command(bytes) = entry.payload {
                    let command = postcard::from_bytes(&bytes).expect("the command decodes");
                    black_box(state.apply(entry.position.index, &command));
                }
            }
        }
    }))
}
