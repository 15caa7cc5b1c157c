//! Which models are held where.
//!
//! A model that is asked for and held nowhere is loaded first. Beyond that the
//! work of each model is spread over its copies in thought, and the model that
//! weighs most on the busiest target gets another copy on the least busy one, as
//! long as that relieves it by more than a load is worth. Copies give way that
//! serve least.

use std::{collections, time};

use crate::version::{catalog, traffic};

use super::{
    Action, Placer,
    room::{Op, Room, State},
};

/// Work that a target can do, in prompt tokens per second.
const CAPACITY: f64 = 25_000.0;

/// Part of a target's capacity beyond which another copy is considered.
const BUSY: f64 = 0.35;

/// Load of the least busy target in relation to the busiest, above which
/// another copy does not help.
const EVEN: f64 = 0.6;

/// How long a copy stays after it was loaded.
const SETTLE: time::Duration = time::Duration::from_secs(5);

/// Time from the word that a copy gets no more requests to its unload, in which
/// the word reaches every gateway.
const RETIRE: time::Duration = time::Duration::from_millis(550);

/// How long room is kept for the model that it is made for.
const RESERVE: time::Duration = time::Duration::from_secs(5);

/// Part of the store's rate that is used, so that loads of an earlier leader
/// and late orders stay within it.
const STORE_SHARE: f64 = 0.9;

/// Loads from the store that may begin together.
const STORE_BURST: f64 = 2.0;

/// Fewest loads from the store at a time that count as its full speed.
const AT_ONCE: usize = 2;

/// Loads and retirements that one turn may begin.
const LOADS_PER_TURN: usize = 4;

/// Cost of loading from the store in place of a target's own copy, as work.
const COLD: f64 = CAPACITY * 0.15;

/// Rounds in which work is spread over copies.
const ROUNDS: usize = 6;

/// The weight store's rate, as a bucket of loads.
#[derive(Debug, Default)]
pub(super) struct Store {
    loads: f64,
    updated: time::Duration,
}

impl Store {
    fn advance(&mut self, rate: f64, now: time::Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.loads = (self.loads + elapsed * rate * STORE_SHARE).min(STORE_BURST);
    }
}

/// A model that should get another copy.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    model: String,
    /// Target that the copy is to relieve.
    avoid: Option<String>,
}

/// Work on the targets of one service.
struct Spread<'p> {
    /// Work by target, in prompt tokens per second.
    targets: collections::BTreeMap<&'p str, f64>,
    /// Work by target and model.
    parts: collections::BTreeMap<(&'p str, &'p str), f64>,
}

impl Placer {
    /// Plans the models of one service.
    pub(super) fn plan(
        &mut self,
        service: &catalog::Service,
        traffic: &traffic::Report,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(engine) = &service.engine else {
            return Vec::new();
        };
        let mut actions = self.retire(service, now);
        self.store.advance(engine.load_rate, now);
        let demands = demands_of(service, traffic);
        for _ in 0..LOADS_PER_TURN {
            if let Some((id, model)) = self.reserved(service, now) {
                actions.extend(self.load(&id, &model, now));
                continue;
            }
            let placed = self.candidates(service, &demands).into_iter().find_map(|candidate| {
                let Candidate { model, avoid } = candidate;
                let placed = self.place(service, &model, avoid.as_deref(), &demands, now);
                (!placed.is_empty()).then_some(placed)
            });
            let Some(placed) = placed else {
                break;
            };
            actions.extend(placed);
        }
        actions
    }

    /// Returns true if a load from the weight store may begin.
    fn store_allows(&self, service: &catalog::Service) -> bool {
        let Some(engine) = &service.engine else {
            return false;
        };
        let cold = |r: &Room| {
            let loading = r.models.iter().filter(|(_, h)| matches!(h.state, State::Loading(_)));
            loading.filter(|(name, _)| !r.copies.contains(*name)).count()
        };
        let rooms = self.rooms.values().filter(|r| r.service == service.name);
        let running: usize = rooms.map(cold).sum();
        self.store.loads >= 1.0 && running < at_once(engine)
    }

