//! Placement of models.
//!
//! Models that are in demand and resident nowhere are loaded first. Beyond that
//! the placer estimates how the work of each model spreads over its copies. The
//! model with the most work on the busiest target gets another copy on the target
//! where this costs least, as long as the relief is worth a load. Memory is freed
//! by evicting the copies whose loss costs least.

use std::{collections, time};

use crate::version::{catalog, traffic};

use super::{
    Action, Placer,
    room::{Op, Phase, TargetState},
};

/// Work that a target can do, in prompt tokens per second.
const TARGET_CAPACITY: f64 = 25_000.0;

/// Fraction of a target's capacity above which another copy is considered.
const BUSY_FRACTION: f64 = 0.35;

/// Ratio of the work of the least busy target to that of the busiest one, above
/// which another copy does not help.
const BALANCED_RATIO: f64 = 0.6;

/// Shortest time between the load of a copy and its eviction.
const MIN_RESIDENCE: time::Duration = time::Duration::from_secs(5);

/// How long a copy drains before its unload is ordered. Within this time every
/// gateway learns that the copy gets no more requests.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(550);

/// How long a target stays reserved for the model that memory is freed for.
const RESERVATION_TTL: time::Duration = time::Duration::from_secs(5);

/// Fraction of the weight store's rate that is used. The rest is left to loads of
/// an earlier leader and to orders that arrive late.
const STORE_FRACTION: f64 = 0.9;

/// Capacity of the token bucket: loads from the weight store that may begin
/// together.
const STORE_BURST: f64 = 2.0;

/// Lower bound of [`max_parallel_loads`]; each load still needs a token.
const MIN_PARALLEL_LOADS: usize = 2;

/// Maximum number of placements per service and tick. A placement is a load, or
/// the start of evictions for one model.
const MAX_STEPS_PER_TICK: usize = 4;

/// Cost of a load from the weight store over one from the target's own cache. It
/// is added to the work of targets, so it is in prompt tokens per second.
const STORE_LOAD_COST: f64 = TARGET_CAPACITY * 0.15;

/// Steps in which the work of a model is spread over its copies.
const SPREAD_STEPS: usize = 6;

/// Token bucket for loads from the weight store.
#[derive(Debug, Default)]
pub(super) struct LoadBucket {
    tokens: f64,
    updated: time::Duration,
}

impl LoadBucket {
    fn refill(&mut self, rate: f64, now: time::Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.tokens = (self.tokens + elapsed * rate * STORE_FRACTION).min(STORE_BURST);
    }
}

/// A model to be loaded on one more target.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    model: String,
    /// Target whose work the copy should take over; not eligible as its host.
    target_to_relieve: Option<String>,
}

/// Estimated work on the targets of one service.
struct WorkSpread<'p> {
    /// Work by target, in prompt tokens per second.
    by_target: collections::BTreeMap<&'p str, f64>,
    /// Work by target and model, in prompt tokens per second.
    by_copy: collections::BTreeMap<(&'p str, &'p str), f64>,
}

impl Placer {
    /// Returns the orders and holdings updates for the models of one service.
    pub(super) fn plan_service(
        &mut self,
        service: &catalog::Service,
        traffic: &traffic::Report,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(engine) = &service.engine else {
            return Vec::new();
        };
        let mut actions = self.unload_drained(service, now);
        self.store_bucket.refill(engine.load_rate, now);
        let demands = demands_by_model(service, traffic);
        for _ in 0..MAX_STEPS_PER_TICK {
            if let Some((id, model)) = self.take_reservation(service, now) {
                actions.extend(self.order_load(&id, &model, now));
                continue;
            }
            let orders = self.candidates(service, &demands).into_iter().find_map(|candidate| {
                let Candidate { model, target_to_relieve } = candidate;
                let orders =
                    self.place(service, &model, target_to_relieve.as_deref(), &demands, now);
                (!orders.is_empty()).then_some(orders)
            });
            let Some(orders) = orders else {
                break;
            };
            actions.extend(orders);
        }
        actions
    }

    /// Returns true if a load from the weight store may begin.
    fn store_allows_load(&self, service: &catalog::Service) -> bool {
        let Some(engine) = &service.engine else {
            return false;
        };
        let store_loads = |t: &TargetState| {
            let loading = t.models.iter().filter(|(_, c)| matches!(c.phase, Phase::Loading(_)));
            loading.filter(|(name, _)| !t.cached_models.contains(*name)).count()
        };
        let targets = self.targets.values().filter(|t| t.service == service.name);
        let running: usize = targets.map(store_loads).sum();
        self.store_bucket.tokens >= 1.0 && running < max_parallel_loads(engine)
    }

