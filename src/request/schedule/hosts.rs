//! The targets of a view that may get new requests.

use crate::version::{
    memory::{Item, Phase},
    view::{Presence, Target, View},
};

use super::{Pool, TargetInfo};

/// Returns the targets that may get new requests, with what they can serve. A
/// target that leaves or is down is not included.
#[must_use]
pub fn available_targets(view: &View) -> Vec<TargetInfo> {
    let up = view.targets().iter().filter(|(_, t)| t.presence == Presence::Up);
    let available = up.filter(|(_, t)| !view.evacuations().contains(&t.domain));
    available.map(|(name, target)| target_info(view, name, target)).collect()
}

fn target_info(view: &View, name: &str, target: &Target) -> TargetInfo {
    let resident = || {
        let allocations =
            view.memory_allocations().account(name).into_iter().flat_map(|r| &r.allocations);
        allocations.filter(|(_, s)| s.phase == Phase::Resident).map(|(item, _)| item)
    };
    let models = resident().filter_map(|item| match item {
        Item::Model(name) => Some(Pool::Model(name.as_str().into())),
        Item::Adapter(_) => None,
    });
    let pools = match &target.service {
        Some(service) => vec![Pool::Service(service.as_str().into())],
        None => models.collect(),
    };
    let adapters = resident().filter_map(|item| match item {
        Item::Adapter(name) => Some(name.as_str().into()),
        Item::Model(_) => None,
    });
    TargetInfo { name: name.into(), width: target.slots, adapters: adapters.collect(), pools }
}
