//! One round of the planner: its inputs and the commands that it collects.

use std::{collections, time};

use crate::version::{
    memory::{self, Allocation, Item, Phase, Verb},
    view::{Command, Presence, Target, View},
};

use super::planner::TargetStatus;

/// Name, announcement and memory account of a model engine.
pub(super) type Engine<'v> = (&'v String, &'v Target, &'v memory::Account);

/// How many allocations of one item are in each phase that counts as a copy.
#[derive(Clone, Copy, Debug, Default)]
struct PhaseCounts {
    resident: usize,
    loading: usize,
}

/// Inputs and results of one round of the planner.
pub(super) struct Round<'v> {
    pub(super) view: &'v View,
    pub(super) engines: Vec<Engine<'v>>,
    pub(super) statuses: &'v collections::BTreeMap<String, TargetStatus>,
    /// Copies of each item on the engines.
    counts: collections::HashMap<&'v Item, PhaseCounts>,
    pub(super) now: time::Duration,
    pub(super) commands: Vec<Command>,
    /// Memory for loads ordered in this round, in MiB by target.
    pub(super) reserved: collections::BTreeMap<String, u64>,
    /// Memory that is being freed and reserved for a waiting item, in MiB by
    /// target.
    reserved_freeing: collections::BTreeMap<String, u64>,
    pub(super) loading_models: usize,
    pub(super) loading_adapters: usize,
}

impl<'v> Round<'v> {
    /// Starts a round over the engines that take requests. Those in failure domains that are
    /// being evacuated do not, so their copies count as missing and they get no orders.
    pub(super) fn new(
        view: &'v View,
        statuses: &'v collections::BTreeMap<String, TargetStatus>,
        now: time::Duration,
    ) -> Self {
        let engines = view.targets().iter().filter_map(|(name, target)| {
            let is_engine = target.service.is_none()
                && target.presence == Presence::Up
                && !view.evacuations().contains(&target.domain);
            let account = view.memory_allocations().account(name)?;
            is_engine.then_some((name, target, account))
        });
        let engines: Vec<_> = engines.collect();
        Self {
            view,
            counts: count_copies(&engines),
            engines,
            statuses,
            now,
            commands: Vec::new(),
            reserved: collections::BTreeMap::new(),
            reserved_freeing: collections::BTreeMap::new(),
            loading_models: 0,
            loading_adapters: 0,
        }
    }
}

