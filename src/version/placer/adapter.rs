//! Placement of adapters.
//!
//! An adapter is small and loads within milliseconds, so it is ordered when a
//! request needs it, on a target where its model is resident.
//!
//! A target has few slots for adapters, and all of them may have requests all the time. If
//! only unused adapters were evicted, requests for the others would then get none,
//! however long they come back. They need one most after targets have been replaced or lost:
//! streams continue only at targets of the version that began them, and the
//! adapters of those that are gone are on no other. So an adapter that has a second copy at
//! such targets gives up one of them, where its requests in progress end first; for a
//! request that is bound to a version, also one whose second copy is at another version. The
//! last copy of an adapter in use, over all versions, is never evicted.

use std::{collections, net, time};

use crate::version::{catalog, directory::Requirement};

use super::{
    Action, PlacementRequest, Placer,
    late::LateLoad,
    room::{Op, Phase, TargetState},
};

/// How long an adapter must have been unused before it is evicted.
const MIN_IDLE: time::Duration = time::Duration::from_secs(1);

/// Most adapters that load or unload on one target at a time.
const MAX_PENDING: usize = 4;

impl Placer {
    /// Orders the required adapter, or the eviction of another one to make space
    /// for it. Orders nothing while the adapter is being loaded.
    pub(super) fn order_adapter(
        &mut self,
        request: &PlacementRequest,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        let PlacementRequest { requirement, exclude, .. } = request;
        let Some(name) = &requirement.adapter else {
            return Vec::new();
        };
        let Some(service) = catalog.service(&requirement.service) else {
            return Vec::new();
        };
        let Some(memory) = service.model(&requirement.model).map(|m| m.adapter_mb) else {
            return Vec::new();
        };
        let usable = |(id, t): &(&String, &TargetState)| {
            serves(t, requirement)
                && request.fits(t)
                && now >= t.no_adapter_order_before
                && !exclude.contains(id)
        };
        let hosts = self.targets.iter().filter(usable).map(|(_, t)| t);
        if hosts.clone().any(|t| is_loading(t, requirement, name)) {
            return Vec::new();
        }
        let free = |t: &&TargetState| has_space(t, service, memory);
        let best = hosts.clone().filter(free).min_by_key(|t| t.adapter_count());
        let chosen = best.map(|t| (t.address, Step::Load)).or_else(|| {
            let full: Vec<_> = hosts.filter(|t| below_pending_limit(t)).collect();
            if let Some(settled) = full.iter().find_map(|t| late_adapter(t)) {
                return Some((settled.address, Step::Settle(settled)));
            }
            let unused = full.iter().filter_map(|t| unused_adapter(t, now));
            let unused = unused.min_by_key(|(used, _)| *used).map(|(_, evicted)| evicted);
            // A request for a further copy does not take that of another adapter.
            let needs_first = exclude.is_empty();
            let spare = || needs_first.then(|| self.spare_copy(request, &full)).flatten();
            unused.or_else(spare).map(|e| (e.address, Step::Evict(e)))
        });
        let Some((address, step)) = chosen else {
            return Vec::new();
        };
        let (id, fence) = (self.next_order_id(), self.fence);
        let Some(target) = self.targets.values_mut().find(|t| t.address == address) else {
            return Vec::new();
        };
        target.pending_order = Some(id);
        let order = match step {
            Step::Load => {
                target.charge_adapter(requirement, memory, now);
                let order = target.new_order(id, fence, Op::Load, &requirement.model);
                super::Order { adapter: Some(name.clone()), ..order }
            }
            Step::Settle(AdapterAt { model, adapter, .. }) => {
                let late = Requirement {
                    service: requirement.service.clone(),
                    model: model.clone(),
                    adapter: Some(adapter.clone()),
                };
                target.charge_adapter(&late, memory, now);
                let order = target.new_order(id, fence, Op::Load, &model);
                super::Order { adapter: Some(adapter), ..order }
            }
            Step::Evict(AdapterAt { model, adapter, .. }) => {
                if let Some(copy) = target.models.get_mut(&model)
                    && let Some(copy) = copy.adapters.get_mut(&adapter)
                {
                    copy.phase = Phase::Unloading;
                }
                target.queue_update();
                let order = target.new_order(id, fence, Op::Unload, &model);
                super::Order { adapter: Some(adapter), ..order }
            }
        };
        let update = target.take_update(now).map(Action::PublishHoldings);
        update.into_iter().chain([Action::SendOrder(order)]).collect()
    }

    /// Returns an adapter on one of the targets whose requests another target can serve that
    /// holds the required model as well; the one with fewest running requests, and none that
    /// wait. Targets that already wait for an adapter to be unloaded are left out.
    ///
    /// The other copy is on a target of the same software version. A request that is bound to
    /// a version, and so to the slots there, also takes that of an adapter with a copy at another
    /// version, since new requests can go there.
    fn spare_copy(&self, request: &PlacementRequest, full: &[&TargetState]) -> Option<AdapterAt> {
        let mut by_version = collections::HashMap::<_, usize>::new();
        let mut in_all = collections::HashMap::<_, usize>::new();
        for target in self.targets.values().filter(|t| holds_model(t, &request.requirement)) {
            for (model, adapter, _) in resident(target) {
                *by_version.entry((target.software.as_str(), model, adapter)).or_default() += 1;
                *in_all.entry((model, adapter)).or_default() += 1;
            }
        }
        let same_version = self.least_used(full, |t, model, adapter| {
            by_version[&(t.software.as_str(), model, adapter)] > 1
        });
        let any_version =
            || self.least_used(full, |_, model, adapter| in_all[&(model, adapter)] > 1);
        same_version.or_else(|| request.software.as_ref().and_then(|_| any_version()))
    }