    /// Orders the unload of copies whose draining has ended.
    fn unload_drained(&mut self, service: &catalog::Service, now: time::Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let (mut id, fence) = (self.last_id, self.fence);
        for target in self.targets.values_mut().filter(|t| t.service == service.name) {
            if target.busy || target.pending_order.is_some() || target.accepted.is_none() {
                continue;
            }
            let due = target
                .models
                .iter_mut()
                .find(|(_, c)| matches!(c.phase, Phase::Draining(at) if now >= at));
            let Some((name, copy)) = due else {
                continue;
            };
            copy.phase = Phase::Unloading;
            let name = name.clone();
            id += 1;
            target.pending_order = Some(id);
            actions.push(Action::SendOrder(target.new_order(id, fence, Op::Unload, &name)));
        }
        self.last_id = id;
        actions
    }

    /// Returns a reserved target that can now load its model, and ends the
    /// reservation. Also ends reservations that have expired, and those whose model
    /// no longer fits, is on the target already or has left the catalog.
    fn take_reservation(
        &mut self,
        service: &catalog::Service,
        now: time::Duration,
    ) -> Option<(String, catalog::Model)> {
        let store_allowed = self.store_allows_load(service);
        for (id, target) in self.targets.iter_mut().filter(|(_, t)| t.service == service.name) {
            let reservation = target.reserved.as_ref().filter(|(_, until)| now < *until);
            let Some(model) = reservation.and_then(|(name, _)| service.model(name)) else {
                target.reserved = None;
                continue;
            };
            let freed = !target.models.values().any(is_being_removed);
            let allowed = store_allowed || target.cached_models.contains(&model.name);
            if !freed || !allowed || !target.is_idle() {
                continue;
            }
            target.reserved = None;
            let fits = target.charged(service) + model.weights_mb <= target.memory;
            if fits && !target.models.contains_key(&model.name) {
                return Some((id.clone(), model.clone()));
            }
        }
        None
    }

    /// Returns the models that should get a copy, the most urgent first: those in
    /// demand without a copy, then the one that relieves the busiest target, then
    /// the other models without a copy.
    fn candidates(&self, service: &catalog::Service, demands: &Demands<'_>) -> Vec<Candidate> {
        let Some(engine) = &service.engine else {
            return Vec::new();
        };
        let has_copy = |name: &str| {
            let mut targets = self.targets.values().filter(|t| t.service == service.name);
            targets.any(|t| t.models.get(name).is_some_and(|c| is_resident_or_loading(&c.phase)))
        };
        // (waiting requests, work), compared in this order.
        let demand_rank = |name: &str| demands.get(name).map_or((0, 0), |d| (d.waiting, d.work));
        let missing = engine.models.iter().filter(|m| !has_copy(&m.name));
        let mut missing: Vec<_> = missing.map(|m| (demand_rank(&m.name), m.name.clone())).collect();
        missing.sort_by_key(|(demand_rank, _)| std::cmp::Reverse(*demand_rank));
        let (in_demand, without_demand): (Vec<_>, Vec<_>) =
            missing.into_iter().partition(|(demand_rank, _)| *demand_rank != (0, 0));
        let candidate = |(_, model)| Candidate { model, target_to_relieve: None };
        let relief = self.relief_candidate(service, demands);
        in_demand
            .into_iter()
            .map(candidate)
            .chain(relief)
            .chain(without_demand.into_iter().map(candidate))
            .collect()
    }

    /// Returns the model to copy in order to relieve the busiest target.
    fn relief_candidate(
        &self,
        service: &catalog::Service,
        demands: &Demands<'_>,
    ) -> Option<Candidate> {
        let spread = self.spread_work(service, demands);
        let (busiest, max_work) = spread.by_target.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let (_, min_work) = spread.by_target.iter().min_by(|a, b| a.1.total_cmp(b.1))?;
        if *max_work < TARGET_CAPACITY * BUSY_FRACTION || *min_work > max_work * BALANCED_RATIO {
            return None;
        }
        let on_busiest = spread.by_copy.iter().filter(|((t, _), _)| t == busiest);
        let ((_, model), _) = on_busiest.max_by(|a, b| a.1.total_cmp(b.1))?;
        Some(Candidate {
            model: (*model).to_owned(),
            target_to_relieve: Some((*busiest).to_owned()),
        })
    }

