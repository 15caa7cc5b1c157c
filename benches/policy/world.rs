//! The state machines under load: entries with schedulers and holders, a leader
//! with its planner, and targets that are a rate, a width and a memory.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use hornbeamdock::{
    request::{
        limit::{GrantReply, GrantRequest, holder},
        schedule::{self, Action, End, Pool, Request, Scheduler, TargetInfo, naive::Naive},
    },
    version::{
        announce::{Announcement, Demand, Report},
        claim::Session,
        lead::{self, Leader},
        memory::{Ack, Item, Verb},
        record::{Objective, wire},
        state::{self, State},
        view::{Command, Presence, Target},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    deployment::{
        ADAPTER_LOAD, ADAPTER_MIB, Deployment, FIRST_TOKEN, MEAN_OUTPUT, MEAN_PROMPT, MODEL_LOAD,
        MODEL_MIB, PROMPT_TOKEN, QUIET_HOURS, SPAN, Scenario, TOKEN, WIDTH, WORKER_MIB,
    },
    report::Outcome,
};

/// One way between an entry and a target or the leader.
const HOP: Duration = Duration::from_millis(1);
/// How long a committed change takes to be in force on an entry.
const FEED: Duration = Duration::from_millis(400);
const REPORT: Duration = Duration::from_millis(500);
const PLAN: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(50);
/// Time for the first placement, before requests arrive.
const WARM_UP: Duration = Duration::from_secs(40);
/// Prompts whose start a target has cached.
const CACHED: usize = 32;
const TRIES: usize = 4;

/// Which policies are at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The system's, with this objective.
    System(Objective),
    /// Round robin, first come first served, static placement, and a fixed
    /// share of each rate on each entry.
    Naive,
}

enum Event {
    Arrive,
    Configure { entry: usize, index: u64, hosts: Arc<Vec<TargetInfo>> },
    Reach { request: u64, target: usize },
    Finish { request: u64, target: usize, epoch: u64 },
    Done { request: u64, end: End, load: u32 },
    ToOwner { entry: usize, sent: Duration, ask: GrantRequest },
    ToHolder { entry: usize, workspace: String, sent: Duration, wanted: bool, reply: GrantReply },
    Loaded { target: usize, item: Item, fence: u64 },
    Report { entry: usize, regular: bool },
    Plan,
    Tick,
}

struct Entry {
    scheduler: Scheduler,
    naive: Naive,
    holders: BTreeMap<String, holder::WorkspaceGrants>,
    /// The baseline's share of each rate: level and when it was computed.
    shares: BTreeMap<String, (f64, Duration)>,
    wanted: BTreeSet<Item>,
    samples: u64,
    demand: BTreeMap<String, u64>,
    urgent: bool,
    /// Index of its view.
    index: u64,
}

struct Worker {
    up: bool,
    epoch: u64,
    resident: BTreeMap<Item, u64>,
    running: BTreeMap<u64, Item>,
    queue: VecDeque<u64>,
    cached: VecDeque<u64>,
}

struct Live {
    entry: usize,
    workspace: usize,
    model: usize,
    adapter: Option<usize>,
    arrived: Duration,
    started: Option<Duration>,
    prompt: u64,
    output: u64,
    prefix: u64,
    deferrable: bool,
    charge: Option<holder::Charge>,
    tries: usize,
    avoid: Vec<Arc<str>>,
}

pub struct World<'d> {
    deployment: &'d Deployment,
    scenario: Scenario,
    policy: Policy,
    now: Duration,
    rng: ChaCha8Rng,
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
    live: BTreeMap<u64, Live>,
    state: State,
    leader: Leader,
    orders: usize,
    adapters: usize,
    outcome: Outcome,
    /// An exact bucket per workspace, to judge refusals by.
    exact: Vec<(f64, Duration)>,
}

