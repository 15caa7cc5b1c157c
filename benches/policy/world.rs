//! The simulation: the state machines of the gateways (schedulers and holders of
//! grants) and of the leader with its planner, driven by events in simulated
//! time. A simulated target has a speed, a number of slots and a memory.

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
        stage::Stage,
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
        ADAPTER_LOAD_TIME, ADAPTER_MIB, ARRIVAL_PERIOD, DEFERRABLE_LIMIT, Deployment,
        FIRST_TOKEN_LIMIT, MEAN_OUTPUT, MEAN_PROMPT, MODEL_LOAD_TIME, MODEL_MIB, PROMPT_TOKEN_TIME,
        SLOTS, Scenario, TARGET_MIB, TOKEN_TIME,
    },
    report::Outcome,
};

/// One-way delay between a gateway and a target or the leader.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Longest time from the commit of a change to its use at a gateway.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(400);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the first placement, before requests arrive.
const WARM_UP: Duration = Duration::from_secs(40);
/// Prompt prefixes that a target keeps cached.
const CACHED_PREFIXES: usize = 32;
const MAX_ATTEMPTS: usize = 4;

/// Scheduling, rate limiting and placement in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Those of the system, with this objective.
    System(Objective),
    /// The baseline: round robin in order of arrival, static placement, and an
    /// equal part of each rate limit at each gateway.
    Naive,
}

enum Event {
    Arrival,
    /// A gateway starts to use the view of this log index.
    Configure {
        gateway: usize,
        index: u64,
        targets: Arc<Vec<TargetInfo>>,
    },
    /// A dispatched request reaches its target.
    ReachTarget {
        request: u64,
        target: usize,
    },
    /// A request finishes at its target.
    Finish {
        request: u64,
        target: usize,
        epoch: u64,
    },
    /// The response of a target, or its failure, reaches the gateway.
    Response {
        request: u64,
        end: End,
        load: u32,
    },
    /// A grant request of a gateway reaches the owner of the rate limit.
    ToOwner {
        gateway: usize,
        sent: Duration,
        grant_request: GrantRequest,
    },
    /// The owner's reply reaches the gateway.
    ToHolder {
        gateway: usize,
        workspace: String,
        sent: Duration,
        needs_tokens: bool,
        reply: GrantReply,
    },
    /// A target has loaded or unloaded an item.
    OrderDone {
        target: usize,
        item: Item,
        fence: u64,
    },
    /// A gateway reports to the leader. Reports between the regular ones only
    /// request placements.
    Report {
        gateway: usize,
        regular: bool,
    },
    Plan,
    Tick,
}

struct SimGateway {
    scheduler: Scheduler,
    naive: Naive,
    holders: BTreeMap<String, holder::WorkspaceGrants>,
    /// Token buckets of the baseline: level and time of its last update.
    local_buckets: BTreeMap<String, (f64, Duration)>,
    wanted: BTreeSet<Item>,
    /// Number of load samples since the last regular report, and their sums by
    /// model.
    samples: u64,
    demand_sums: BTreeMap<String, u64>,
    /// Whether a report outside the regular interval is scheduled.
    report_scheduled: bool,
    /// Log index of the view in use.
    view_index: u64,
}

struct SimTarget {
    up: bool,
    /// Incremented when the target fails, so that events from before are ignored.
    epoch: u64,
    resident: BTreeMap<Item, u64>,
    running: BTreeMap<u64, Item>,
    queue: VecDeque<u64>,
    /// Cached prompt prefixes, the least recently used first.
    cached: VecDeque<u64>,
}

struct SimRequest {
    gateway: usize,
    workspace: usize,
    model: usize,
    adapter: Option<usize>,
    arrived: Duration,
    first_token_at: Option<Duration>,
    prompt_tokens: u64,
    output_tokens: u64,
    prefix_hash: u64,
    deferrable: bool,
    charge: Option<holder::Charge>,
    attempts: usize,
    avoid: Vec<Arc<str>>,
}