    /// Orders the unload of copies that have got no requests for long enough.
    fn retire(&mut self, service: &catalog::Service, now: time::Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let (mut next, fence) = (self.next, self.fence);
        for room in self.rooms.values_mut().filter(|r| r.service == service.name) {
            if room.busy || room.sent.is_some() || room.accepted.is_none() {
                continue;
            }
            let due = room
                .models
                .iter_mut()
                .find(|(_, h)| matches!(h.state, State::Retiring(at) if now >= at));
            let Some((name, held)) = due else {
                continue;
            };
            held.state = State::Unloading;
            let name = name.clone();
            next += 1;
            room.sent = Some(next);
            actions.push(Action::Send(room.order(next, fence, Op::Unload, &name)));
        }
        self.next = next;
        actions
    }

    /// Returns a target that has room now for the model that it was made for.
    fn reserved(
        &mut self,
        service: &catalog::Service,
        now: time::Duration,
    ) -> Option<(String, catalog::Model)> {
        let cold_allowed = self.store_allows(service);
        for (id, room) in self.rooms.iter_mut().filter(|(_, r)| r.service == service.name) {
            let kept = room.reserved.as_ref().filter(|(_, until)| now < *until);
            let Some(model) = kept.and_then(|(name, _)| service.model(name)) else {
                room.reserved = None;
                continue;
            };
            let emptied = !room.models.values().any(is_leaving);
            let allowed = cold_allowed || room.copies.contains(&model.name);
            if !emptied || !allowed || !room.is_idle() {
                continue;
            }
            room.reserved = None;
            let fits = room.charged(service) + model.memory <= room.memory;
            if fits && !room.models.contains_key(&model.name) {
                return Some((id.clone(), model.clone()));
            }
        }
        None
    }

    /// Returns the models that should get a copy, the most urgent first: those
    /// that are asked for and held nowhere, one that relieves the busiest
    /// target, and those that are merely held nowhere.
    fn candidates(&self, service: &catalog::Service, demands: &Demands<'_>) -> Vec<Candidate> {
        let Some(engine) = &service.engine else {
            return Vec::new();
        };
        let held = |name: &str| {
            let mut rooms = self.rooms.values().filter(|r| r.service == service.name);
            rooms.any(|r| r.models.get(name).is_some_and(|h| is_kept(&h.state)))
        };
        let weight = |name: &str| demands.get(name).map_or((0, 0), |d| (d.waiting, d.work));
        let missing = engine.models.iter().filter(|m| !held(&m.name));
        let mut missing: Vec<_> = missing.map(|m| (weight(&m.name), m.name.clone())).collect();
        missing.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let (asked, idle): (Vec<_>, Vec<_>) =
            missing.into_iter().partition(|(weight, _)| *weight != (0, 0));
        let plain = |(_, model)| Candidate { model, avoid: None };
        let relief = self.relief(service, demands);
        asked.into_iter().map(plain).chain(relief).chain(idle.into_iter().map(plain)).collect()
    }

    /// Returns the model to copy so that the busiest target is relieved.
    fn relief(&self, service: &catalog::Service, demands: &Demands<'_>) -> Option<Candidate> {
        let spread = self.spread(service, demands);
        let (busiest, most) = spread.targets.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let (_, least) = spread.targets.iter().min_by(|a, b| a.1.total_cmp(b.1))?;
        if *most < CAPACITY * BUSY || *least > most * EVEN {
            return None;
        }
        let parts = spread.parts.iter().filter(|((t, _), _)| t == busiest);
        let ((_, model), _) = parts.max_by(|a, b| a.1.total_cmp(b.1))?;
        Some(Candidate { model: (*model).to_owned(), avoid: Some((*busiest).to_owned()) })
    }