impl<'d> World<'d> {
    pub fn new(deployment: &'d Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let entry = |n: usize| Entry {
            scheduler: Scheduler::new(seed + n as u64),
            naive: Naive::new(),
            holders: BTreeMap::new(),
            shares: BTreeMap::new(),
            wanted: BTreeSet::new(),
            samples: 0,
            demand: BTreeMap::new(),
            urgent: false,
            index: 0,
        };
        let worker = || Worker {
            up: true,
            epoch: 0,
            resident: BTreeMap::new(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            cached: VecDeque::new(),
        };
        let mut world = Self {
            deployment,
            scenario,
            policy,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            entries: (0..deployment.entries).map(entry).collect(),
            workers: (0..deployment.workers).map(|_| worker()).collect(),
            live: BTreeMap::new(),
            state: State::default(),
            leader: Leader::new(1, lead::Policy::default(), Duration::ZERO),
            orders: 0,
            adapters: 0,
            outcome: Outcome::new(deployment),
            exact: vec![(0.0, Duration::ZERO); deployment.workspaces.len()],
        };
        world.configure();
        world
    }

    /// Tokens per second and at once that a workspace is allowed: its share of
    /// the offered load with room for a quarter more, and ten seconds of it.
    fn limit(&self, workspace: usize) -> (f64, f64) {
        let tokens = self.offered() * (MEAN_PROMPT + MEAN_OUTPUT);
        let rate = tokens * self.deployment.workspaces[workspace].share * 1.25;
        (rate, rate * 10.0)
    }

    /// Requests per second offered by all workspaces within their rates.
    fn offered(&self) -> f64 {
        self.deployment.capacity() * 0.6
    }

    fn configure(&mut self) {
        let (rate, parallel, adapters) = self.deployment.store;
        let objective = match self.policy {
            Policy::System(Objective::Attainment) => "attainment",
            _ => "worst_served",
        };
        let mut records = vec![
            serde_json::json!({"schema": 2, "kind": "class", "name": "engine", "version": 1,
                "checks_fencing": true, "checks_sender": false}),
            serde_json::json!({"schema": 2, "kind": "store", "name": "store", "version": 1,
                "loads_per_1000s": rate, "parallel_loads": parallel,
                "parallel_adapters": adapters}),
            serde_json::json!({"schema": 2, "kind": "policy", "name": "policy", "version": 1,
                "objective": objective}),
        ];
        for model in 0..self.deployment.models {
            records.push(serde_json::json!({"schema": 2, "kind": "model",
                "name": format!("m{model}"), "version": 1, "memory_mib": MODEL_MIB, "copies": 1}));
        }
        for adapter in 0..self.deployment.adapters {
            let model = adapter % self.deployment.models;
            records.push(serde_json::json!({"schema": 2, "kind": "adapter",
                "name": format!("a{adapter}"), "version": 1, "model": format!("m{model}"),
                "memory_mib": ADAPTER_MIB}));
        }
        for (n, workspace) in self.deployment.workspaces.iter().enumerate() {
            let (rate, burst) = self.limit(n);
            records.push(serde_json::json!({"schema": 2, "kind": "workspace",
                "name": workspace.name, "version": 1, "rate": rate as u64,
                "burst": burst as u64, "weight": 1}));
        }
        let text = serde_json::Value::Array(records).to_string();
        let records = wire::parse(&text).expect("the records read");
        self.apply(state::Change::View(Command::PutRecords(records)));
        for (n, workspace) in self.deployment.workspaces.iter().enumerate() {
            let limit = self.state.view.rate_limit(workspace.name).expect("it was applied");
            self.leader.workspace_created(workspace.name, limit, Duration::ZERO);
            self.exact[n] = (self.limit(n).1, Duration::ZERO);
        }
    }

