//! Placement of models.
//!
//! Models that streams need at a software version of which no target holds them are loaded
//! first, then those that are in demand and resident nowhere. Beyond that
//! the placer estimates how the work of each model spreads over its copies. The
//! model with the most work on the busiest target gets another copy on the target
//! where this costs least, as long as the relief is worth a load. Memory is freed
//! by evicting the copies whose loss costs least.

use std::time;

use crate::version::{catalog, traffic};

use super::{
    Action, Placer,
    bound::BoundModel,
    room::{Op, Phase, TargetState},
    survey::{self, Demands, Row, Survey},
};

/// Work that a target can do, in prompt tokens per second.
pub(super) const TARGET_CAPACITY: f64 = 25_000.0;

/// Fraction of a target's capacity above which another copy is considered.
const BUSY_FRACTION: f64 = 0.35;

/// Ratio of the work of the least busy target to that of the busiest one, above
/// which another copy does not help.
const BALANCED_RATIO: f64 = 0.6;

/// Shortest time between the load of a copy and its eviction.
pub(super) const MIN_RESIDENCE: time::Duration = time::Duration::from_secs(5);

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
struct Candidate<'c> {
    model: &'c catalog::Model,
    /// Target whose work the copy should take over; not eligible as its host.
    target_to_relieve: Option<String>,
    /// What requests need, if only some hosts serve them.
    bound: Option<BoundModel>,
}