    /// Spreads the work of each model over its copies so that the targets are
    /// as even as they can be.
    fn spread<'p>(&'p self, service: &'p catalog::Service, demands: &Demands<'p>) -> Spread<'p> {
        let rooms: Vec<_> = self.rooms.iter().filter(|(_, r)| r.service == service.name).collect();
        let mut targets: collections::BTreeMap<&str, f64> =
            rooms.iter().map(|(id, _)| (id.as_str(), 0.0)).collect();
        let mut parts = collections::BTreeMap::new();
        for _ in 0..ROUNDS {
            for (model, demand) in demands {
                let hosts: Vec<_> = rooms
                    .iter()
                    .filter(|(_, r)| r.models.get(*model).is_some_and(|h| is_kept(&h.state)))
                    .map(|(id, _)| id.as_str())
                    .collect();
                let work = to_f64(demand.work) / to_f64(ROUNDS as u64);
                // Each round goes to the host that has least.
                let least =
                    hosts.iter().min_by(|a, b| targets[**a].total_cmp(&targets[**b])).copied();
                if let Some(host) = least {
                    *targets.entry(host).or_insert(0.0) += work;
                    *parts.entry((host, *model)).or_insert(0.0) += work;
                }
            }
        }
        Spread { targets, parts }
    }

    /// Loads a model on the target where that costs least.
    fn place(
        &mut self,
        service: &catalog::Service,
        name: &str,
        avoid: Option<&str>,
        demands: &Demands<'_>,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(model) = service.model(name) else {
            return Vec::new();
        };
        let spread = self.spread(service, demands);
        let load: collections::BTreeMap<String, f64> =
            spread.targets.iter().map(|(id, work)| ((*id).to_owned(), *work)).collect();
        let free = self.rooms.iter().filter(|(id, r)| {
            r.service == service.name
                && r.is_idle()
                && r.reserved.is_none()
                && avoid != Some(id.as_str())
                && !r.models.contains_key(name)
        });
        let free: Vec<_> = free.collect();
        let cold_allowed = self.store_allows(service);
        let fitting = free.iter().filter(|(_, r)| {
            r.charged(service) + model.memory <= r.memory
                && (cold_allowed || r.copies.contains(name))
        });
        let cost = |(id, r): &(&String, &Room)| {
            let cold = if r.copies.contains(name) { 0.0 } else { COLD };
            load.get(*id).copied().unwrap_or(0.0) + cold
        };
        let best = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        if let Some((id, _)) = best {
            let id = (*id).clone();
            return self.load(&id, model, now);
        }
        self.make_room(service, model, avoid, demands, &load, now)
    }

    fn load(&mut self, id: &str, model: &catalog::Model, now: time::Duration) -> Vec<Action> {
        let (number, fence) = (self.number(), self.fence);
        let Some(room) = self.rooms.get_mut(id) else {
            return Vec::new();
        };
        if !room.copies.contains(&model.name) {
            self.store.loads -= 1.0;
        }
        room.charge_model(model, now);
        room.sent = Some(number);
        vec![Action::Send(room.order(number, fence, Op::Load, &model.name))]
    }

    /// Retires copies on the target where they are missed least, so that the
    /// model fits there.
    fn make_room(
        &mut self,
        service: &catalog::Service,
        model: &catalog::Model,
        avoid: Option<&str>,
        demands: &Demands<'_>,
        load: &collections::BTreeMap<String, f64>,
        now: time::Duration,
    ) -> Vec<Action> {
        let rooms = self.rooms.iter().filter(|(_, r)| r.service == service.name);
        if rooms.clone().any(|(_, r)| r.is_reserved_for(&model.name)) {
            return Vec::new();
        }
        let mut copies = collections::BTreeMap::<&str, u32>::new();
        for (_, room) in rooms.clone() {
            for (name, _) in room.models.iter().filter(|(_, h)| is_kept(&h.state)) {
                *copies.entry(name.as_str()).or_default() += 1;
            }
        }
        let cold_allowed = self.store_allows(service);
        let most = load.values().copied().fold(0.0, f64::max);
        let wanted = demands.get(model.name.as_str()).map_or(0, |d| d.work + u64::from(d.waiting));
        let mut best: Option<(f64, String, Vec<String>)> = None;
        for (id, room) in rooms
            .filter(|(id, r)| r.is_idle() && r.reserved.is_none() && avoid != Some(id.as_str()))
        {
            if room.models.contains_key(&model.name) {
                continue;
            }
            let mut victims: Vec<_> = room
                .models
                .iter()
                .filter(|(_, h)| h.state == State::Resident && now >= h.since + SETTLE)
                .map(|(name, _)| {
                    let work = demands.get(name.as_str()).map_or(0, |d| d.work);
                    let count = copies.get(name.as_str()).copied().unwrap_or(1);
                    // Without a copy left its requests would have to wait.
                    let last = if count == 1 { CAPACITY / 10.0 + to_f64(work) * 4.0 } else { 0.0 };
                    (to_f64(work) / f64::from(count) + last, name.clone())
                })
                .collect();
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut left = room.charged(service);
            if !cold_allowed && !room.copies.contains(&model.name) {
                continue;
            }
            let cold = if room.copies.contains(&model.name) { 0.0 } else { COLD };
            let mut cost = load.get(id).copied().unwrap_or(0.0) + cold;
            let mut gone = Vec::new();
            for (harm, name) in victims {
                if left + model.memory <= room.memory {
                    break;
                }
                left -= service.model(&name).map_or(0, |m| m.memory);
                cost += harm;
                gone.push(name);
            }
            let fits = left + model.memory <= room.memory;
            // Relief that loads this target as much as the busiest helps nobody.
            let worth = avoid.is_none() || cost - cold < most * EVEN;
            if fits && worth && best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, id.clone(), gone));
            }
        }
        let Some((_, id, gone)) = best else {
            return Vec::new();
        };
        // A model that nobody asks for is not worth another's copy.
        if wanted == 0 {
            return Vec::new();
        }
        let Some(room) = self.rooms.get_mut(&id) else {
            return Vec::new();
        };
        for name in gone {
            if let Some(held) = room.models.get_mut(&name) {
                held.state = State::Retiring(now + RETIRE);
            }
        }
        room.reserved = Some((model.name.clone(), now + RESERVE));
        room.note();
        room.take_note().map(Action::Note).into_iter().collect()
    }
}