    pub fn run(mut self) -> Outcome {
        if self.policy == Policy::Naive {
            self.place_statically();
        }
        for entry in 0..self.entries.len() {
            let at = REPORT * entry as u32 / self.entries.len() as u32;
            self.at(at, Event::Report { entry, regular: true });
        }
        self.at(Duration::ZERO, Event::Plan);
        self.at(Duration::ZERO, Event::Tick);
        self.at(WARM_UP, Event::Arrive);
        let end = WARM_UP + SPAN + QUIET_HOURS;
        while let Some(Reverse((at, number))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.outcome.accelerators = self.deployment.workers;
        self.outcome
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.heap.push(Reverse((at, self.number)));
        self.events.insert(self.number, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// The time since requests began to arrive.
    fn elapsed(&self) -> Duration {
        self.now.saturating_sub(WARM_UP)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive => self.arrive(),
            Event::Configure { entry, index, hosts } => {
                let gate = &mut self.entries[entry];
                if index < gate.index {
                    return;
                }
                gate.index = index;
                let actions = if self.policy == Policy::Naive {
                    gate.naive.configure(&hosts)
                } else {
                    let objective = self.state.view.policy().objective;
                    gate.scheduler.configure(hosts.to_vec(), objective, now)
                };
                self.act(entry, actions);
            }
            Event::Reach { request, target } => self.reach(request, target),
            Event::Finish { request, target, epoch } => self.finish(request, target, epoch),
            Event::Done { request, end, load } => self.done(request, end, load),
            Event::ToOwner { entry, sent, ask } => {
                let wanted = ask.required > 0;
                let workspace = ask.workspace.clone();
                let reply = self.leader.handle_grant_request(&ask, &self.state.view, 0.0, now);
                let reply = reply.expect("the workspace has a record");
                self.after(HOP, Event::ToHolder { entry, workspace, sent, wanted, reply });
            }
            Event::ToHolder { entry, workspace, sent, wanted, reply } => {
                let holder = self.entries[entry].holders.get_mut(&workspace);
                let actions = holder.map(|w| w.handle_reply(reply, sent, wanted, now));
                self.spend(entry, actions.unwrap_or_default());
            }
            Event::Loaded { target, item, fence } => self.loaded(target, &item, fence),
            Event::Report { entry, regular } => self.report(entry, regular),
            Event::Plan => self.plan(),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self) {
        let elapsed = self.elapsed();
        if elapsed >= SPAN {
            return;
        }
        let flood = self.scenario == Scenario::Flood;
        let shares: Vec<f64> = self
            .deployment
            .workspaces
            .iter()
            .enumerate()
            .map(|(n, w)| if flood && n == 1 { w.share * 6.0 } else { w.share })
            .collect();
        let total: f64 = shares.iter().sum();
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / (self.offered() * total);
        self.after(Duration::from_secs_f64(pause), Event::Arrive);
        let workspace = self.draw(&shares);
        let demands: Vec<f64> = (0..self.deployment.models)
            .map(|m| self.deployment.demand(m, self.scenario, elapsed))
            .collect();
        let model = self.draw(&demands);
        let adapters: Vec<usize> =
            (0..self.deployment.adapters).filter(|a| a % self.deployment.models == model).collect();
        let adapter = (self.rng.random_bool(0.5) && !adapters.is_empty())
            .then(|| adapters[self.rng.random_range(0..adapters.len())]);
        let entry = self.pick_entry(elapsed);
        let live = Live {
            entry,
            workspace,
            model,
            adapter,
            arrived: self.now,
            started: None,
            prompt: self.rng.random_range(50..350),
            output: self.rng.random_range(20..100),
            prefix: self.rng.random_range(0..400),
            deferrable: self.rng.random_bool(0.15),
            charge: None,
            tries: 0,
            avoid: Vec::new(),
        };
        self.number += 1;
        let request = self.number;
        let tokens = live.prompt + live.output;
        let within = self.judge(workspace, tokens);
        self.outcome.offered(workspace, within);
        self.live.insert(request, live);
        self.charge(request, entry, workspace, tokens);
    }

    fn draw(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut left = self.rng.random_range(0.0..total);
        for (n, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return n;
            }
        }
        weights.len() - 1
    }

    /// The balancer: any entry that is not being restarted.
    fn pick_entry(&mut self, elapsed: Duration) -> usize {
        let count = self.entries.len();
        let slot = SPAN / count as u32;
        let down = (self.scenario == Scenario::Restart)
            .then(|| (elapsed.as_nanos() / slot.as_nanos()) as usize % count);
        loop {
            let entry = self.rng.random_range(0..count);
            if Some(entry) != down {
                return entry;
            }
        }
    }

    /// Returns whether one exact bucket lets the request pass.
    fn judge(&mut self, workspace: usize, tokens: u64) -> bool {
        let (rate, burst) = self.limit(workspace);
        let (level, at) = self.exact[workspace];
        let level = (level + rate * self.now.checked_sub(at).unwrap().as_secs_f64()).min(burst);
        let passes = level >= tokens as f64;
        let level = if passes { level - tokens as f64 } else { level };
        self.exact[workspace] = (level, self.now);
        passes
    }

    fn charge(&mut self, request: u64, entry: usize, workspace: usize, tokens: u64) {
        let name = self.deployment.workspaces[workspace].name;
        let now = self.now;
        if self.policy == Policy::Naive {
            let (rate, burst) = self.limit(workspace);
            let count = self.entries.len() as f64;
            let (rate, burst) = (rate / count, burst / count);
            let share = self.entries[entry].shares.entry(name.to_owned()).or_insert((burst, now));
            let level =
                (share.0 + rate * now.checked_sub(share.1).unwrap().as_secs_f64()).min(burst);
            let passes = level >= tokens as f64;
            *share = (if passes { level - tokens as f64 } else { level }, now);
            if passes {
                self.admit(request);
            } else {
                self.refuse_by_rate(request);
            }
            return;
        }
        let holders = &mut self.entries[entry].holders;
        let holder = holders
            .entry(name.to_owned())
            .or_insert_with(|| holder::WorkspaceGrants::new(name, now));
        let actions = holder.submit(request, tokens, now + FIRST_TOKEN, now);
        self.spend(entry, actions);
    }

    fn spend(&mut self, entry: usize, actions: Vec<holder::Action>) {
        for action in actions {
            match action {
                holder::Action::Admit { request, charge } => {
                    if let Some(live) = self.live.get_mut(&request) {
                        live.charge = Some(charge);
                    }
                    self.admit(request);
                }
                holder::Action::Refuse { request, .. } => self.refuse_by_rate(request),
                holder::Action::Send(ask) => {
                    let sent = self.now;
                    self.after(HOP, Event::ToOwner { entry, sent, ask });
                }
            }
        }
    }

    fn refuse_by_rate(&mut self, request: u64) {
        if let Some(live) = self.live.remove(&request) {
            self.outcome.refused_by_rate(live.workspace);
        }
    }

    /// Gives an admitted request, or one to be tried again, to the scheduler.
    fn admit(&mut self, request: u64) {
        let Some(live) = self.live.get(&request) else {
            return;
        };
        let patience = if live.deferrable { QUIET_HOURS / 2 } else { FIRST_TOKEN };
        let plan = Request {
            id: request,
            workspace: self.deployment.workspaces[live.workspace].name.into(),
            weight: 1,
            pool: Pool::Model(format!("m{}", live.model).into()),
            adapter: live.adapter.map(|a| format!("a{a}").into()),
            tokens: live.prompt + live.output,
            deferrable: live.deferrable,
            deadline: live.arrived + patience,
            prefix_hash: Some(live.prefix),
            exclusive: false,
            avoid: live.avoid.clone(),
        };
        let entry = live.entry;
        let gate = &mut self.entries[entry];
        let actions = if self.policy == Policy::Naive {
            gate.naive.submit(plan)
        } else {
            gate.scheduler.submit(plan, self.now)
        };
        self.act(entry, actions);
    }

    fn act(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { request, target } => {
                    let target = target[1..].parse().expect("targets are numbered");
                    self.after(HOP, Event::Reach { request, target });
                }
                Action::Refuse { request, .. } => self.give_up(request),
                Action::RequestPlacement { pool, adapter } => {
                    let item = match (pool, adapter) {
                        (_, Some(adapter)) => Item::Adapter(adapter.as_ref().to_owned()),
                        (Pool::Model(model) | Pool::Service(model), None) => {
                            Item::Model(model.as_ref().to_owned())
                        }
                    };
                    let gate = &mut self.entries[entry];
                    gate.wanted.insert(item);
                    if !gate.urgent {
                        gate.urgent = true;
                        self.after(TICK, Event::Report { entry, regular: false });
                    }
                }
            }
        }
    }