    /// Returns the adapter on one of the targets with fewest running requests, and none that
    /// wait, of those for which `is_spare` is true.
    fn least_used(
        &self,
        targets: &[&TargetState],
        is_spare: impl Fn(&TargetState, &str, &str) -> bool,
    ) -> Option<AdapterAt> {
        let targets = targets.iter().filter(|t| !is_unloading(t));
        let adapters = targets.flat_map(|t| resident(t).map(move |(m, a, _)| (*t, m, a)));
        let spare = adapters.filter(|(target, model, adapter)| is_spare(target, model, adapter));
        let counted = spare.filter_map(|(target, model, adapter)| {
            let requirement = Requirement {
                service: target.service.clone(),
                model: model.to_owned(),
                adapter: Some(adapter.to_owned()),
            };
            let waits = self.waiters.contains_key(&requirement);
            let running = self.running.get(&requirement).copied().unwrap_or(0);
            (!waits).then_some((running, target, model, adapter))
        });
        let (_, target, model, adapter) = counted.min_by_key(|(running, ..)| *running)?;
        Some(AdapterAt::new(target, model, adapter))
    }
}

/// How an adapter gets closer to its place at a target.
#[derive(Debug)]
enum Step {
    /// It is loaded.
    Load,
    /// A load that takes the last place, and was not answered, is ordered again. The target then
    /// counts it, and the place can be used.
    Settle(AdapterAt),
    /// Another adapter is unloaded.
    Evict(AdapterAt),
}

/// An adapter at a target.
#[derive(Debug)]
struct AdapterAt {
    /// Of the target.
    address: net::SocketAddr,
    model: String,
    adapter: String,
}

impl AdapterAt {
    fn new(target: &TargetState, model: &str, adapter: &str) -> Self {
        Self { address: target.address, model: model.to_owned(), adapter: adapter.to_owned() }
    }
}

/// Returns true if the required model is resident on the target, which may get requests, and the
/// target can take an order.
fn serves(target: &TargetState, requirement: &Requirement) -> bool {
    holds_model(target, requirement) && target.is_idle()
}

fn holds_model(target: &TargetState, requirement: &Requirement) -> bool {
    target.service == requirement.service
        && !target.evacuated
        && target.holds_model(&requirement.model)
}

fn is_loading(target: &TargetState, requirement: &Requirement, name: &str) -> bool {
    let copy = target.models.get(&requirement.model).and_then(|c| c.adapters.get(name));
    copy.is_some_and(|a| matches!(a.phase, Phase::Loading(_)))
}

/// Returns true if fewer adapters than [`MAX_PENDING`] load or unload there.
fn below_pending_limit(target: &TargetState) -> bool {
    let adapters = target.models.values().flat_map(|c| c.adapters.values());
    let is_pending = |s: &Phase| matches!(s, Phase::Loading(_) | Phase::Unloading);
    adapters.filter(|a| is_pending(&a.phase)).count() < MAX_PENDING
}

fn has_space(target: &TargetState, service: &catalog::Service, memory: u64) -> bool {
    let charged = target.charged(|name| service.model(name));
    let fits = charged.saturating_add(memory) <= target.memory;
    below_pending_limit(target) && target.adapter_count() < target.adapter_slots && fits
}

/// Returns an adapter whose load was not answered and may be carried out later, if its model is
/// resident.
fn late_adapter(target: &TargetState) -> Option<AdapterAt> {
    let mut late = target.uncharged_late_loads().filter(|load| target.holds_model(&load.model));
    let adapter =
        |load: &LateLoad| Some(AdapterAt::new(target, &load.model, load.adapter.as_ref()?));
    late.find_map(adapter)
}

/// Returns the resident adapters of a target, as (model, adapter, last use).
fn resident(target: &TargetState) -> impl Iterator<Item = (&str, &str, time::Duration)> {
    target.models.iter().flat_map(|(model, copy)| {
        let resident = copy.adapters.iter().filter(|(_, a)| a.phase == Phase::Resident);
        resident.map(move |(name, adapter)| (model.as_str(), name.as_str(), adapter.last_used))
    })
}

fn is_unloading(target: &TargetState) -> bool {
    let mut adapters = target.models.values().flat_map(|c| c.adapters.values());
    adapters.any(|a| a.phase == Phase::Unloading)
}

/// Returns the least recently used adapter, with its last use, if it has been unused for
/// [`MIN_IDLE`].
fn unused_adapter(
    target: &TargetState,
    now: time::Duration,
) -> Option<(time::Duration, AdapterAt)> {
    let idle = resident(target).filter(|(_, _, used)| now >= *used + MIN_IDLE);
    let (model, adapter, used) = idle.min_by_key(|(_, _, used)| *used)?;
    Some((used, AdapterAt::new(target, model, adapter)))
}