impl Candidate<'_> {
    /// Returns true if the copy may be placed on the target.
    fn suits(&self, target: &TargetState) -> bool {
        self.bound.as_ref().is_none_or(|bound| bound.suits(target))
    }
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
        let demands = survey::demands_by_model(service, traffic);
        for _ in 0..MAX_STEPS_PER_TICK {
            if let Some((id, model)) = self.take_reservation(service, now) {
                actions.extend(self.order_load(&id, &model, now));
                continue;
            }
            let survey = Survey::new(self, service, &demands, now);
            let bound = self.bound_candidates(service, engine);
            let candidates = bound.into_iter().chain(candidates(engine, &survey, &demands));
            let orders = candidates.into_iter().find_map(|candidate| {
                let orders = self.place(&candidate, &survey, &demands, now);
                (!orders.is_empty()).then_some(orders)
            });
            let Some(orders) = orders else {
                break;
            };
            actions.extend(orders);
        }
        actions
    }

    /// Returns the models that requests need at some targets only, none of which has a copy that is
    /// resident or loading.
    fn bound_candidates<'c>(
        &self,
        service: &catalog::Service,
        engine: &'c catalog::Engine,
    ) -> Vec<Candidate<'c>> {
        let is_lacking = |bound: &&BoundModel| {
            let targets =
                self.targets.values().filter(|t| t.service == service.name && !t.evacuated);
            let mut copies =
                targets.filter(|t| bound.suits(t)).filter_map(|t| t.models.get(&bound.model));
            !copies.any(|copy| is_resident_or_loading(&copy.phase))
        };
        let lacking = self.bound.of_service(&service.name).into_iter().filter(is_lacking);
        let candidates = lacking.filter_map(|bound| {
            let model = engine.models.iter().find(|m| m.name == bound.model)?;
            Some(Candidate { model, target_to_relieve: None, bound: Some(bound.clone()) })
        });
        candidates.collect()
    }

    /// Returns true if a load from the weight store may begin.
    pub(super) fn store_allows_load(&self, service: &catalog::Service) -> bool {
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
            if target.evacuated
                || target.busy
                || target.pending_order.is_some()
                || target.accepted.is_none()
            {
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
            if target.evacuated || !freed || !allowed || !target.is_idle() {
                continue;
            }
            target.reserved = None;
            let charged_mb = target.charged(|name| service.model(name));
            let fits = charged_mb.saturating_add(model.weights_mb) <= target.memory;
            if fits && !target.models.contains_key(&model.name) {
                return Some((id.clone(), model.clone()));
            }
        }
        None
    }

    /// Loads a model on the target where the load costs least, or starts to free
    /// memory for it.
    fn place(
        &mut self,
        candidate: &Candidate<'_>,
        survey: &Survey,
        demands: &Demands<'_>,
        now: time::Duration,
    ) -> Vec<Action> {
        let model = candidate.model;
        let roomy = survey.rows.iter().filter(|row| row.fits(model.weights_mb));
        let fitting = self.hosts(candidate, roomy).filter(|(_, target)| {
            survey.store_allows_load || target.cached_models.contains(&model.name)
        });
        let cost =
            |(row, target): &(&Row, &TargetState)| row.work + store_cost(target, &model.name);
        let best = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(|(row, _)| row);
        if let Some(row) = best {
            return self.order_load(&row.id, model, now);
        }
        // A model without demand does not justify an eviction.
        let is_in_demand = candidate.bound.is_some()
            || demands.get(model.name.as_str()).is_some_and(|d| d.work > 0 || d.waiting > 0);
        if is_in_demand { self.start_eviction_for(candidate, survey, now) } else { Vec::new() }
    }

    /// Returns those of `rows` that can take the model of `candidate` as far as their
    /// memory allows, with their targets.
    fn hosts<'p, 's: 'p>(
        &'p self,
        candidate: &'p Candidate<'_>,
        rows: impl Iterator<Item = &'s Row> + 'p,
    ) -> impl Iterator<Item = (&'s Row, &'p TargetState)> + 'p {
        let usable = rows
            .filter(|row| row.available && candidate.target_to_relieve.as_ref() != Some(&row.id));
        let hosts = usable.filter_map(|row| Some((row, self.targets.get(&row.id)?)));
        hosts.filter(|(_, target)| {
            candidate.suits(target) && !target.models.contains_key(&candidate.model.name)
        })
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

    /// Returns true if memory for the copy is being freed already.
    fn is_reserved(&self, candidate: &Candidate<'_>) -> bool {
        let mut hosts = self.targets.values().filter(|t| candidate.suits(t));
        hosts.any(|t| t.reserved.as_ref().is_some_and(|(name, _)| *name == candidate.model.name))
    }

    /// Starts to drain copies on the target where their loss costs least, so that
    /// the model will fit there, and reserves the target for the model. The unloads
    /// are ordered after [`DRAIN_TIME`].
    fn start_eviction_for(
        &mut self,
        candidate: &Candidate<'_>,
        survey: &Survey,
        now: time::Duration,
    ) -> Vec<Action> {
        let model = candidate.model;
        if self.is_reserved(candidate) {
            return Vec::new();
        }
        let hosts = self.hosts(candidate, survey.rows.iter()).filter(|(_, target)| {
            survey.store_allows_load || target.cached_models.contains(&model.name)
        });
        let evictions = hosts.filter_map(|(row, target)| {
            let (cost, count) = eviction_cost(row, model.weights_mb)?;
            let cost = row.work + cost;
            // To relieve another target, the work of this one plus the cost of the
            // evictions must be below `BALANCED_RATIO` of the busiest target's work.
            let worthwhile =
                candidate.target_to_relieve.is_none() || cost < survey.max_work * BALANCED_RATIO;
            worthwhile.then(|| (cost + store_cost(target, &model.name), row, count))
        });
        let Some((_, row, count)) = evictions.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return Vec::new();
        };
        let Some(target) = self.targets.get_mut(&row.id) else {
            return Vec::new();
        };
        for evicted in &row.evictable[..count] {
            if let Some(copy) = target.models.get_mut(&evicted.model) {
                copy.phase = Phase::Draining(now + DRAIN_TIME);
            }
        }
        target.reserved = Some((model.name.clone(), now + RESERVATION_TTL));
        target.queue_update();
        target.take_update(now).map(Action::PublishHoldings).into_iter().collect()
    }
}

