//! The planner, which derives orders from demand and waiting requests.

use std::{collections, time};

use crate::version::{
    memory::{self, Allocation, Item, Phase},
    record,
    view::{Command, Target, View},
};

use super::{DRAIN_WAIT, demand::Demands, round::Round};

/// Time after which an unanswered order is sent again.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(31);

/// Time after which an order is sent again when its answer is known to be lost.
const ORDER_RETRY: time::Duration = time::Duration::from_secs(1);

/// Time since the last report of waiting requests after which an item no longer
/// counts as wanted.
const WANTED_TTL: time::Duration = time::Duration::from_secs(3);

/// Time without demand after which a model may lose its last copy to a model
/// that requests wait for.
const MODEL_IDLE: time::Duration = time::Duration::from_secs(5);

/// Fraction of the concurrency of a model's copies above which demand calls for
/// another copy.
const ADD_THRESHOLD: f64 = 0.7;

/// Fraction of the concurrency of the remaining copies that demand must stay
/// below for a surplus copy to be evicted.
const REMOVE_THRESHOLD: f64 = 0.4;

/// What a target announced last.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// When the announcement arrived.
    pub received_at: time::Duration,
    /// Requests that the target runs or queues.
    pub load: u32,
    /// Items with requests in flight.
    pub busy: Vec<Item>,
}

/// Name of a target and an item on it.
type Placement = (String, Item);

/// Decides which items are to be resident on which targets.
#[derive(Debug, Default)]
pub struct Planner {
    demands: Demands,
    /// Items that requests wait for, and when that was last reported.
    wanted: collections::BTreeMap<Item, time::Duration>,
    /// When a model last had demand or waiting requests.
    last_used: collections::BTreeMap<String, time::Duration>,
    /// When the latest order was sent, for loads and unloads in progress.
    ordered_at: collections::BTreeMap<Placement, time::Duration>,
    /// When the planner first saw an item draining.
    draining_since: collections::BTreeMap<Placement, time::Duration>,
    /// Token bucket of the weight store's load rate, in thousandths of a load.
    load_tokens: u64,
    /// When the first round was planned.
    started_at: Option<time::Duration>,
    updated: time::Duration,
}

impl Planner {
    /// Returns the demands, for reports to be added.
    pub fn demands_mut(&mut self) -> &mut Demands {
        &mut self.demands
    }

    /// Records that requests wait for an item.
    pub fn mark_wanted(&mut self, item: &Item, now: time::Duration) {
        self.wanted.insert(item.clone(), now);
    }

    /// Records that the answer to an order was lost. The order is sent again after
    /// a short time instead of after the full time-out.
    pub fn mark_answer_lost(&mut self, target: &str, item: &Item, now: time::Duration) {
        let due = (now + ORDER_RETRY).saturating_sub(ORDER_TIMEOUT);
        self.ordered_at.insert((target.to_owned(), item.clone()), due);
    }

    /// Plans one round. Every command of the previous round must have been
    /// applied, so that the view includes them.
    pub fn plan(
        &mut self,
        view: &View,
        statuses: &collections::BTreeMap<String, TargetStatus>,
        now: time::Duration,
    ) -> Vec<Command> {
        self.advance(view, now);
        let mut round = Round::new(view, statuses, now);
        self.continue_orders(&mut round);
        self.place_models(&mut round);
        self.place_adapters(&mut round);
        round.commands
    }

    /// Returns how many copies a model should have, if a target runs
    /// `mean_slots` requests concurrently. Demand is in concurrent requests.
    fn desired_copies(&self, name: &str, model: &record::Model, mean_slots: f64) -> usize {
        let demand = self.demands.get(name);
        let by_demand = to_count((demand / (mean_slots * ADD_THRESHOLD)).ceil());
        let wanted = self.wanted.contains_key(&Item::Model(name.to_owned()));
        let minimum = usize::try_from(model.min_copies).unwrap_or(usize::MAX);
        by_demand.max(minimum).max(usize::from(wanted))
    }

    fn advance(&mut self, view: &View, now: time::Duration) {
        self.demands.advance(now);
        self.wanted.retain(|_, at| now < *at + WANTED_TTL);
        let weight_store = view.weight_store();
        let first_run = self.started_at.is_none();
        let elapsed = now.saturating_sub(self.updated);
        self.updated = now;
        self.started_at.get_or_insert(now);
        let capacity = u64::from(weight_store.parallel_loads) * 1_000;
        let accrued = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let accrued = accrued.saturating_mul(weight_store.loads_per_1000s) / 1_000;
        self.load_tokens =
            if first_run { capacity } else { (self.load_tokens + accrued).min(capacity) };
        for (name, _) in view.models() {
            let wanted = self.wanted.contains_key(&Item::Model(name.to_owned()));
            if self.demands.get(name) > 0.05 || wanted {
                self.last_used.insert(name.to_owned(), now);
            }
        }
    }

