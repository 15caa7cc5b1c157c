//! The scheduler of one entry.

use std::{collections, mem, sync, time};

use rand::SeedableRng as _;

use crate::version::record;

use super::{
    Action, End, Host, Load, Pool, Reason, Request,
    choose::{self, Known, Members},
    queue::Queue,
};

/// Requests that may wait on one entry.
const CAPACITY: usize = 10_000;

/// Weight of a new sample in the average service time, as a divisor.
const SMOOTHING: u32 = 8;

/// How often a want is repeated while requests wait for it.
const WANT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Least time to tell a refused caller to stay away.
const LEAST_WAIT: time::Duration = time::Duration::from_millis(500);

/// A request that runs on a target.
#[derive(Debug)]
struct Running {
    target: sync::Arc<str>,
    pool: Pool,
    since: time::Duration,
    alone: bool,
}

/// What is known of a pool.
#[derive(Debug, Default)]
struct State {
    queue: Queue,
    targets: Members,
    /// Average time that a request takes, once one has finished.
    service: Option<time::Duration>,
    wanted: Option<time::Duration>,
}

/// Schedules the requests of one entry.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use hornbeamdock::{request::schedule, version::record};
///
/// let pool = schedule::Pool::Service("orders".into());
/// let host = schedule::Host {
///     name: "orders-1".into(),
///     width: 1,
///     adapters: Vec::new(),
///     pools: vec![pool.clone()],
/// };
/// let mut scheduler = schedule::Scheduler::new(1);
/// scheduler.configure(vec![host], record::Objective::Worst, time::Duration::ZERO);
/// let request = schedule::Request {
///     id: 7,
///     workspace: "shop".into(),
///     weight: 1,
///     pool,
///     adapter: None,
///     tokens: 1,
///     deferrable: false,
///     deadline: time::Duration::from_secs(1),
///     prefix: None,
///     alone: false,
///     avoid: Vec::new(),
/// };
/// let actions = scheduler.arrive(request, time::Duration::ZERO);
/// let dispatch = schedule::Action::Dispatch { request: 7, target: "orders-1".into() };
/// assert_eq!(actions, vec![dispatch]);
/// ```
#[derive(Debug)]
pub struct Scheduler {
    objective: record::Objective,
    targets: collections::BTreeMap<sync::Arc<str>, Known>,
    pools: collections::BTreeMap<Pool, State>,
    running: collections::HashMap<u64, Running>,
    waiting: usize,
    rng: rand_chacha::ChaCha8Rng,
}

impl Scheduler {
    /// Creates a scheduler that knows no target.
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

    /// Takes in the targets that may get new work, and the objective.
    ///
    /// Requests on a target that is no longer among them run on.
    pub fn configure(
        &mut self,
        hosts: Vec<Host>,
        objective: record::Objective,
        now: time::Duration,
    ) -> Vec<Action> {
        self.objective = objective;
        let mut before = mem::take(&mut self.targets);
        for state in self.pools.values_mut() {
            state.targets.clear();
        }
        for host in hosts {
            for pool in &host.pools {
                let state = self.pools.entry(pool.clone()).or_default();
                state.targets.push(host.name.clone());
            }
            let known = match before.remove(&host.name) {
                Some(known) => Known { host, ..known },
                None => self.recall(host),
            };
            self.targets.insert(known.host.name.clone(), known);
        }
        self.pump_all(now)
    }

    /// Queues a request, and dispatches or refuses it if that is decided.
    pub fn arrive(&mut self, request: Request, now: time::Duration) -> Vec<Action> {
        if self.waiting >= CAPACITY {
            return vec![refuse(request.id, Reason::Full, LEAST_WAIT)];
        }
        let estimate = self.estimate(&request);
        if now + estimate >= request.deadline {
            return vec![refuse(request.id, Reason::Deadline, estimate.max(LEAST_WAIT))];
        }
        let pool = request.pool.clone();
        self.pools.entry(pool.clone()).or_default().queue.push(request);
        self.waiting += 1;
        let mut actions = Vec::new();
        self.pump(&pool, now, &mut actions);
        actions
    }