pub struct Simulation<'d> {
    deployment: &'d Deployment,
    scenario: Scenario,
    policy: Policy,
    now: Duration,
    rng: ChaCha8Rng,
    /// Times and ids of the events to come.
    event_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    /// Latest id of an event or request.
    last_id: u64,
    gateways: Vec<SimGateway>,
    targets: Vec<SimTarget>,
    requests: BTreeMap<u64, SimRequest>,
    state: State,
    leader: Leader,
    /// Loads in progress.
    model_loads: usize,
    adapter_loads: usize,
    outcome: Outcome,
    /// One token bucket for all gateways, by workspace: level and time of its
    /// last update. It tells which requests are within the rate limit.
    exact_buckets: Vec<(f64, Duration)>,
}

impl<'d> Simulation<'d> {
    pub fn new(deployment: &'d Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let new_gateway = |n: usize| SimGateway {
            scheduler: Scheduler::new(seed + n as u64),
            naive: Naive::new(),
            holders: BTreeMap::new(),
            local_buckets: BTreeMap::new(),
            wanted: BTreeSet::new(),
            samples: 0,
            demand_sums: BTreeMap::new(),
            report_scheduled: false,
            view_index: 0,
        };
        let new_target = || SimTarget {
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
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_id: 0,
            gateways: (0..deployment.gateways).map(new_gateway).collect(),
            targets: (0..deployment.targets).map(|_| new_target()).collect(),
            requests: BTreeMap::new(),
            state: State::default(),
            leader: Leader::new(1, lead::Policy::default(), Duration::ZERO),
            model_loads: 0,
            adapter_loads: 0,
            outcome: Outcome::new(deployment),
            exact_buckets: vec![(0.0, Duration::ZERO); deployment.workspaces.len()],
        };
        world.configure();
        world
    }

    /// Returns the rate limit of a workspace in tokens per second, which is 1.25
    /// times its part of the offered load, and its burst, which is ten seconds
    /// of that rate.
    fn rate_limit(&self, workspace: usize) -> (f64, f64) {
        let tokens = self.offered_rate() * (MEAN_PROMPT + MEAN_OUTPUT);
        let rate = tokens * self.deployment.workspaces[workspace].share * 1.25;
        (rate, rate * 10.0)
    }

    /// Returns the requests per second of all workspaces together, 60 % of the
    /// capacity. `Scenario::Flood` adds to it.
    fn offered_rate(&self) -> f64 {
        self.deployment.capacity() * 0.6
    }

    fn configure(&mut self) {
        let (rate, parallel_models, parallel_adapters) = self.deployment.store;
        let objective = match self.policy {
            Policy::System(Objective::Attainment) => "attainment",
            _ => "worst_served",
        };
        let mut records = vec![
            serde_json::json!({"schema": 2, "kind": "class", "name": "engine", "version": 1,
                "checks_fencing": true, "checks_sender": false}),
            serde_json::json!({"schema": 2, "kind": "store", "name": "store", "version": 1,
                "loads_per_1000s": rate, "parallel_loads": parallel_models,
                "parallel_adapters": parallel_adapters}),
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
            let (rate, burst) = self.rate_limit(n);
            records.push(serde_json::json!({"schema": 2, "kind": "workspace",
                "name": workspace.name, "version": 1, "rate": rate as u64,
                "burst": burst as u64, "weight": 1}));
        }
        let text = serde_json::Value::Array(records).to_string();
        let records = wire::parse(&text).expect("the records are valid");
        self.commit(state::Change::View(Command::PutRecords(records)));
        for (n, workspace) in self.deployment.workspaces.iter().enumerate() {
            let limit = self
                .state
                .view
                .rate_limit(workspace.name)
                .expect("the workspace record was applied");
            self.leader.workspace_created(workspace.name, limit, Duration::ZERO);
            self.exact_buckets[n] = (self.rate_limit(n).1, Duration::ZERO);
        }
    }

    pub fn run(mut self) -> Outcome {
        if self.policy == Policy::Naive {
            self.place_statically();
        }
        for gateway in 0..self.gateways.len() {
            let at = REPORT_INTERVAL * gateway as u32 / self.gateways.len() as u32;
            self.schedule_at(at, Event::Report { gateway, regular: true });
        }
        self.schedule_at(Duration::ZERO, Event::Plan);
        self.schedule_at(Duration::ZERO, Event::Tick);
        self.schedule_at(WARM_UP, Event::Arrival);
        let end = WARM_UP + ARRIVAL_PERIOD + DEFERRABLE_LIMIT;
        while let Some(Reverse((at, id))) = self.event_queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.outcome.accelerators = self.deployment.targets;
        self.outcome
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.last_id += 1;
        self.event_queue.push(Reverse((at, self.last_id)));
        self.events.insert(self.last_id, event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Returns the time since the end of the warm-up.
    fn elapsed(&self) -> Duration {
        self.now.saturating_sub(WARM_UP)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Configure { gateway, index, targets } => {
                let sim_gateway = &mut self.gateways[gateway];
                if index < sim_gateway.view_index {
                    return;
                }
                sim_gateway.view_index = index;
                let actions = if self.policy == Policy::Naive {
                    sim_gateway.naive.configure(&targets)
                } else {
                    let objective = self.state.view.policy().objective;
                    sim_gateway.scheduler.configure(targets.to_vec(), objective, now)
                };
                self.run_scheduler_actions(gateway, actions);
            }
            Event::ReachTarget { request, target } => self.handle_at_target(request, target),
            Event::Finish { request, target, epoch } => self.finish(request, target, epoch),
            Event::Response { request, end, load } => self.handle_response(request, end, load),
            Event::ToOwner { gateway, sent, grant_request } => {
                let needs_tokens = grant_request.required > 0;
                let workspace = grant_request.workspace.clone();
                let reply =
                    self.leader.handle_grant_request(&grant_request, &self.state.view, 0.0, now);
                let reply = reply.expect("the workspace has a record");
                self.schedule_after(
                    NETWORK_DELAY,
                    Event::ToHolder { gateway, workspace, sent, needs_tokens, reply },
                );
            }
            Event::ToHolder { gateway, workspace, sent, needs_tokens, reply } => {
                let holder = self.gateways[gateway].holders.get_mut(&workspace);
                let actions = holder.map(|h| h.handle_reply(reply, sent, needs_tokens, now));
                self.run_holder_actions(gateway, actions.unwrap_or_default());
            }
            Event::OrderDone { target, item, fence } => self.finish_order(target, &item, fence),
            Event::Report { gateway, regular } => self.send_report(gateway, regular),
            Event::Plan => self.plan(),
            Event::Tick => self.tick(),
        }
    }

    fn handle_arrival(&mut self) {
        let elapsed = self.elapsed();
        if elapsed >= ARRIVAL_PERIOD {
            return;
        }
        let is_flood = self.scenario == Scenario::Flood;
        let shares: Vec<f64> = self
            .deployment
            .workspaces
            .iter()
            .enumerate()
            .map(|(n, w)| if is_flood && n == 1 { w.share * 6.0 } else { w.share })
            .collect();
        let total: f64 = shares.iter().sum();
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / (self.offered_rate() * total);
        self.schedule_after(Duration::from_secs_f64(gap), Event::Arrival);
        let workspace = self.pick_weighted(&shares);
        let demands: Vec<f64> = (0..self.deployment.models)
            .map(|m| self.deployment.demand(m, self.scenario, elapsed))
            .collect();
        let model = self.pick_weighted(&demands);
        let adapters: Vec<usize> =
            (0..self.deployment.adapters).filter(|a| a % self.deployment.models == model).collect();
        let adapter = (self.rng.random_bool(0.5) && !adapters.is_empty())
            .then(|| adapters[self.rng.random_range(0..adapters.len())]);
        let gateway = self.pick_gateway(elapsed);
        let sim_request = SimRequest {
            gateway,
            workspace,
            model,
            adapter,
            arrived: self.now,
            first_token_at: None,
            prompt_tokens: self.rng.random_range(50..350),
            output_tokens: self.rng.random_range(20..100),
            prefix_hash: self.rng.random_range(0..400),
            deferrable: self.rng.random_bool(0.15),
            charge: None,
            attempts: 0,
            avoid: Vec::new(),
        };
        self.last_id += 1;
        let request = self.last_id;
        let tokens = sim_request.prompt_tokens + sim_request.output_tokens;
        let within_limit = self.charge_exact_bucket(workspace, tokens);
        self.outcome.record_arrival(workspace, within_limit);
        self.requests.insert(request, sim_request);
        self.charge(request, gateway, workspace, tokens);
    }

    fn pick_weighted(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut remaining = self.rng.random_range(0.0..total);
        for (n, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return n;
            }
        }
        weights.len() - 1
    }

    /// Picks a random gateway that is not being restarted, as the load balancer
    /// in front of the gateways does.
    fn pick_gateway(&mut self, elapsed: Duration) -> usize {
        let count = self.gateways.len();
        let restart_time = ARRIVAL_PERIOD / count as u32;
        let restarting = (self.scenario == Scenario::RollingRestart)
            .then(|| (elapsed.as_nanos() / restart_time.as_nanos()) as usize % count);
        loop {
            let gateway = self.rng.random_range(0..count);
            if Some(gateway) != restarting {
                return gateway;
            }
        }
    }

    /// Charges the bucket of the workspace in `exact_buckets`, and returns true
    /// if it held enough tokens.
    fn charge_exact_bucket(&mut self, workspace: usize, tokens: u64) -> bool {
        let (rate, burst) = self.rate_limit(workspace);
        let (level, at) = self.exact_buckets[workspace];
        let level = (level + rate * self.now.checked_sub(at).unwrap().as_secs_f64()).min(burst);
        let admitted = level >= tokens as f64;
        let level = if admitted { level - tokens as f64 } else { level };
        self.exact_buckets[workspace] = (level, self.now);
        admitted
    }

    fn charge(&mut self, request: u64, gateway: usize, workspace: usize, tokens: u64) {
        let name = self.deployment.workspaces[workspace].name;
        let now = self.now;
        if self.policy == Policy::Naive {
            let (rate, burst) = self.rate_limit(workspace);
            let count = self.gateways.len() as f64;
            let (rate, burst) = (rate / count, burst / count);
            let bucket =
                self.gateways[gateway].local_buckets.entry(name.to_owned()).or_insert((burst, now));
            let level =
                (bucket.0 + rate * now.checked_sub(bucket.1).unwrap().as_secs_f64()).min(burst);
            let admitted = level >= tokens as f64;
            *bucket = (if admitted { level - tokens as f64 } else { level }, now);
            if admitted {
                self.submit(request);
            } else {
                self.refuse_rate_limited(request);
            }
            return;
        }
        let holders = &mut self.gateways[gateway].holders;
        let holder = holders
            .entry(name.to_owned())
            .or_insert_with(|| holder::WorkspaceGrants::new(name, now));
        let actions = holder.submit(request, tokens, now + FIRST_TOKEN_LIMIT, now);
        self.run_holder_actions(gateway, actions);
    }

    fn run_holder_actions(&mut self, gateway: usize, actions: Vec<holder::Action>) {
        for action in actions {
            match action {
                holder::Action::Admit { request, charge } => {
                    if let Some(sim_request) = self.requests.get_mut(&request) {
                        sim_request.charge = Some(charge);
                    }
                    self.submit(request);
                }
                holder::Action::Refuse { request, .. } => self.refuse_rate_limited(request),
                holder::Action::Send(grant_request) => {
                    let sent = self.now;
                    self.schedule_after(
                        NETWORK_DELAY,
                        Event::ToOwner { gateway, sent, grant_request },
                    );
                }
            }
        }
    }

    fn refuse_rate_limited(&mut self, request: u64) {
        if let Some(sim_request) = self.requests.remove(&request) {
            self.outcome.record_rate_limited(sim_request.workspace);
        }
    }

    /// Submits an admitted or retried request to the scheduler.
    fn submit(&mut self, request: u64) {
        let Some(sim_request) = self.requests.get(&request) else {
            return;
        };
        let max_wait =
            if sim_request.deferrable { DEFERRABLE_LIMIT / 2 } else { FIRST_TOKEN_LIMIT };
        let scheduled = Request {
            id: request,
            workspace: self.deployment.workspaces[sim_request.workspace].name.into(),
            weight: 1,
            pool: Pool::Model(format!("m{}", sim_request.model).into()),
            adapter: sim_request.adapter.map(|a| format!("a{a}").into()),
            tokens: sim_request.prompt_tokens + sim_request.output_tokens,
            deferrable: sim_request.deferrable,
            stage: Stage::New,
            deadline: sim_request.arrived + max_wait,
            prefix_hash: Some(sim_request.prefix_hash),
            exclusive: false,
            avoid: sim_request.avoid.clone(),
        };
        let gateway = sim_request.gateway;
        let sim_gateway = &mut self.gateways[gateway];
        let actions = if self.policy == Policy::Naive {
            sim_gateway.naive.submit(scheduled)
        } else {
            sim_gateway.scheduler.submit(scheduled, self.now)
        };
        self.run_scheduler_actions(gateway, actions);
    }

    fn run_scheduler_actions(&mut self, gateway: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { request, target } => {
                    let target = target[1..].parse().expect("targets are numbered");
                    self.schedule_after(NETWORK_DELAY, Event::ReachTarget { request, target });
                }
                Action::Refuse { request, .. } => self.shed(request),
                Action::RequestPlacement { pool, adapter } => {
                    let item = match (pool, adapter) {
                        (_, Some(adapter)) => Item::Adapter(adapter.as_ref().to_owned()),
                        (Pool::Model(model) | Pool::Service(model), None) => {
                            Item::Model(model.as_ref().to_owned())
                        }
                    };
                    let sim_gateway = &mut self.gateways[gateway];
                    sim_gateway.wanted.insert(item);
                    if !sim_gateway.report_scheduled {
                        sim_gateway.report_scheduled = true;
                        self.schedule_after(
                            TICK_INTERVAL,
                            Event::Report { gateway, regular: false },
                        );
                    }
                }
            }
        }
    }

    fn shed(&mut self, request: u64) {
        if let Some(sim_request) = self.requests.remove(&request) {
            self.refund(&sim_request);
            self.outcome.record_shed(sim_request.workspace);
        }
    }

    fn refund(&mut self, sim_request: &SimRequest) {
        let name = self.deployment.workspaces[sim_request.workspace].name;
        if let Some(charge) = &sim_request.charge
            && let Some(holder) = self.gateways[sim_request.gateway].holders.get_mut(name)
        {
            holder.refund(charge, charge.tokens());
        }
    }

    fn handle_at_target(&mut self, request: u64, target: usize) {
        let Some(sim_request) = self.requests.get(&request) else {
            return;
        };
        let model = Item::Model(format!("m{}", sim_request.model));
        let adapter = sim_request.adapter.map(|a| Item::Adapter(format!("a{a}")));
        let sim_target = &mut self.targets[target];
        if !sim_target.up {
            self.schedule_after(
                NETWORK_DELAY,
                Event::Response { request, end: End::Failed, load: 0 },
            );
            return;
        }
        let has = |item: &Item| sim_target.resident.contains_key(item);
        if !has(&model) || adapter.as_ref().is_some_and(|a| !has(a)) {
            self.schedule_after(
                NETWORK_DELAY,
                Event::Response { request, end: End::Rejected, load: 0 },
            );
            return;
        }
        sim_target.queue.push_back(request);
        self.start_queued(target);
    }

    /// Starts queued requests while the target has free slots.
    fn start_queued(&mut self, target: usize) {
        while self.targets[target].running.len() < SLOTS as usize {
            let Some(request) = self.targets[target].queue.pop_front() else {
                return;
            };
            let Some(sim_request) = self.requests.get_mut(&request) else {
                continue;
            };
            let sim_target = &mut self.targets[target];
            let prefix_key = (sim_request.model as u64) << 32 | sim_request.prefix_hash;
            let cached = sim_target.cached.contains(&prefix_key);
            sim_target.cached.retain(|p| *p != prefix_key);
            sim_target.cached.push_back(prefix_key);
            if sim_target.cached.len() > CACHED_PREFIXES {
                sim_target.cached.pop_front();
            }
            let prefill =
                PROMPT_TOKEN_TIME * sim_request.prompt_tokens as u32 / if cached { 5 } else { 1 };
            sim_target.running.insert(request, Item::Model(format!("m{}", sim_request.model)));
            let first_token_at = self.now + prefill + TOKEN_TIME;
            sim_request.first_token_at.get_or_insert(first_token_at);
            let end = first_token_at + TOKEN_TIME * (sim_request.output_tokens as u32 - 1);
            let epoch = sim_target.epoch;
            self.schedule_at(end, Event::Finish { request, target, epoch });
        }
    }

    fn finish(&mut self, request: u64, target: usize, epoch: u64) {
        let sim_target = &mut self.targets[target];
        if sim_target.epoch != epoch || sim_target.running.remove(&request).is_none() {
            return;
        }
        let load = (sim_target.running.len() + sim_target.queue.len()) as u32;
        self.schedule_after(NETWORK_DELAY, Event::Response { request, end: End::Finished, load });
        self.start_queued(target);
    }

    fn handle_response(&mut self, request: u64, end: End, load: u32) {
        let Some(gateway) = self.requests.get(&request).map(|r| r.gateway) else {
            return;
        };
        let finished = end == End::Finished;
        if finished && let Some(sim_request) = self.requests.remove(&request) {
            let first_token =
                sim_request.first_token_at.unwrap_or(self.now).saturating_sub(sim_request.arrived);
            let duration = self.now.saturating_sub(sim_request.arrived);
            let on_time = if sim_request.deferrable {
                duration <= DEFERRABLE_LIMIT
            } else {
                first_token <= FIRST_TOKEN_LIMIT
            };
            self.outcome.record_finished(
                sim_request.workspace,
                on_time,
                first_token,
                sim_request.deferrable,
            );
        }
        let load = finished.then_some(load);
        let sim_gateway = &mut self.gateways[gateway];
        let actions = if self.policy == Policy::Naive {
            sim_gateway.naive.complete(request, end)
        } else {
            sim_gateway.scheduler.complete(request, end, load, self.now)
        };
        self.run_scheduler_actions(gateway, actions);
        if !finished {
            self.retry(request);
        }
    }

    fn retry(&mut self, request: u64) {
        let Some(sim_request) = self.requests.get_mut(&request) else {
            return;
        };
        sim_request.attempts += 1;
        sim_request.first_token_at = None;
        if self.policy == Policy::Naive || sim_request.attempts >= MAX_ATTEMPTS {
            self.shed(request);
        } else {
            self.submit(request);
        }
    }

    fn tick(&mut self) {
        self.schedule_after(TICK_INTERVAL, Event::Tick);
        let now = self.now;
        for gateway in 0..self.gateways.len() {
            let sim_gateway = &mut self.gateways[gateway];
            sim_gateway.samples += 1;
            for load in sim_gateway.scheduler.pool_loads() {
                if let Pool::Model(name) = load.pool {
                    *sim_gateway.demand_sums.entry(name.as_ref().to_owned()).or_default() +=
                        load.requests as u64;
                }
            }
            let actions = if self.policy == Policy::Naive {
                sim_gateway.naive.tick(now)
            } else {
                sim_gateway.scheduler.tick(now)
            };
            let holder_actions: Vec<_> =
                sim_gateway.holders.values_mut().map(|h| h.tick(now)).collect();
            self.run_scheduler_actions(gateway, actions);
            for actions in holder_actions {
                self.run_holder_actions(gateway, actions);
            }
        }
        let must_fail =
            self.scenario == Scenario::TargetLost && self.elapsed() >= ARRIVAL_PERIOD / 2;
        if must_fail && self.targets[0].up {
            self.fail_target(0);
        }
    }

    /// Fails a target together with the requests that it runs or queues.
    fn fail_target(&mut self, target: usize) {
        let sim_target = &mut self.targets[target];
        sim_target.up = false;
        sim_target.epoch += 1;
        sim_target.resident.clear();
        let running = std::mem::take(&mut sim_target.running).into_keys();
        let queued = std::mem::take(&mut sim_target.queue);
        let failed: Vec<u64> = running.chain(queued).collect();
        for request in failed {
            self.schedule_after(
                NETWORK_DELAY,
                Event::Response { request, end: End::Failed, load: 0 },
            );
        }
    }

    fn send_report(&mut self, gateway: usize, regular: bool) {
        if self.policy == Policy::Naive {
            return;
        }
        let sim_gateway = &mut self.gateways[gateway];
        sim_gateway.report_scheduled = false;
        let samples = sim_gateway.samples.max(1);
        let wanted = std::mem::take(&mut sim_gateway.wanted).into_iter().collect();
        let mut demand = Vec::new();
        if regular {
            sim_gateway.samples = 0;
            let demand_sums = std::mem::take(&mut sim_gateway.demand_sums).into_iter();
            demand = demand_sums
                .map(|(model, sum)| Demand { model, load: sum * 1_000 / samples })
                .collect();
            self.schedule_after(REPORT_INTERVAL, Event::Report { gateway, regular });
        }
        if !regular {
            for item in &wanted {
                self.request_placement(item);
            }
            return;
        }
        let announcements = if regular { self.announcements(gateway) } else { Vec::new() };
        let report = Report { session: Session(gateway as u64), announcements, demand, wanted };
        let changes = self.leader.handle_report(&report, &self.state, self.now);
        for change in changes {
            self.commit(change);
        }
        let loads = self.leader.next_loads(self.now);
        let mut actions = Vec::new();
        for load in loads {
            let scheduler = &mut self.gateways[gateway].scheduler;
            actions.extend(scheduler.report_load(&load.target, load.requests, self.now));
        }
        self.run_scheduler_actions(gateway, actions);
    }

    fn request_placement(&mut self, item: &Item) {
        let report = Report {
            session: Session(u64::MAX),
            announcements: Vec::new(),
            demand: Vec::new(),
            wanted: vec![item.clone()],
        };
        for change in self.leader.handle_report(&report, &self.state, self.now) {
            self.commit(change);
        }
    }

    /// Returns the announcements of every second target; which half depends on
    /// the gateway.
    fn announcements(&self, gateway: usize) -> Vec<Announcement> {
        let up = self.targets.iter().enumerate().filter(|(_, t)| t.up);
        let announcing =
            up.filter(|(n, _)| self.gateways.len() < 2 || (n + gateway).is_multiple_of(2));
        announcing.map(|(n, sim_target)| Self::announcement(n, sim_target)).collect()
    }

    fn announcement(number: usize, sim_target: &SimTarget) -> Announcement {
        Announcement {
            name: format!("t{number}"),
            target: Target {
                address: ([127, 0, 0, 1], 1).into(),
                class: "engine".into(),
                service: None,
                domain: format!("d{}", number % 3),
                memory: TARGET_MIB,
                incarnation: 1,
                slots: SLOTS,
                presence: Presence::Up,
            },
            resident: sim_target.resident.iter().map(|(i, m)| (i.clone(), *m)).collect(),
            load: (sim_target.running.len() + sim_target.queue.len()) as u32,
            busy: sim_target
                .running
                .values()
                .cloned()
                .collect::<BTreeSet<_>>()
                .into_iter()
                .collect(),
        }
    }

    /// Applies a committed change. If it changes the view, each gateway uses the
    /// new view after a random delay.
    fn commit(&mut self, change: state::Change) -> bool {
        let changes_view = matches!(change, state::Change::View(_));
        let index = self.state.index + 1;
        let command = state::Command { proposed_at: 0, change };
        let applied = self.state.apply(index, &command) == state::Outcome::Applied;
        if applied && changes_view {
            let targets = Arc::new(schedule::available_targets(&self.state.view));
            for gateway in 0..self.gateways.len() {
                let delay = MAX_UPDATE_DELAY.mul_f64(self.rng.random_range(0.05..1.0));
                self.schedule_after(
                    delay,
                    Event::Configure { gateway, index, targets: targets.clone() },
                );
            }
        }
        applied
    }

    fn plan(&mut self) {
        self.schedule_after(PLAN_INTERVAL, Event::Plan);
        if self.policy == Policy::Naive {
            return;
        }
        for change in self.leader.tick(&self.state, self.now) {
            self.commit(change);
        }
        for command in self.leader.plan(&self.state.view, self.now) {
            if self.commit(state::Change::View(command.clone())) {
                self.execute_order(command);
            }
        }
    }

    fn execute_order(&mut self, command: Command) {
        let Command::Order { target, verb, item, .. } = command else {
            return;
        };
        let fence = self.state.index;
        let number: usize = target[1..].parse().expect("targets are numbered");
        if !self.targets[number].up {
            return;
        }
        let warming_up = self.now < WARM_UP;
        if verb == Verb::Unload {
            self.targets[number].resident.remove(&item);
            self.schedule_after(
                NETWORK_DELAY * 2,
                Event::OrderDone { target: number, item, fence },
            );
            return;
        }
        let (_, parallel_models, parallel_adapters) = self.deployment.store;
        let load_time = match &item {
            Item::Model(_) => {
                self.outcome.model_loads += u64::from(!warming_up);
                self.model_loads += 1;
                shared_load_time(MODEL_LOAD_TIME, self.model_loads, parallel_models)
            }
            Item::Adapter(_) => {
                self.adapter_loads += 1;
                shared_load_time(ADAPTER_LOAD_TIME, self.adapter_loads, parallel_adapters)
            }
        };
        self.schedule_after(
            NETWORK_DELAY * 2 + load_time,
            Event::OrderDone { target: number, item, fence },
        );
    }

    fn finish_order(&mut self, target: usize, item: &Item, fence: u64) {
        let name = format!("t{target}");
        let loading = self
            .state
            .view
            .memory_allocations()
            .allocation(&name, item)
            .is_some_and(|a| a.pending.get(&fence) == Some(&Verb::Load));
        if loading {
            match item {
                Item::Model(_) => self.model_loads -= 1,
                Item::Adapter(_) => self.adapter_loads -= 1,
            }
            if !self.targets[target].up {
                return;
            }
            let memory = if matches!(item, Item::Model(_)) { MODEL_MIB } else { ADAPTER_MIB };
            self.targets[target].resident.insert(item.clone(), memory);
        }
        self.commit(state::Change::View(Command::Acknowledge {
            target: name,
            incarnation: 1,
            item: item.clone(),
            fence,
            ack: Ack::Done,
        }));
    }

    /// Places the models of the baseline: the number of copies follows the
    /// average demand, and each copy has all adapters of its model.
    fn place_statically(&mut self) {
        let demands: Vec<f64> = (0..self.deployment.models)
            .map(|m| self.deployment.demand(m, Scenario::Steady, Duration::ZERO))
            .collect();
        let mut copies = vec![1_usize; demands.len()];
        let capacity = self.targets.len() * (TARGET_MIB / MODEL_MIB) as usize;
        while copies.iter().sum::<usize>() < capacity {
            let most_demanded =
                (0..copies.len()).filter(|m| copies[*m] < self.targets.len()).max_by(|a, b| {
                    let demand_per_copy = |m: usize| demands[m] / copies[m] as f64;
                    demand_per_copy(*a).total_cmp(&demand_per_copy(*b))
                });
            let Some(model) = most_demanded else {
                break;
            };
            copies[model] += 1;
        }
        // First one copy of each model, so that every model is available.
        let max_copies = copies.iter().max().copied().unwrap_or(0);
        for copy in 0..max_copies {
            for model in (0..copies.len()).filter(|m| copy < copies[*m]) {
                let item = Item::Model(format!("m{model}"));
                let candidates = (0..self.targets.len()).filter(|t| {
                    let resident = &self.targets[*t].resident;
                    let model_count =
                        resident.keys().filter(|i| matches!(i, Item::Model(_))).count() as u64;
                    !resident.contains_key(&item) && (model_count + 1) * MODEL_MIB <= TARGET_MIB
                });
                let Some(target) = candidates.min_by_key(|t| self.targets[*t].resident.len())
                else {
                    continue;
                };
                self.targets[target].resident.insert(item, MODEL_MIB);
                for adapter in (0..self.deployment.adapters).filter(|a| a % copies.len() == model) {
                    let item = Item::Adapter(format!("a{adapter}"));
                    self.targets[target].resident.insert(item, ADAPTER_MIB);
                }
            }
        }
        for number in 0..self.targets.len() {
            let announcement = Self::announcement(number, &self.targets[number]);
            self.commit(state::Change::View(Command::AnnounceTarget {
                name: announcement.name,
                target: announcement.target,
                resident: announcement.resident,
            }));
        }
    }
}

/// Returns the time of a load while `count` loads run. Up to `parallel` loads
/// run at full speed; more share the bandwidth.
fn shared_load_time(time: Duration, count: usize, parallel: u32) -> Duration {
    let parallel = f64::from(parallel);
    time.mul_f64((count as f64 / parallel).max(1.0))
}
