//! The scheduler of one gateway.

use std::{collections, mem, sync, time};

use rand::SeedableRng as _;

use crate::version::record;

use super::{
    Action, End, Pool, PoolLoad, RefusalReason, Request, TargetInfo,
    choose::{self, PoolTargets, TargetState},
    queue::Queue,
};

/// Requests that may wait on one gateway, over all pools.
const MAX_WAITING: usize = 10_000;

/// Inverse weight of a new sample in the moving average of the service time.
const SMOOTHING: u32 = 8;

/// Least time between two placement requests for a pool.
const PLACEMENT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Lower bound of the time that a refused caller is told to wait.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// A request that runs on a target.
#[derive(Debug)]
struct Running {
    target: sync::Arc<str>,
    pool: Pool,
    started: time::Duration,
    /// Whether it must not share its target with other requests of this gateway.
    exclusive: bool,
}

/// Queue and targets of a pool, a group of targets that serve the same requests.
#[derive(Debug, Default)]
struct PoolState {
    queue: Queue,
    targets: PoolTargets,
    /// Moving average of the time that a request takes; `None` before the first
    /// one has finished.
    service_time: Option<time::Duration>,
    placement_requested_at: Option<time::Duration>,
}

/// Schedules the requests of one gateway.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use hornbeamdock::{request::{schedule, stage::Stage}, version::record};
///
/// let pool = schedule::Pool::Service("orders".into());
/// let target = schedule::TargetInfo {
///     name: "orders-1".into(),
///     width: 1,
///     adapters: Vec::new(),
///     pools: vec![pool.clone()],
/// };
/// let mut scheduler = schedule::Scheduler::new(1);
/// scheduler.configure(vec![target], record::Objective::WorstServed, time::Duration::ZERO);
/// let request = schedule::Request {
///     id: 7,
///     workspace: "shop".into(),
///     weight: 1,
///     pool,
///     adapter: None,
///     tokens: 1,
///     deferrable: false,
///     stage: Stage::New,
///     deadline: time::Duration::from_secs(1),
///     prefix_hash: None,
///     exclusive: false,
///     avoid: Vec::new(),
/// };
/// let actions = scheduler.submit(request, time::Duration::ZERO);
/// let dispatch = schedule::Action::Dispatch { request: 7, target: "orders-1".into() };
/// assert_eq!(actions, vec![dispatch]);
/// ```
#[derive(Debug)]
pub struct Scheduler {
    objective: record::Objective,
    targets: collections::BTreeMap<sync::Arc<str>, TargetState>,
    pools: collections::BTreeMap<Pool, PoolState>,
    running: collections::HashMap<u64, Running>,
    waiting: usize,
    rng: rand_chacha::ChaCha8Rng,
}

impl Scheduler {
    /// Creates a scheduler without targets; `seed` determines which targets are
    /// sampled.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            objective: record::Objective::default(),
            targets: collections::BTreeMap::new(),
            pools: collections::BTreeMap::new(),
            running: collections::HashMap::new(),
            waiting: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the targets that may get new requests, and the objective.
    ///
    /// Requests that run on a removed target are not affected.
    pub fn configure(
        &mut self,
        targets: Vec<TargetInfo>,
        objective: record::Objective,
        now: time::Duration,
    ) -> Vec<Action> {
        self.objective = objective;
        let mut previous = mem::take(&mut self.targets);
        for pool_state in self.pools.values_mut() {
            pool_state.targets.clear();
        }
        for info in targets {
            for pool in &info.pools {
                let pool_state = self.pools.entry(pool.clone()).or_default();
                pool_state.targets.push(info.name.clone());
            }
            let target_state = match previous.remove(&info.name) {
                Some(target_state) => TargetState { info, ..target_state },
                None => self.initial_state(info),
            };
            self.targets.insert(target_state.info.name.clone(), target_state);
        }
        self.dispatch_all(now)
    }

    /// Queues a request, or refuses it if it is not expected to start in time;
    /// then dispatches what targets accept.
    pub fn submit(&mut self, request: Request, now: time::Duration) -> Vec<Action> {
        if self.waiting >= MAX_WAITING {
            return vec![refuse(request.id, RefusalReason::QueueFull, MIN_RETRY_AFTER)];
        }
        let estimate = self.estimate(&request);
        if now + estimate >= request.deadline {
            return vec![refuse(
                request.id,
                RefusalReason::Deadline,
                estimate.max(MIN_RETRY_AFTER),
            )];
        }
        let pool = request.pool.clone();
        self.pools.entry(pool.clone()).or_default().queue.push(request);
        self.waiting += 1;
        let mut actions = Vec::new();
        self.dispatch_pool(&pool, now, &mut actions);
        actions
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, id: u64) {
        let found = self.pools.values_mut().any(|s| s.queue.remove(id).is_some());
        self.waiting -= usize::from(found);
    }