    fn give_up(&mut self, request: u64) {
        if let Some(live) = self.live.remove(&request) {
            self.refund(&live);
            self.outcome.refused_by_load(live.workspace);
        }
    }

    fn refund(&mut self, live: &Live) {
        let name = self.deployment.workspaces[live.workspace].name;
        if let Some(charge) = &live.charge
            && let Some(holder) = self.entries[live.entry].holders.get_mut(name)
        {
            holder.refund(charge, charge.tokens());
        }
    }

    fn reach(&mut self, request: u64, target: usize) {
        let Some(live) = self.live.get(&request) else {
            return;
        };
        let model = Item::Model(format!("m{}", live.model));
        let adapter = live.adapter.map(|a| Item::Adapter(format!("a{a}")));
        let worker = &mut self.workers[target];
        if !worker.up {
            self.after(HOP, Event::Done { request, end: End::Failed, load: 0 });
            return;
        }
        let has = |item: &Item| worker.resident.contains_key(item);
        if !has(&model) || adapter.as_ref().is_some_and(|a| !has(a)) {
            self.after(HOP, Event::Done { request, end: End::Rejected, load: 0 });
            return;
        }
        worker.queue.push_back(request);
        self.start(target);
    }

    /// Starts what a worker has room for.
    fn start(&mut self, target: usize) {
        while self.workers[target].running.len() < WIDTH as usize {
            let Some(request) = self.workers[target].queue.pop_front() else {
                return;
            };
            let Some(live) = self.live.get_mut(&request) else {
                continue;
            };
            let worker = &mut self.workers[target];
            let place = (live.model as u64) << 32 | live.prefix;
            let cached = worker.cached.contains(&place);
            worker.cached.retain(|p| *p != place);
            worker.cached.push_back(place);
            if worker.cached.len() > CACHED {
                worker.cached.pop_front();
            }
            let prefill = PROMPT_TOKEN * live.prompt as u32 / if cached { 5 } else { 1 };
            worker.running.insert(request, Item::Model(format!("m{}", live.model)));
            let first = self.now + prefill + TOKEN;
            live.started.get_or_insert(first);
            let end = first + TOKEN * (live.output as u32 - 1);
            let epoch = worker.epoch;
            self.at(end, Event::Finish { request, target, epoch });
        }
    }