impl Round<'_> {
    /// Counts the copies of an item in the given phases. Only resident and loading
    /// copies are counted.
    pub(super) fn copies(&self, item: &Item, phases: &[Phase]) -> usize {
        let counts = self.counts.get(item).copied().unwrap_or_default();
        let count = |phase: &Phase| match phase {
            Phase::Resident => counts.resident,
            Phase::Loading => counts.loading,
            Phase::Draining | Phase::Unloading | Phase::Stranded => 0,
        };
        phases.iter().map(count).sum()
    }

    pub(super) fn free(&self, name: &str, account: &memory::Account) -> u64 {
        account.free().saturating_sub(self.reserved.get(name).copied().unwrap_or(0))
    }

    /// Returns the target for a new copy: in the failure domain with the fewest
    /// copies, a target where the item is stranded, since its memory is charged
    /// already, otherwise the one with the most free memory.
    pub(super) fn best_target(&self, item: &Item, memory: u64) -> Option<String> {
        let stranded = |account: &memory::Account| {
            account.allocations.get(item).is_some_and(|a| a.phase == Phase::Stranded)
        };
        let candidates = self.engines.iter().filter(|(name, _, account)| {
            let vacant =
                !account.allocations.contains_key(item) && self.free(name, account) >= memory;
            vacant || stranded(account)
        });
        let best = candidates.min_by_key(|(name, target, account)| {
            let in_domain = self.copies_in_domain(&target.domain, item);
            let free = self.free(name, account);
            (in_domain, !stranded(account), u64::MAX - free, (*name).clone())
        });
        best.map(|(name, _, _)| (*name).clone())
    }

    pub(super) fn copies_in_domain(&self, domain: &str, item: &Item) -> usize {
        let in_domain = self.engines.iter().filter(|(_, t, _)| t.domain == domain);
        in_domain.filter(|(_, _, account)| account.allocations.contains_key(item)).count()
    }

    pub(super) fn best_target_with(&self, base: &Item, item: &Item, memory: u64) -> Option<String> {
        let candidates = self.engines.iter().filter(|(name, _, account)| {
            let has_base =
                account.allocations.get(base).is_some_and(|a| a.phase == Phase::Resident);
            let allocation = account.allocations.get(item);
            let vacant = allocation.is_none() && self.free(name, account) >= memory;
            has_base && (vacant || allocation.is_some_and(|a| a.phase == Phase::Stranded))
        });
        let best =
            candidates.max_by_key(|(name, _, account)| (self.free(name, account), (*name).clone()));
        best.map(|(name, _, _)| (*name).clone())
    }

    /// Drains one adapter without waiting requests on a target where the base
    /// model is resident, unless an adapter is already being removed somewhere.
    pub(super) fn evict_adapter(
        &mut self,
        base: &Item,
        wanted: &collections::BTreeMap<Item, time::Duration>,
    ) {
        let removing = self.engines.iter().any(|(_, _, account)| {
            account.allocations.iter().any(|(item, allocation)| {
                matches!(item, Item::Adapter(_))
                    && matches!(allocation.phase, Phase::Draining | Phase::Unloading)
            })
        });
        if removing {
            return;
        }
        let victim = self.engines.iter().find_map(|(name, _, account)| {
            account.allocations.get(base).filter(|a| a.phase == Phase::Resident)?;
            let mut adapters = account.allocations.iter().filter(|(item, allocation)| {
                let is_adapter = matches!(item, Item::Adapter(_));
                is_adapter && allocation.phase == Phase::Resident && !wanted.contains_key(item)
            });
            adapters.next().map(|(item, _)| ((*name).clone(), item.clone()))
        });
        if let Some((target, item)) = victim {
            self.drain(&target, &item, true);
        }
    }

    /// Returns true if enough memory for the item is being freed on some target,
    /// and reserves it for the item.
    pub(super) fn reserve_freeing_memory(&mut self, item: &Item, memory: u64) -> bool {
        let candidate = self.engines.iter().find(|(name, _, account)| {
            let freeing = freeing(account);
            let reserved_freeing = self.reserved_freeing.get(*name).copied().unwrap_or(0);
            let free = (self.free(name, account) + freeing).saturating_sub(reserved_freeing);
            freeing > 0 && !account.allocations.contains_key(item) && free >= memory
        });
        let Some(name) = candidate.map(|(name, _, _)| (*name).clone()) else {
            return false;
        };
        *self.reserved_freeing.entry(name).or_default() += memory;
        true
    }

    pub(super) fn adapters_on<'r>(
        &self,
        account: &'r memory::Account,
        base: &Item,
    ) -> Vec<(&'r Item, &'r Allocation)> {
        let of_base = |item: &Item| match item {
            Item::Adapter(name) => {
                self.view.adapter(name).is_some_and(|a| a.base_model == base.name())
            }
            Item::Model(_) => false,
        };
        account.allocations.iter().filter(|(item, _)| of_base(item)).collect()
    }

    /// Returns true if the item is a model with adapters on the target.
    pub(super) fn has_adapters(&self, target: &str, item: &Item) -> bool {
        let account = self.view.memory_allocations().account(target);
        account.is_some_and(|account| {
            matches!(item, Item::Model(_)) && !self.adapters_on(account, item).is_empty()
        })
    }

    /// Drains an adapter whose model is not resident on the target.
    pub(super) fn drain_orphaned_adapter(
        &mut self,
        target: &str,
        account: &memory::Account,
        item: &Item,
    ) {
        let Item::Adapter(name) = item else {
            return;
        };
        let base = self.view.adapter(name).map(|a| Item::Model(a.base_model.clone()));
        let base_allocation = base.and_then(|b| account.allocations.get(&b));
        if base_allocation.is_none_or(|a| a.phase != Phase::Resident) {
            self.drain(target, item, true);
        }
    }

    pub(super) fn drain(&mut self, target: &str, item: &Item, draining: bool) {
        let (target, item) = (target.to_owned(), item.clone());
        let command = Command::Drain { target, item, draining };
        if !self.commands.contains(&command) {
            self.commands.push(command);
        }
    }

    pub(super) fn order_load(&mut self, target: &str, item: &Item, memory: u64) {
        let Some(announced) = self.view.targets().get(target) else {
            return;
        };
        *self.reserved.entry(target.to_owned()).or_default() += memory;
        self.commands.push(Command::Order {
            target: target.to_owned(),
            incarnation: announced.incarnation,
            verb: Verb::Load,
            item: item.clone(),
            memory,
        });
    }

    /// Sends the order that the phase calls for: a load if the item is loading,
    /// otherwise an unload.
    pub(super) fn order_for_phase(
        &mut self,
        name: &str,
        target: &Target,
        item: &Item,
        allocation: &Allocation,
    ) {
        let verb = if allocation.phase == Phase::Loading { Verb::Load } else { Verb::Unload };
        self.commands.push(Command::Order {
            target: name.to_owned(),
            incarnation: target.incarnation,
            verb,
            item: item.clone(),
            memory: allocation.memory,
        });
    }
}

/// Counts the copies of all items in one pass, since the planner looks up each
/// model.
fn count_copies<'v>(engines: &[Engine<'v>]) -> collections::HashMap<&'v Item, PhaseCounts> {
    let mut counts: collections::HashMap<&Item, PhaseCounts> = collections::HashMap::new();
    for (item, allocation) in engines.iter().flat_map(|(_, _, account)| &account.allocations) {
        let counts = counts.entry(item).or_default();
        match allocation.phase {
            Phase::Resident => counts.resident += 1,
            Phase::Loading => counts.loading += 1,
            Phase::Draining | Phase::Unloading | Phase::Stranded => {}
        }
    }
    counts
}

/// Returns the memory of draining and unloading items, in MiB.
fn freeing(account: &memory::Account) -> u64 {
    let allocations = account
        .allocations
        .values()
        .filter(|a| matches!(a.phase, Phase::Draining | Phase::Unloading));
    allocations.map(|a| a.memory).sum()
}