/// Returns how many loads run at the store's full speed: as many as it can
/// begin while one lasts.
fn at_once(engine: &catalog::Engine) -> usize {
    let longest = engine.models.iter().map(|m| m.load).max().unwrap_or_default();
    let mut count = AT_ONCE;
    while to_f64(count as u64 + 1) <= engine.load_rate * longest.as_secs_f64() {
        count += 1;
    }
    count
}

/// What is asked of one model, its adapters included.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Work that arrives, in prompt tokens per second.
    work: u64,
    /// Requests that wait because no target holds the model.
    waiting: u32,
}

type Demands<'d> = collections::BTreeMap<&'d str, Demand>;

fn demands_of<'d>(service: &catalog::Service, traffic: &'d traffic::Report) -> Demands<'d> {
    let mut demands = Demands::new();
    for demand in traffic.demands.iter().filter(|d| d.service == service.name) {
        let sum = demands.entry(demand.model.as_str()).or_default();
        sum.work += demand.work;
        sum.waiting += demand.waiting;
    }
    demands
}

/// Returns true if a copy is on its way out.
fn is_leaving(held: &super::room::Held) -> bool {
    matches!(held.state, State::Retiring(_) | State::Unloading)
}

/// Returns true if a copy serves or will.
fn is_kept(state: &State) -> bool {
    matches!(state, State::Resident | State::Loading(_))
}

#[expect(clippy::cast_precision_loss, reason = "work is far below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