    fn finish(&mut self, request: u64, target: usize, epoch: u64) {
        let worker = &mut self.workers[target];
        if worker.epoch != epoch || worker.running.remove(&request).is_none() {
            return;
        }
        let load = (worker.running.len() + worker.queue.len()) as u32;
        self.after(HOP, Event::Done { request, end: End::Finished, load });
        self.start(target);
    }

    fn done(&mut self, request: u64, end: End, load: u32) {
        let Some(entry) = self.live.get(&request).map(|l| l.entry) else {
            return;
        };
        let finished = end == End::Finished;
        if finished && let Some(live) = self.live.remove(&request) {
            let first = live.started.unwrap_or(self.now).saturating_sub(live.arrived);
            let whole = self.now.saturating_sub(live.arrived);
            let timely = if live.deferrable { whole <= QUIET_HOURS } else { first <= FIRST_TOKEN };
            self.outcome.finished(live.workspace, timely, first, live.deferrable);
        }
        let load = finished.then_some(load);
        let gate = &mut self.entries[entry];
        let actions = if self.policy == Policy::Naive {
            gate.naive.complete(request, end)
        } else {
            gate.scheduler.complete(request, end, load, self.now)
        };
        self.act(entry, actions);
        if !finished {
            self.try_again(request);
        }
    }