    /// Forgets a waiting request whose caller is gone.
    pub fn cancel(&mut self, id: u64) {
        let found = self.pools.values_mut().any(|s| s.queue.remove(id).is_some());
        self.waiting -= usize::from(found);
    }

    /// Takes in the end of a dispatched request, and the load that its target
    /// reported with it.
    pub fn done(
        &mut self,
        id: u64,
        end: End,
        load: Option<u32>,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(running) = self.running.remove(&id) else {
            return Vec::new();
        };
        if end == End::Finished {
            self.learn(&running, now);
        }
        if let Some(known) = self.targets.get_mut(&running.target) {
            if let Some(total) = load {
                known.reported(total);
            }
            known.own = known.own.saturating_sub(1);
            if running.alone {
                known.alone = None;
            }
            if matches!(end, End::Failed | End::Busy) {
                known.rest(now);
            }
        }
        self.pump_target(&running.target, now)
    }

    /// Takes in a report of all requests on a target.
    pub fn report(&mut self, target: &str, total: u32, now: time::Duration) -> Vec<Action> {
        let Some(known) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        known.reported(total);
        self.pump_target(target, now)
    }

    /// Lets time pass: refuses what is too late and retries what can't run.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for state in self.pools.values_mut().filter(|s| s.queue.len() > 0) {
            let wait = state.service.unwrap_or(LEAST_WAIT).max(LEAST_WAIT);
            for late in state.queue.expire(now) {
                self.waiting -= 1;
                actions.push(refuse(late.id, Reason::Deadline, wait));
            }
        }
        actions.extend(self.pump_all(now));
        actions
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the requests that run on a target.
    pub fn on<'s>(&'s self, target: &'s str) -> impl Iterator<Item = u64> + 's {
        self.running.iter().filter(move |(_, r)| &*r.target == target).map(|(id, _)| *id)
    }

    /// Returns the requests that run or wait, by pool.
    #[must_use]
    pub fn loads(&self) -> Vec<Load> {
        let mut running: collections::BTreeMap<&Pool, usize> = collections::BTreeMap::new();
        for request in self.running.values() {
            *running.entry(&request.pool).or_default() += 1;
        }
        let load = |(pool, state): (&Pool, &State)| {
            let requests = state.queue.len() + running.get(pool).copied().unwrap_or(0);
            Load { pool: pool.clone(), requests }
        };
        self.pools.iter().map(load).filter(|l| l.requests > 0).collect()
    }

    /// Counts what still runs on a target that comes back into the view.
    fn recall(&self, host: Host) -> Known {
        let own = self.on(&host.name).count();
        Known { own: u32::try_from(own).unwrap_or(u32::MAX), ..Known::new(host) }
    }

    /// Estimates how long a request would wait before it starts.
    fn estimate(&self, request: &Request) -> time::Duration {
        let Some(state) = self.pools.get(&request.pool) else {
            return time::Duration::ZERO;
        };
        let Some(service) = state.service.filter(|_| !state.targets.names().is_empty()) else {
            return time::Duration::ZERO;
        };
        let ahead = u32::try_from(state.queue.ahead(request, self.objective)).unwrap_or(u32::MAX);
        if ahead == 0 {
            return time::Duration::ZERO;
        }
        let known = state.targets.names().iter().filter_map(|n| self.targets.get(n));
        let slots = known.map(|k| k.host.width.saturating_sub(k.others).max(1)).sum::<u32>();
        service.saturating_mul(ahead) / slots.max(1)
    }

    fn learn(&mut self, running: &Running, now: time::Duration) {
        let Some(state) = self.pools.get_mut(&running.pool) else {
            return;
        };
        let sample = now.saturating_sub(running.since);
        state.service = Some(match state.service {
            None => sample,
            Some(average) => (average * (SMOOTHING - 1) + sample) / SMOOTHING,
        });
    }

    fn pump_all(&mut self, now: time::Duration) -> Vec<Action> {
        let waiting = self.pools.iter().filter(|(_, s)| s.queue.len() > 0);
        let pools: Vec<_> = waiting.map(|(p, _)| p.clone()).collect();
        let mut actions = Vec::new();
        for pool in pools {
            self.pump(&pool, now, &mut actions);
        }
        actions
    }

    fn pump_target(&mut self, target: &str, now: time::Duration) -> Vec<Action> {
        if self.waiting == 0 {
            return Vec::new();
        }
        let pools = self.targets.get(target).map(|k| k.host.pools.clone()).unwrap_or_default();
        let mut actions = Vec::new();
        for pool in pools {
            self.pump(&pool, now, &mut actions);
        }
        actions
    }

    /// Dispatches what can be dispatched from one pool.
    fn pump(&mut self, pool: &Pool, now: time::Duration, actions: &mut Vec<Action>) {
        let objective = self.objective;
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        let mut blocked = collections::BTreeSet::new();
        let mut lacking = Lack::Room;
        while state.queue.len() > 0 {
            let order = state.queue.order(objective);
            let Some(workspace) = order.into_iter().find(|w| !blocked.contains(w)) else {
                break;
            };
            let Some(head) = state.queue.head(&workspace) else {
                break;
            };
            let chosen =
                choose::choose(&self.targets, &mut state.targets, head, now, &mut self.rng);
            let Some(target) = chosen else {
                if matches!(lacking, Lack::Room) {
                    lacking = lack(&self.targets, state, head);
                }
                blocked.insert(workspace);
                continue;
            };
            let Some(request) = state.queue.pop(&workspace) else {
                break;
            };
            self.waiting -= 1;
            start(&mut self.targets, &mut self.running, &request, &target, now);
            actions.push(Action::Dispatch { request: request.id, target });
        }
        let adapter = match lacking {
            Lack::Room => return,
            Lack::Pool => None,
            Lack::Adapter(adapter) => Some(adapter),
        };
        if state.wanted.is_none_or(|at| now >= at + WANT_INTERVAL) {
            state.wanted = Some(now);
            actions.push(Action::Want { pool: pool.clone(), adapter });
        }
    }
}