    /// Continues what earlier rounds began: repeats unanswered orders, unloads
    /// drained items, and drops the times of completed orders.
    fn continue_orders(&mut self, round: &mut Round<'_>) {
        let mut in_progress = collections::BTreeSet::new();
        for (name, target, account) in round.engines.clone() {
            for (item, allocation) in &account.allocations {
                let placement = (name.clone(), item.clone());
                match allocation.phase {
                    Phase::Loading | Phase::Unloading => {
                        match item {
                            Item::Model(_) => round.loading_models += 1,
                            Item::Adapter(_) => round.loading_adapters += 1,
                        }
                        in_progress.insert(placement.clone());
                        let at = *self.ordered_at.entry(placement.clone()).or_insert(round.now);
                        if round.now >= at + ORDER_TIMEOUT {
                            self.ordered_at.insert(placement, round.now);
                            round.order_for_phase(name, target, item, allocation);
                        }
                    }
                    Phase::Draining => {
                        in_progress.insert(placement.clone());
                        self.unload_drained(round, &placement, target, allocation);
                    }
                    Phase::Resident => round.drain_orphaned_adapter(name, account, item),
                    Phase::Stranded => {
                        // An order settles the state only if the target checks
                        // fencing tokens or no other order is pending.
                        let fencing = round.view.target_class(name).checks_fencing;
                        let can_settle = fencing || allocation.pending.is_empty();
                        if can_settle && !self.wanted.contains_key(item) {
                            round.order_for_phase(name, target, item, allocation);
                        }
                    }
                }
            }
        }
        self.ordered_at.retain(|placement, _| in_progress.contains(placement));
        self.draining_since.retain(|placement, _| in_progress.contains(placement));
    }

    fn unload_drained(
        &mut self,
        round: &mut Round<'_>,
        placement: &Placement,
        target: &Target,
        allocation: &Allocation,
    ) {
        let (name, item) = placement;
        let since = *self.draining_since.entry(placement.clone()).or_insert(round.now);
        let wanted = self.wanted.contains_key(item);
        if wanted && round.copies(item, &[Phase::Resident, Phase::Loading]) == 0 {
            round.drain(name, item, false);
            return;
        }
        let drained = round
            .statuses
            .get(name)
            .is_some_and(|s| s.received_at >= since + DRAIN_WAIT && !s.busy.contains(item));
        let has_adapters = round.has_adapters(name, item);
        if drained && !has_adapters {
            self.ordered_at.insert(placement.clone(), round.now);
            round.order_for_phase(name, target, item, allocation);
        }
    }

    fn place_models(&mut self, round: &mut Round<'_>) {
        let total_slots: f64 = round.engines.iter().map(|(_, t, _)| f64::from(t.slots)).sum();
        let count = u32::try_from(round.engines.len()).unwrap_or(u32::MAX);
        if count == 0 {
            return;
        }
        let mean_slots = total_slots / f64::from(count);
        let max_parallel =
            usize::try_from(round.view.weight_store().parallel_loads).unwrap_or(usize::MAX);
        for (name, model, resident_or_loading) in self.underprovisioned(round, mean_slots) {
            if round.loading_models >= max_parallel || self.load_tokens < 1_000 {
                return;
            }
            let item = Item::Model(name.to_owned());
            if let Some(target) = round.best_target(&item, model.memory) {
                self.load_tokens -= 1_000;
                round.loading_models += 1;
                self.ordered_at.insert((target.clone(), item.clone()), round.now);
                round.order_load(&target, &item, model.memory);
            } else {
                self.evict_for(round, &item, model.memory, resident_or_loading, mean_slots);
            }
        }
    }