    fn try_again(&mut self, request: u64) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        live.tries += 1;
        live.started = None;
        if self.policy == Policy::Naive || live.tries >= TRIES {
            self.give_up(request);
        } else {
            self.admit(request);
        }
    }

    fn tick(&mut self) {
        self.after(TICK, Event::Tick);
        let now = self.now;
        for entry in 0..self.entries.len() {
            let gate = &mut self.entries[entry];
            gate.samples += 1;
            for load in gate.scheduler.pool_loads() {
                if let Pool::Model(name) = load.pool {
                    *gate.demand.entry(name.as_ref().to_owned()).or_default() +=
                        load.requests as u64;
                }
            }
            let actions = if self.policy == Policy::Naive {
                gate.naive.tick(now)
            } else {
                gate.scheduler.tick(now)
            };
            let spent: Vec<_> = gate.holders.values_mut().map(|w| w.tick(now)).collect();
            self.act(entry, actions);
            for actions in spent {
                self.spend(entry, actions);
            }
        }
        let lost = self.scenario == Scenario::Lost && self.elapsed() >= SPAN / 2;
        if lost && self.workers[0].up {
            self.lose(0);
        }
    }

    /// A worker dies with what it runs.
    fn lose(&mut self, target: usize) {
        let worker = &mut self.workers[target];
        worker.up = false;
        worker.epoch += 1;
        worker.resident.clear();
        let running = std::mem::take(&mut worker.running).into_keys();
        let queued = std::mem::take(&mut worker.queue);
        let broken: Vec<u64> = running.chain(queued).collect();
        for request in broken {
            self.after(HOP, Event::Done { request, end: End::Failed, load: 0 });
        }
    }

    fn report(&mut self, entry: usize, regular: bool) {
        if self.policy == Policy::Naive {
            return;
        }
        let gate = &mut self.entries[entry];
        gate.urgent = false;
        let count = gate.samples.max(1);
        let wanted = std::mem::take(&mut gate.wanted).into_iter().collect();
        let mut demand = Vec::new();
        if regular {
            gate.samples = 0;
            let loads = std::mem::take(&mut gate.demand).into_iter();
            demand =
                loads.map(|(model, sum)| Demand { model, load: sum * 1_000 / count }).collect();
            self.after(REPORT, Event::Report { entry, regular });
        }
        if !regular {
            for item in &wanted {
                self.leader_wants(item);
            }
            return;
        }
        let announcements = if regular { self.announcements(entry) } else { Vec::new() };
        let report = Report { session: Session(entry as u64), announcements, demand, wanted };
        let changes = self.leader.handle_report(&report, &self.state, self.now);
        for change in changes {
            self.apply(change);
        }
        let loads = self.leader.next_loads(self.now);
        let mut actions = Vec::new();
        for load in loads {
            let scheduler = &mut self.entries[entry].scheduler;
            actions.extend(scheduler.report_load(&load.target, load.requests, self.now));
        }
        self.act(entry, actions);
    }

    fn leader_wants(&mut self, item: &Item) {
        let report = Report {
            session: Session(u64::MAX),
            announcements: Vec::new(),
            demand: Vec::new(),
            wanted: vec![item.clone()],
        };
        for change in self.leader.handle_report(&report, &self.state, self.now) {
            self.apply(change);
        }
    }

    /// What the workers announce to this entry: each one to one entry in turn.
    fn announcements(&self, entry: usize) -> Vec<Announcement> {
        let live = self.workers.iter().enumerate().filter(|(_, w)| w.up);
        let mine = live.filter(|(n, _)| self.entries.len() < 2 || (n + entry).is_multiple_of(2));
        mine.map(|(n, worker)| Self::announcement(n, worker)).collect()
    }

    fn announcement(number: usize, worker: &Worker) -> Announcement {
        Announcement {
            name: format!("t{number}"),
            target: Target {
                address: ([127, 0, 0, 1], 1).into(),
                class: "engine".into(),
                service: None,
                domain: format!("d{}", number % 3),
                memory: WORKER_MIB,
                incarnation: 1,
                slots: WIDTH,
                presence: Presence::Up,
            },
            resident: worker.resident.iter().map(|(i, m)| (i.clone(), *m)).collect(),
            load: (worker.running.len() + worker.queue.len()) as u32,
            busy: worker.running.values().cloned().collect::<BTreeSet<_>>().into_iter().collect(),
        }
    }

    /// Commits a change, and has the entries follow if it changes their view.
    fn apply(&mut self, change: state::Change) -> bool {
        let viewed = matches!(change, state::Change::View(_));
        let index = self.state.index + 1;
        let command = state::Command { proposed_at: 0, change };
        let applied = self.state.apply(index, &command) == state::Outcome::Applied;
        if applied && viewed {
            let hosts = Arc::new(schedule::available_targets(&self.state.view));
            for entry in 0..self.entries.len() {
                let delay = FEED.mul_f64(self.rng.random_range(0.05..1.0));
                self.after(delay, Event::Configure { entry, index, hosts: hosts.clone() });
            }
        }
        applied
    }

    fn plan(&mut self) {
        self.after(PLAN, Event::Plan);
        if self.policy == Policy::Naive {
            return;
        }
        for change in self.leader.tick(&self.state, self.now) {
            self.apply(change);
        }
        for command in self.leader.plan(&self.state.view, self.now) {
            if self.apply(state::Change::View(command.clone())) {
                self.order(command);
            }
        }
    }

    fn order(&mut self, command: Command) {
        let Command::Order { target, verb, item, .. } = command else {
            return;
        };
        let fence = self.state.index;
        let number: usize = target[1..].parse().expect("targets are numbered");
        if !self.workers[number].up {
            return;
        }
        let warm = self.now < WARM_UP;
        if verb == Verb::Unload {
            self.workers[number].resident.remove(&item);
            self.after(HOP * 2, Event::Loaded { target: number, item, fence });
            return;
        }
        let (_, parallel, adapters) = self.deployment.store;
        let time = match &item {
            Item::Model(_) => {
                self.outcome.moves += u64::from(!warm);
                self.orders += 1;
                slowed(MODEL_LOAD, self.orders, parallel)
            }
            Item::Adapter(_) => {
                self.adapters += 1;
                slowed(ADAPTER_LOAD, self.adapters, adapters)
            }
        };
        self.after(HOP * 2 + time, Event::Loaded { target: number, item, fence });
    }

    fn loaded(&mut self, target: usize, item: &Item, fence: u64) {
        let name = format!("t{target}");
        let loading = self
            .state
            .view
            .ledger()
            .allocation(&name, item)
            .is_some_and(|s| s.pending.get(&fence) == Some(&Verb::Load));
        if loading {
            match item {
                Item::Model(_) => self.orders -= 1,
                Item::Adapter(_) => self.adapters -= 1,
            }
            if !self.workers[target].up {
                return;
            }
            let memory = if matches!(item, Item::Model(_)) { MODEL_MIB } else { ADAPTER_MIB };
            self.workers[target].resident.insert(item.clone(), memory);
        }
        self.apply(state::Change::View(Command::Acknowledge {
            target: name,
            incarnation: 1,
            item: item.clone(),
            fence,
            ack: Ack::Done,
        }));
    }

    /// The baseline: copies by average demand, placed once, and the adapters of
    /// each model wherever it is.
    fn place_statically(&mut self) {
        let demands: Vec<f64> = (0..self.deployment.models)
            .map(|m| self.deployment.demand(m, Scenario::Steady, Duration::ZERO))
            .collect();
        let mut copies = vec![1_usize; demands.len()];
        let places = self.workers.len() * (WORKER_MIB / MODEL_MIB) as usize;
        while copies.iter().sum::<usize>() < places {
            let next =
                (0..copies.len()).filter(|m| copies[*m] < self.workers.len()).max_by(|a, b| {
                    let per = |m: usize| demands[m] / copies[m] as f64;
                    per(*a).total_cmp(&per(*b))
                });
            let Some(next) = next else {
                break;
            };
            copies[next] += 1;
        }
        // One copy of each model first, so that every model is reachable.
        let most = copies.iter().max().copied().unwrap_or(0);
        for turn in 0..most {
            for model in (0..copies.len()).filter(|m| turn < copies[*m]) {
                let item = Item::Model(format!("m{model}"));
                let fits = (0..self.workers.len()).filter(|w| {
                    let held = &self.workers[*w].resident;
                    let used = held.keys().filter(|i| matches!(i, Item::Model(_))).count() as u64;
                    !held.contains_key(&item) && (used + 1) * MODEL_MIB <= WORKER_MIB
                });
                let Some(place) = fits.min_by_key(|w| self.workers[*w].resident.len()) else {
                    continue;
                };
                self.workers[place].resident.insert(item, MODEL_MIB);
                for adapter in (0..self.deployment.adapters).filter(|a| a % copies.len() == model) {
                    let item = Item::Adapter(format!("a{adapter}"));
                    self.workers[place].resident.insert(item, ADAPTER_MIB);
                }
            }
        }
        for number in 0..self.workers.len() {
            let announced = Self::announcement(number, &self.workers[number]);
            self.apply(state::Change::View(Command::AnnounceTarget {
                name: announced.name,
                target: announced.target,
                resident: announced.resident,
            }));
        }
    }
}

/// Returns the time of a load when `count` of them share what `parallel` may
/// use at full speed.
fn slowed(time: Duration, count: usize, parallel: u32) -> Duration {
    let parallel = f64::from(parallel);
    time.mul_f64((count as f64 / parallel).max(1.0))
}
