//! Slopes for docs/CAPACITY.md: state, bytes and processor time of each role at
//! several sizes, the last of them the size of two years from now.
//!
//! `cargo bench --bench scale` prints a table. All times are means over many
//! repetitions on one core; sizes are of the encoded form.

#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "amounts of the measurement are small"
)]

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

/// A size at which slopes are measured.
#[derive(Clone, Copy)]
struct Size {
    entries: u64,
    targets: usize,
    models: usize,
    adapters: usize,
    workspaces: usize,
}

/// Today, a step between, and the letter's figures.
const SIZES: [Size; 3] = [
    Size { entries: 13, targets: 15, models: 15, adapters: 75, workspaces: 5 },
    Size { entries: 80, targets: 150, models: 100, adapters: 400, workspaces: 50 },
    Size { entries: 420, targets: 1_500, models: 410, adapters: 2_000, workspaces: 400 },
];

/// Memory of a target, which holds eight models.
const TARGET_MIB: u64 = 80_000;
const MODEL_MIB: u64 = 9_000;

fn main() {
    println!("{:<44} {:>12} {:>12} {:>12}", "measure", "today", "between", "two years");
    let states: Vec<(State, Size)> = SIZES.iter().map(|s| (state_of(*s), *s)).collect();
    row("view, encoded, KiB", &states, |s, _| bytes(&s.view) as f64 / 1024.0);
    row("time to encode a snapshot, ms", &states, |s, _| {
        millis(repeat(5, || drop(black_box(postcard::to_stdvec(s)))))
    });
    row("time to copy a view and apply a change, us", &states, |s, _| {
        let command = grant(9_999_999);
        micros(repeat(20, || {
            let mut view = s.view.clone();
            let _ = black_box(view.apply(s.index + 1, 0, &command));
        }))
    });
    row("poll and empty answer, bytes", &states, |s, _| {
        (frame(peer::Body::Call { id: 1, call: peer::Call::Poll { index: s.index } })
            + frame(reply(Vec::new(), s.index))) as f64
    });
    row("one change in an answer, bytes", &states, |s, _| {
        let empty = frame(reply(Vec::new(), s.index));
        let change = peer::Change { index: s.index, at: 0, command: grant(1) };
        (frame(reply(vec![change], s.index)) - empty) as f64
    });
    row("scheduler: a request in and out, us", &states, schedule_one);
    row("scheduler: a new view taken in, us", &states, |s, _| {
        let hosts = available_targets(&s.view);
        let mut scheduler = Scheduler::new(1);
        micros(repeat(20, || {
            drop(scheduler.configure(
                hosts.clone(),
                record::Objective::WorstServed,
                Duration::ZERO,
            ));
        }))
    });
    row("holder: a charge from a grant, us", &states, |_, _| charge_one());
    row("owner: an ask, us", &states, |_, z| ask_one(z));
    row("owner: an ask and its reply, bytes", &states, |_, _| {
        let ask = GrantRequest {
            workspace: "workspace-17".into(),
            required: 300,
            desired: 900,
            usage: Vec::new(),
        };
        let reply = GrantReply::Denied { wait: Duration::from_millis(30) };
        (frame(peer::Body::Call { id: 1, call: peer::Call::Ask(ask) })
            + frame(peer::Body::Reply { id: 1, reply: peer::Reply::Limit(reply) })) as f64
    });
    row("leader: an entry's report, us", &states, report_one);
    row("leader: an entry's report, bytes", &states, |_, z| {
        frame(peer::Body::Call { id: 1, call: peer::Call::Report(report(z)) }) as f64
    });
    row("leader: answer to a report (loads), bytes", &states, |s, z| {
        let mut leader = Leader::new(1, Policy::default(), Duration::ZERO);
        leader.handle_report(&everything(z), s, Duration::ZERO);
        let loads = leader.next_loads(Duration::ZERO);
        let reply = peer::Reply::Heard { live: true, loads };
        frame(peer::Body::Reply { id: 1, reply }) as f64
    });
    row("leader: one run of the planner, ms", &states, |s, z| {
        let mut leader = Leader::new(1, Policy::default(), Duration::ZERO);
        leader.handle_report(&everything(z), s, Duration::from_secs(4));
        millis(repeat(10, || {
            black_box(leader.plan(&s.view, Duration::from_secs(4)));
        }))
    });
    row("log: append, commit and apply a claim, us", &states, |_, _| claim_one());
    row("log: a claim with its answer, bytes", &states, |_, _| claim_bytes());
}

fn row(name: &str, states: &[(State, Size)], measure: impl Fn(&State, Size) -> f64) {
    let cells: Vec<String> =
        states.iter().map(|(s, z)| format!("{:>12.2}", measure(s, *z))).collect();
    println!("{name:<44} {}", cells.join(" "));
}

fn repeat(times: u32, mut run: impl FnMut()) -> Duration {
    run();
    let start = Instant::now();
    for _ in 0..times {
        run();
    }
    start.elapsed() / times
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn bytes<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_stdvec(value).map_or(0, |b| b.len())
}

/// Size of a frame with its length.
fn frame(body: peer::Body) -> usize {
    let stamp = Stamp { wall: 1_796_000_000_000, tick: 3 };
    bytes(&peer::Frame { stamp, body }) + 4
}