    /// Records the end of a dispatched request, and the number of requests of all
    /// gateways on its target if the target reported it (`target_requests`).
    pub fn complete(
        &mut self,
        id: u64,
        end: End,
        target_requests: Option<u32>,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(running) = self.running.remove(&id) else {
            return Vec::new();
        };
        if end == End::Finished {
            self.record_service_time(&running, now);
        }
        if let Some(target_state) = self.targets.get_mut(&running.target) {
            if let Some(target_requests) = target_requests {
                target_state.record_load(target_requests);
            }
            target_state.local_requests = target_state.local_requests.saturating_sub(1);
            if running.exclusive {
                target_state.exclusive = None;
            }
            if matches!(end, End::Failed | End::Rejected) {
                target_state.back_off(now);
            }
        }
        self.dispatch_target(&running.target, now)
    }

    /// Records the number of requests of all gateways on a target, as reported by
    /// the leading control replica.
    pub fn report_load(
        &mut self,
        target: &str,
        target_requests: u32,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(target_state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        target_state.record_load(target_requests);
        self.dispatch_target(target, now)
    }

    /// Refuses the requests whose deadline has passed, and tries again to
    /// dispatch the others.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for pool_state in self.pools.values_mut().filter(|s| s.queue.len() > 0) {
            let retry_after =
                pool_state.service_time.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
            for late in pool_state.queue.expire(now) {
                self.waiting -= 1;
                actions.push(refuse(late.id, RefusalReason::Deadline, retry_after));
            }
        }
        actions.extend(self.dispatch_all(now));
        actions
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the ids of the requests that run on a target.
    pub fn running_on<'s>(&'s self, target: &'s str) -> impl Iterator<Item = u64> + 's {
        self.running.iter().filter(move |(_, r)| &*r.target == target).map(|(id, _)| *id)
    }

    /// Returns the number of this gateway's running and waiting requests of each
    /// pool that has any.
    #[must_use]
    pub fn pool_loads(&self) -> Vec<PoolLoad> {
        let mut running: collections::BTreeMap<&Pool, usize> = collections::BTreeMap::new();
        for request in self.running.values() {
            *running.entry(&request.pool).or_default() += 1;
        }
        let load = |(pool, pool_state): (&Pool, &PoolState)| {
            let requests = pool_state.queue.len() + running.get(pool).copied().unwrap_or(0);
            PoolLoad { pool: pool.clone(), requests }
        };
        self.pools.iter().map(load).filter(|l| l.requests > 0).collect()
    }

    /// Returns the state of a target that is new in [`Scheduler::configure`].
    /// Requests may still run on it if it was configured before and removed.
    fn initial_state(&self, info: TargetInfo) -> TargetState {
        let running = self.running_on(&info.name).count();
        TargetState {
            local_requests: u32::try_from(running).unwrap_or(u32::MAX),
            ..TargetState::new(info)
        }
    }

    /// Estimates the wait of a request before it starts, from the requests
    /// ahead of it and the average service time; zero if nothing is known.
    fn estimate(&self, request: &Request) -> time::Duration {
        let Some(pool_state) = self.pools.get(&request.pool) else {
            return time::Duration::ZERO;
        };
        let Some(service_time) =
            pool_state.service_time.filter(|_| !pool_state.targets.names().is_empty())
        else {
            return time::Duration::ZERO;
        };
        let ahead = u32::try_from(pool_state.queue.count_ahead(request, self.objective))
            .unwrap_or(u32::MAX);
        if ahead == 0 {
            return time::Duration::ZERO;
        }
        let target_states = pool_state.targets.names().iter().filter_map(|n| self.targets.get(n));
        let slots = target_states
            .map(|t| t.info.width.saturating_sub(t.remote_requests).max(1))
            .sum::<u32>();
        service_time.saturating_mul(ahead) / slots.max(1)
    }

    fn record_service_time(&mut self, running: &Running, now: time::Duration) {
        let Some(pool_state) = self.pools.get_mut(&running.pool) else {
            return;
        };
        let sample = now.saturating_sub(running.started);
        pool_state.service_time = Some(match pool_state.service_time {
            None => sample,
            Some(average) => (average * (SMOOTHING - 1) + sample) / SMOOTHING,
        });
    }