    /// Spreads the work of each model over its copies so that the work of the
    /// targets is roughly even (greedily, in [`SPREAD_STEPS`] steps).
    fn spread_work<'p>(
        &'p self,
        service: &'p catalog::Service,
        demands: &Demands<'p>,
    ) -> WorkSpread<'p> {
        let targets: Vec<_> =
            self.targets.iter().filter(|(_, t)| t.service == service.name).collect();
        let mut by_target: collections::BTreeMap<&str, f64> =
            targets.iter().map(|(id, _)| (id.as_str(), 0.0)).collect();
        let mut by_copy = collections::BTreeMap::new();
        for _ in 0..SPREAD_STEPS {
            for (model, demand) in demands {
                let hosts: Vec<_> = targets
                    .iter()
                    .filter(|(_, t)| {
                        t.models.get(*model).is_some_and(|c| is_resident_or_loading(&c.phase))
                    })
                    .map(|(id, _)| id.as_str())
                    .collect();
                let work = to_f64(demand.work) / to_f64(SPREAD_STEPS as u64);
                // Each step goes to the host with the least work so far.
                let host =
                    hosts.iter().min_by(|a, b| by_target[**a].total_cmp(&by_target[**b])).copied();
                if let Some(host) = host {
                    *by_target.entry(host).or_insert(0.0) += work;
                    *by_copy.entry((host, *model)).or_insert(0.0) += work;
                }
            }
        }
        WorkSpread { by_target, by_copy }
    }

    /// Loads a model on the target where the load costs least, or starts to free
    /// memory for it.
    fn place(
        &mut self,
        service: &catalog::Service,
        name: &str,
        target_to_relieve: Option<&str>,
        demands: &Demands<'_>,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(model) = service.model(name) else {
            return Vec::new();
        };
        let spread = self.spread_work(service, demands);
        let work_by_target: collections::BTreeMap<String, f64> =
            spread.by_target.iter().map(|(id, work)| ((*id).to_owned(), *work)).collect();
        let eligible = self.targets.iter().filter(|(id, t)| {
            t.service == service.name
                && t.is_idle()
                && t.reserved.is_none()
                && target_to_relieve != Some(id.as_str())
                && !t.models.contains_key(name)
        });
        let eligible: Vec<_> = eligible.collect();
        let store_allowed = self.store_allows_load(service);
        let fitting = eligible.iter().filter(|(_, t)| {
            t.charged(service) + model.weights_mb <= t.memory
                && (store_allowed || t.cached_models.contains(name))
        });
        let cost = |(id, t): &(&String, &TargetState)| {
            let store_cost = if t.cached_models.contains(name) { 0.0 } else { STORE_LOAD_COST };
            work_by_target.get(*id).copied().unwrap_or(0.0) + store_cost
        };
        let best = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        if let Some((id, _)) = best {
            let id = (*id).clone();
            return self.order_load(&id, model, now);
        }
        self.start_eviction_for(service, model, target_to_relieve, demands, &work_by_target, now)
    }

    fn order_load(&mut self, id: &str, model: &catalog::Model, now: time::Duration) -> Vec<Action> {
        let (order_id, fence) = (self.next_order_id(), self.fence);
        let Some(target) = self.targets.get_mut(id) else {
            return Vec::new();
        };
        if !target.cached_models.contains(&model.name) {
            self.store_bucket.tokens -= 1.0;
        }
        target.charge_model(model, now);
        target.pending_order = Some(order_id);
        vec![Action::SendOrder(target.new_order(order_id, fence, Op::Load, &model.name))]
    }

    /// Starts to drain copies on the target where their loss costs least, so that
    /// the model will fit there, and reserves the target for the model. The unloads
    /// are ordered after [`DRAIN_TIME`].
    fn start_eviction_for(
        &mut self,
        service: &catalog::Service,
        model: &catalog::Model,
        target_to_relieve: Option<&str>,
        demands: &Demands<'_>,
        work_by_target: &collections::BTreeMap<String, f64>,
        now: time::Duration,
    ) -> Vec<Action> {
        let targets = self.targets.iter().filter(|(_, t)| t.service == service.name);
        if targets.clone().any(|(_, t)| t.is_reserved_for(&model.name)) {
            return Vec::new();
        }
        let mut copies = collections::BTreeMap::<&str, u32>::new();
        for (_, target) in targets.clone() {
            for (name, _) in target.models.iter().filter(|(_, c)| is_resident_or_loading(&c.phase))
            {
                *copies.entry(name.as_str()).or_default() += 1;
            }
        }
        let store_allowed = self.store_allows_load(service);
        let max_work = work_by_target.values().copied().fold(0.0, f64::max);
        // Compared with zero only: the sum of work and requests has no unit.
        let work_and_waiting =
            demands.get(model.name.as_str()).map_or(0, |d| d.work + u64::from(d.waiting));
        let mut best: Option<(f64, String, Vec<String>)> = None;
        for (id, target) in targets.filter(|(id, t)| {
            t.is_idle() && t.reserved.is_none() && target_to_relieve != Some(id.as_str())
        }) {
            if target.models.contains_key(&model.name) {
                continue;
            }
            let mut eviction_candidates: Vec<_> = target
                .models
                .iter()
                .filter(|(_, c)| c.phase == Phase::Resident && now >= c.loaded_at + MIN_RESIDENCE)
                .map(|(name, _)| {
                    let work = demands.get(name.as_str()).map_or(0, |d| d.work);
                    let count = copies.get(name.as_str()).copied().unwrap_or(1);
                    // Without any copy the model's requests would have to wait.
                    let last_copy_cost =
                        if count == 1 { TARGET_CAPACITY / 10.0 + to_f64(work) * 4.0 } else { 0.0 };
                    (to_f64(work) / f64::from(count) + last_copy_cost, name.clone())
                })
                .collect();
            eviction_candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut charged = target.charged(service);
            if !store_allowed && !target.cached_models.contains(&model.name) {
                continue;
            }
            let store_cost =
                if target.cached_models.contains(&model.name) { 0.0 } else { STORE_LOAD_COST };
            let mut cost = work_by_target.get(id).copied().unwrap_or(0.0) + store_cost;
            let mut evicted = Vec::new();
            for (eviction_cost, name) in eviction_candidates {
                if charged + model.weights_mb <= target.memory {
                    break;
                }
                charged -= service.model(&name).map_or(0, |m| m.weights_mb);
                cost += eviction_cost;
                evicted.push(name);
            }
            let fits = charged + model.weights_mb <= target.memory;
            // To relieve another target, the work of this one plus the cost of the
            // evictions must be below `BALANCED_RATIO` of the busiest target's work.
            let worthwhile =
                target_to_relieve.is_none() || cost - store_cost < max_work * BALANCED_RATIO;
            if fits && worthwhile && best.as_ref().is_none_or(|(min_cost, _, _)| cost < *min_cost) {
                best = Some((cost, id.clone(), evicted));
            }
        }
        let Some((_, id, evicted)) = best else {
            return Vec::new();
        };
        // A model without demand does not justify an eviction.
        if work_and_waiting == 0 {
            return Vec::new();
        }
        let Some(target) = self.targets.get_mut(&id) else {
            return Vec::new();
        };
        for name in evicted {
            if let Some(copy) = target.models.get_mut(&name) {
                copy.phase = Phase::Draining(now + DRAIN_TIME);
            }
        }
        target.reserved = Some((model.name.clone(), now + RESERVATION_TTL));
        target.queue_update();
        target.take_update().map(Action::PublishHoldings).into_iter().collect()
    }
}