fn reply(changes: Vec<peer::Change>, index: raft::Index) -> peer::Body {
    peer::Body::Reply { id: 1, reply: peer::Reply::Update(peer::Update::Delta { index, changes }) }
}

fn grant(number: u64) -> Command {
    let id = format!("key-{number}");
    let presented = key::Presented::parse(&key::generate(&id)).expect("it is a key");
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

/// Items of a target: eight models and an adapter for each.
fn items(number: usize, size: Size) -> Vec<(Item, u64)> {
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
    let resident = items(number, size);
    let busy = resident.iter().map(|(i, _)| i.clone()).collect();
    let name = format!("target-{number}");
    Announcement { name, target: target(number), resident, load: 20, busy }
}

/// A state with every record, key, target, session and copy of a size.
fn state_of(size: Size) -> State {
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
    apply(&mut state, Command::PutRecords(wire::parse(&text).expect("they read")));
    for n in 0..size.workspaces as u64 * 4 {
        apply(&mut state, grant(n));
    }
    for n in 0..size.targets {
        let Announcement { name, target, resident, .. } = announcement(n, size);
        apply(&mut state, Command::AnnounceTarget { name, target, resident });
    }
    for n in 0..size.entries {
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

/// What one entry reports: its part of the announcements, and some demand.
fn report(size: Size) -> Report {
    let share = size.targets.div_ceil(size.entries as usize);
    let demand = (0..10).map(|n| Demand { model: format!("model-{n}"), load: 1_500 }).collect();
    Report {
        session: claim::Session(1),
        announcements: (0..share).map(|n| announcement(n, size)).collect(),
        demand,
        wanted: Vec::new(),
    }
}

fn everything(size: Size) -> Report {
    let announcements = (0..size.targets).map(|n| announcement(n, size)).collect();
    Report { announcements, ..report(size) }
}

fn report_one(state: &State, size: Size) -> f64 {
    let mut leader = Leader::new(1, Policy::default(), Duration::ZERO);
    let report = report(size);
    micros(repeat(200, || {
        black_box(leader.handle_report(&report, state, Duration::from_secs(1)));
    }))
}

fn schedule_one(state: &State, size: Size) -> f64 {
    let mut scheduler = Scheduler::new(1);
    scheduler.configure(
        available_targets(&state.view),
        record::Objective::WorstServed,
        Duration::ZERO,
    );
    let mut id = 0;
    micros(repeat(20_000, || {
        id += 1;
        let request = Request {
            id,
            workspace: format!("workspace-{}", id as usize % size.workspaces).into(),
            weight: 1,
            pool: Pool::Model(format!("model-{}", id as usize % size.models).into()),
            adapter: None,
            tokens: 300,
            deferrable: false,
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

fn charge_one() -> f64 {
    let mut holder = holder::WorkspaceGrants::new("w", Duration::ZERO);
    holder.submit(0, 1, Duration::from_secs(1), Duration::ZERO);
    let id = hornbeamdock::request::limit::GrantId { term: 1, number: 1 };
    let granted = GrantReply::Granted { id, tokens: u64::MAX / 2 };
    holder.handle_reply(granted, Duration::ZERO, true, Duration::ZERO);
    let mut id = 0;
    micros(repeat(100_000, || {
        id += 1;
        black_box(holder.submit(id, 300, Duration::from_secs(1), Duration::from_millis(1)));
    }))
}

/// Asks by every entry in turn, for every workspace in turn.
fn ask_one(size: Size) -> f64 {
    let limit = owner::Limit { rate: 10_000, burst: 100_000 };
    let mut owner = owner::Owner::new(1, Duration::ZERO);
    let mut now = Duration::from_secs(10);
    let mut number = 0_usize;
    micros(repeat(20_000, || {
        number += 1;
        now += Duration::from_micros(500);
        let workspace = format!("workspace-{}", number % size.workspaces);
        let ask = GrantRequest { workspace, required: 300, desired: 900, usage: Vec::new() };
        black_box(owner.handle(&ask, limit, now));
    }))
}

fn claim_change(number: u64) -> (state::Change, state::Change) {
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

fn claim_bytes() -> f64 {
    let (claim, finish) = claim_change(1);
    let encoded = |change| bytes(&state::Command { proposed_at: 1_796_000_000_000, change });
    (encoded(claim) + encoded(finish)) as f64
}

/// One replica takes a claim through its log and applies it, without a disk.
fn claim_one() -> f64 {
    let config = raft::Config {
        id: 1,
        store: 1,
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
    let begin = state::Change::BeginSession(claim::Session(1));
    state.apply(1, &state::Command { proposed_at: 0, change: begin });
    let mut number = 0;
    micros(repeat(20_000, || {
        number += 1;
        let (change, _) = claim_change(number);
        let command =
            postcard::to_stdvec(&state::Command { proposed_at: 0, change }).expect("it encodes");
        let event = raft::Event::Propose { context: number, command };
        for action in node.step(event, Duration::from_secs(2)) {
            let raft::Action::Apply(entries) = action else {
                continue;
            };
            for entry in entries {
                if let raft::Payload::Command(bytes) = entry.payload {
                    let command = postcard::from_bytes(&bytes).expect("it decodes");
                    black_box(state.apply(entry.position.index, &command));
                }
            }
        }
    }))
}