/// Books a request on a target.
fn start(
    targets: &mut collections::BTreeMap<sync::Arc<str>, Known>,
    running: &mut collections::HashMap<u64, Running>,
    request: &Request,
    target: &sync::Arc<str>,
    now: time::Duration,
) {
    if let Some(known) = targets.get_mut(target) {
        known.own += 1;
        if request.alone {
            known.alone = Some(request.id);
        }
    }
    let (pool, alone) = (request.pool.clone(), request.alone);
    running.insert(request.id, Running { target: target.clone(), pool, since: now, alone });
}

/// Why a request can't be dispatched now.
#[derive(Clone, Debug)]
enum Lack {
    /// Its targets are full or resting.
    Room,
    /// No target holds its model.
    Pool,
    /// No target of its model holds its adapter.
    Adapter(sync::Arc<str>),
}

fn lack(
    targets: &collections::BTreeMap<sync::Arc<str>, Known>,
    state: &State,
    request: &Request,
) -> Lack {
    if state.targets.names().is_empty() {
        return Lack::Pool;
    }
    let Some(adapter) = request.adapter.clone() else {
        return Lack::Room;
    };
    let mut known = state.targets.names().iter().filter_map(|n| targets.get(n));
    let held = known.any(|k| k.host.adapters.contains(&adapter));
    if held { Lack::Room } else { Lack::Adapter(adapter) }
}

fn refuse(request: u64, reason: Reason, retry_after: time::Duration) -> Action {
    Action::Refuse { request, reason, retry_after }
}
