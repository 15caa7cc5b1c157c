//! Placement of adapters.
//!
//! An adapter is small and loads within milliseconds, so it is ordered when a
//! request needs it, on a target where its model is resident.

use std::time;

use crate::version::{catalog, directory::Requirement};

use super::{
    Action, PlacementRequest, Placer,
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
        let chosen = best.map(|t| (t.address, None)).or_else(|| {
            let evictable = hosts.filter(|t| below_pending_limit(t));
            let evictable =
                evictable.filter_map(|t| Some((t.address, least_recently_used(t, now)?)));
            let (address, (_, model, adapter)) = evictable.min_by_key(|(_, (used, _, _))| *used)?;
            Some((address, Some((model, adapter))))
        });
        let Some((address, evicted)) = chosen else {
            return Vec::new();
        };
        let (id, fence) = (self.next_order_id(), self.fence);
        let Some(target) = self.targets.values_mut().find(|t| t.address == address) else {
            return Vec::new();
        };
        target.pending_order = Some(id);
        let order = match evicted {
            None => {
                target.charge_adapter(requirement, memory, now);
                let order = target.new_order(id, fence, Op::Load, &requirement.model);
                super::Order { adapter: Some(name.clone()), ..order }
            }
            Some((model, adapter)) => {
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
        let update = target.take_update().map(Action::PublishHoldings);
        update.into_iter().chain([Action::SendOrder(order)]).collect()
    }
}

/// Returns true if the required model is resident on the target and the target
/// can take an order.
fn serves(target: &TargetState, requirement: &Requirement) -> bool {
    target.service == requirement.service
        && target.is_idle()
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

/// Returns the least recently used adapter, as (last use, model, adapter), if it
/// has been unused for [`MIN_IDLE`].
fn least_recently_used(
    target: &TargetState,
    now: time::Duration,
) -> Option<(time::Duration, String, String)> {
    let all = target.models.iter().flat_map(|(model, copy)| {
        copy.adapters.iter().map(move |(name, adapter)| (model, name, adapter))
    });
    let idle = all.filter(|(_, _, a)| a.phase == Phase::Resident && now >= a.last_used + MIN_IDLE);
    let (model, name, adapter) = idle.min_by_key(|(_, _, a)| a.last_used)?;
    Some((adapter.last_used, model.clone(), name.clone()))
}