    /// Returns the models with too few copies and their current number of copies,
    /// the most urgent first: those without a copy, then those with the smallest
    /// fraction of the desired copies.
    fn underprovisioned<'v>(
        &self,
        round: &Round<'v>,
        mean_slots: f64,
    ) -> Vec<(&'v str, &'v record::Model, usize)> {
        let mut underprovisioned: Vec<_> = round
            .view
            .models()
            .filter_map(|(name, model)| {
                let item = Item::Model(name.to_owned());
                let resident_or_loading = round.copies(&item, &[Phase::Resident, Phase::Loading]);
                let desired = self.desired_copies(name, model, mean_slots);
                (resident_or_loading < desired).then(|| {
                    (
                        resident_or_loading > 0,
                        resident_or_loading * 1_000 / desired,
                        name,
                        model,
                        resident_or_loading,
                    )
                })
            })
            .collect();
        underprovisioned.sort_by_key(|(has_copy, share, name, _, _)| (*has_copy, *share, *name));
        underprovisioned
            .into_iter()
            .map(|(_, _, name, model, resident_or_loading)| (name, model, resident_or_loading))
            .collect()
    }

    /// Reserves memory that is already being freed for the new item or, if there
    /// is not enough, drains items on the target where the fewest have to go.
    fn evict_for(
        &self,
        round: &mut Round<'_>,
        item: &Item,
        memory: u64,
        resident_or_loading: usize,
        mean_slots: f64,
    ) {
        if round.reserve_freeing_memory(item, memory) {
            return;
        }
        let has_no_copy = resident_or_loading == 0;
        let plans = round.engines.iter().filter_map(|(name, _, account)| {
            if account.capacity < memory || account.allocations.contains_key(item) {
                return None;
            }
            let victims = self.victims(round, name, account, memory, has_no_copy, mean_slots)?;
            Some((victims.len(), (*name).clone(), victims))
        });
        let Some((_, target, victims)) = plans.min() else {
            return;
        };
        for victim in victims {
            round.drain(&target, &victim, true);
        }
    }

    /// Returns the items to drain on a target so that `memory` MiB are free, the
    /// least recently used model first and each followed by its adapters, or `None`
    /// if that much can't be freed.
    fn victims(
        &self,
        round: &Round<'_>,
        target: &str,
        account: &memory::Account,
        memory: u64,
        has_no_copy: bool,
        mean_slots: f64,
    ) -> Option<Vec<Item>> {
        let mut evictable: Vec<_> = account
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.phase == Phase::Resident)
            .filter(|(item, _)| self.can_evict(round, item, has_no_copy, mean_slots))
            .map(|(item, allocation)| (self.last_use(item), item, allocation))
            .collect();
        evictable.sort_by_key(|(last_used, item, _)| (*last_used, *item));
        let reserved = round.reserved.get(target).copied().unwrap_or(0);
        let mut free = account.free().saturating_sub(reserved);
        let mut victims = Vec::new();
        for (_, item, allocation) in evictable {
            if free >= memory {
                break;
            }
            free += allocation.memory;
            victims.push(item.clone());
            for (adapter, allocation) in round.adapters_on(account, item) {
                free += allocation.memory;
                victims.push(adapter.clone());
            }
        }
        (free >= memory).then_some(victims)
    }

    /// Returns true if a copy may be evicted for another model.
    fn can_evict(
        &self,
        round: &Round<'_>,
        item: &Item,
        has_no_copy: bool,
        mean_slots: f64,
    ) -> bool {
        let Item::Model(name) = item else {
            return false;
        };
        let Some(model) = round.view.model(name) else {
            return true;
        };
        let copies = round.copies(item, &[Phase::Resident]);
        let minimum = usize::try_from(model.min_copies).unwrap_or(usize::MAX);
        if copies > minimum.max(1) {
            let left = f64::from(u32::try_from(copies - 1).unwrap_or(u32::MAX));
            return self.demands.get(name) < left * mean_slots * REMOVE_THRESHOLD;
        }
        let idle = self.last_use(item).is_none_or(|last_used| round.now >= last_used + MODEL_IDLE);
        has_no_copy && copies > minimum && idle
    }

    fn last_use(&self, item: &Item) -> Option<time::Duration> {
        self.last_used.get(item.name()).copied()
    }

    fn place_adapters(&mut self, round: &mut Round<'_>) {
        let max_parallel =
            usize::try_from(round.view.weight_store().parallel_adapters).unwrap_or(usize::MAX);
        let wanted: Vec<_> = self.wanted.keys().cloned().collect();
        for item in wanted {
            let Item::Adapter(name) = &item else {
                continue;
            };
            let Some(adapter) = round.view.adapter(name) else {
                continue;
            };
            if round.loading_adapters >= max_parallel || round.copies(&item, &[Phase::Loading]) > 0
            {
                continue;
            }
            let base = Item::Model(adapter.base_model.clone());
            if let Some(target) = round.best_target_with(&base, &item, adapter.memory) {
                round.loading_adapters += 1;
                self.ordered_at.insert((target.clone(), item.clone()), round.now);
                round.order_load(&target, &item, adapter.memory);
            } else {
                round.evict_adapter(&base, &self.wanted);
            }
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small non-negative whole number"
)]
fn to_count(value: f64) -> usize {
    value.clamp(0.0, 1e6) as usize
}