/// Returns how many loads from the weight store may run in parallel: as many as
/// its rate lets begin during the longest load, but at least
/// [`MIN_PARALLEL_LOADS`].
fn max_parallel_loads(engine: &catalog::Engine) -> usize {
    let longest = engine.models.iter().map(|m| m.store_load).max().unwrap_or_default();
    let mut count = MIN_PARALLEL_LOADS;
    while to_f64(count as u64 + 1) <= engine.load_rate * longest.as_secs_f64() {
        count += 1;
    }
    count
}

/// Demand for one model, including its adapters.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Arriving work, in prompt tokens per second.
    work: u64,
    /// Requests that wait for the model or one of its adapters.
    waiting: u32,
}

type Demands<'d> = collections::BTreeMap<&'d str, Demand>;

fn demands_by_model<'d>(service: &catalog::Service, traffic: &'d traffic::Report) -> Demands<'d> {
    let mut demands = Demands::new();
    for demand in traffic.demands.iter().filter(|d| d.service == service.name) {
        let sum = demands.entry(demand.model.as_str()).or_default();
        sum.work += demand.work;
        sum.waiting += demand.waiting;
    }
    demands
}

/// Returns true if the copy is draining or unloading.
fn is_being_removed(copy: &super::room::ModelCopy) -> bool {
    matches!(copy.phase, Phase::Draining(_) | Phase::Unloading)
}

/// Returns true if a copy in this phase serves requests or is about to.
fn is_resident_or_loading(phase: &Phase) -> bool {
    matches!(phase, Phase::Resident | Phase::Loading(_))
}

#[expect(clippy::cast_precision_loss, reason = "work is far below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