    fn dispatch_all(&mut self, now: time::Duration) -> Vec<Action> {
        let waiting = self.pools.iter().filter(|(_, s)| s.queue.len() > 0);
        let pools: Vec<_> = waiting.map(|(p, _)| p.clone()).collect();
        let mut actions = Vec::new();
        for pool in pools {
            self.dispatch_pool(&pool, now, &mut actions);
        }
        actions
    }

    fn dispatch_target(&mut self, target: &str, now: time::Duration) -> Vec<Action> {
        if self.waiting == 0 {
            return Vec::new();
        }
        let pools = self.targets.get(target).map(|t| t.info.pools.clone()).unwrap_or_default();
        let mut actions = Vec::new();
        for pool in pools {
            self.dispatch_pool(&pool, now, &mut actions);
        }
        actions
    }

    /// Dispatches the requests of one pool that targets accept, and requests a
    /// placement if a model or adapter is missing.
    fn dispatch_pool(&mut self, pool: &Pool, now: time::Duration, actions: &mut Vec<Action>) {
        let objective = self.objective;
        let Some(pool_state) = self.pools.get_mut(pool) else {
            return;
        };
        let mut blocked = collections::BTreeSet::new();
        let mut obstacle = Obstacle::Capacity;
        while pool_state.queue.len() > 0 {
            let workspaces_by_priority = pool_state.queue.service_order(objective);
            let Some(workspace) = workspaces_by_priority.into_iter().find(|w| !blocked.contains(w))
            else {
                break;
            };
            let Some(first) = pool_state.queue.first(&workspace) else {
                break;
            };
            let pool_targets = &mut pool_state.targets;
            let mut place = |request: &Request| {
                let target =
                    choose::choose(&self.targets, pool_targets, request, now, &mut self.rng);
                target.map(|target| (request.id, target))
            };
            // Others need not wait until a target is free of requests.
            let shared = pool_state.queue.first_shared(&workspace).filter(|_| first.exclusive);
            let chosen = place(first).or_else(|| shared.and_then(&mut place));
            let Some((id, target)) = chosen else {
                if matches!(obstacle, Obstacle::Capacity) {
                    obstacle = find_obstacle(&self.targets, pool_state, first);
                }
                blocked.insert(workspace);
                continue;
            };
            let Some(request) = pool_state.queue.take(&workspace, id) else {
                break;
            };
            self.waiting -= 1;
            record_dispatch(&mut self.targets, &mut self.running, &request, &target, now);
            actions.push(Action::Dispatch { request: request.id, target });
        }
        let adapter = match obstacle {
            Obstacle::Capacity => return,
            Obstacle::NoTarget => None,
            Obstacle::AdapterMissing(adapter) => Some(adapter),
        };
        if pool_state.placement_requested_at.is_none_or(|at| now >= at + PLACEMENT_INTERVAL) {
            pool_state.placement_requested_at = Some(now);
            actions.push(Action::RequestPlacement { pool: pool.clone(), adapter });
        }
    }
}

/// Records that a request was sent to a target.
fn record_dispatch(
    targets: &mut collections::BTreeMap<sync::Arc<str>, TargetState>,
    running: &mut collections::HashMap<u64, Running>,
    request: &Request,
    target: &sync::Arc<str>,
    now: time::Duration,
) {
    if let Some(target_state) = targets.get_mut(target) {
        target_state.local_requests += 1;
        if request.exclusive {
            target_state.exclusive = Some(request.id);
        }
    }
    let (pool, exclusive) = (request.pool.clone(), request.exclusive);
    running.insert(request.id, Running { target: target.clone(), pool, started: now, exclusive });
}

/// Why a request can't be dispatched now.
#[derive(Clone, Debug)]
enum Obstacle {
    /// The targets that could serve it are full or in backoff, or it must avoid
    /// them.
    Capacity,
    /// The pool has no target.
    NoTarget,
    /// No target of the pool holds the adapter.
    AdapterMissing(sync::Arc<str>),
}

fn find_obstacle(
    targets: &collections::BTreeMap<sync::Arc<str>, TargetState>,
    pool_state: &PoolState,
    request: &Request,
) -> Obstacle {
    if pool_state.targets.names().is_empty() {
        return Obstacle::NoTarget;
    }
    let Some(adapter) = request.adapter.clone() else {
        return Obstacle::Capacity;
    };
    let mut target_states = pool_state.targets.names().iter().filter_map(|n| targets.get(n));
    let held = target_states.any(|t| t.info.adapters.contains(&adapter));
    if held { Obstacle::Capacity } else { Obstacle::AdapterMissing(adapter) }
}

fn refuse(request: u64, reason: RefusalReason, retry_after: time::Duration) -> Action {
    Action::Refuse { request, reason, retry_after }
}