/// Returns the models that should get a copy, the most urgent first: those in demand
/// without a copy, then the one that relieves the busiest target, then the other
/// models without a copy.
fn candidates<'c>(
    engine: &'c catalog::Engine,
    survey: &Survey,
    demands: &Demands<'_>,
) -> Vec<Candidate<'c>> {
    // (waiting requests, work), compared in this order.
    let demand_rank = |name: &str| demands.get(name).map_or((0, 0), |d| (d.waiting, d.work));
    let missing = engine.models.iter().filter(|m| !survey.placed.contains(&m.name));
    let mut missing: Vec<_> = missing.map(|m| (demand_rank(&m.name), m)).collect();
    missing.sort_by_key(|(demand_rank, _)| std::cmp::Reverse(*demand_rank));
    let (in_demand, without_demand): (Vec<_>, Vec<_>) =
        missing.into_iter().partition(|(demand_rank, _)| *demand_rank != (0, 0));
    let candidate = |(_, model)| Candidate { model, target_to_relieve: None, bound: None };
    in_demand
        .into_iter()
        .map(candidate)
        .chain(relief_candidate(engine, survey))
        .chain(without_demand.into_iter().map(candidate))
        .collect()
}

/// Returns the model to copy in order to relieve the busiest target.
fn relief_candidate<'c>(engine: &'c catalog::Engine, survey: &Survey) -> Option<Candidate<'c>> {
    let is_busy = survey.max_work >= TARGET_CAPACITY * BUSY_FRACTION;
    if !is_busy || survey.min_work > survey.max_work * BALANCED_RATIO {
        return None;
    }
    let (target, name) = survey.busiest.clone()?;
    let model = engine.models.iter().find(|m| m.name == name)?;
    Some(Candidate { model, target_to_relieve: Some(target), bound: None })
}

/// Returns the cost of loading a model on a target beyond that of a load from the
/// target's own cache.
fn store_cost(target: &TargetState, model: &str) -> f64 {
    if target.cached_models.contains(model) { 0.0 } else { STORE_LOAD_COST }
}

/// Returns the cost of the evictions after which a model of `weights_mb` fits on a
/// target, and how many of the target's evictable copies they take. Returns `None` if
/// it does not fit even then.
fn eviction_cost(row: &Row, weights_mb: u64) -> Option<(f64, usize)> {
    let mut charged_mb = row.charged_mb;
    let mut cost = 0.0;
    let mut count = 0;
    for evicted in &row.evictable {
        if charged_mb.saturating_add(weights_mb) <= row.memory_mb {
            break;
        }
        charged_mb = charged_mb.saturating_sub(evicted.weights_mb);
        cost += evicted.cost;
        count += 1;
    }
    (charged_mb.saturating_add(weights_mb) <= row.memory_mb).then_some((cost, count))
}

/// Returns how many loads from the weight store may run in parallel: as many as
/// its rate lets begin during the longest load, but at least
/// [`MIN_PARALLEL_LOADS`].
fn max_parallel_loads(engine: &catalog::Engine) -> usize {
    let longest = engine.models.iter().map(|m| m.store_load).max().unwrap_or_default();
    whole(engine.load_rate * longest.as_secs_f64()).max(MIN_PARALLEL_LOADS)
}

/// Rounds a number down.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
fn whole(number: f64) -> usize {
    number as usize
}

/// Returns true if the copy is draining or unloading.
fn is_being_removed(copy: &super::room::ModelCopy) -> bool {
    matches!(copy.phase, Phase::Draining(_) | Phase::Unloading)
}

/// Returns true if a copy in this phase serves requests or is about to.
pub(super) fn is_resident_or_loading(phase: &Phase) -> bool {
    matches!(phase, Phase::Resident | Phase::Loading(_))
}

#[expect(clippy::cast_precision_loss, reason = "work is far below 2^52")]
pub(super) fn to_f64(number: u64) -> f64 {
    number as f64
}
