//! The targets that may get new work, as a view shows them.

use crate::version::{
    memory::{Item, Phase},
    view::{Presence, Target, View},
};

use super::{Host, Pool};

/// Lists the targets that may get new work, with what they can serve.
#[must_use]
pub fn hosts(view: &View) -> Vec<Host> {
    let up = view.targets().iter().filter(|(_, t)| t.state == Presence::Up);
    up.map(|(name, target)| host(view, name, target)).collect()
}

fn host(view: &View, name: &str, target: &Target) -> Host {
    let resident = || {
        let slots = view.ledger().account(name).into_iter().flat_map(|r| &r.allocations);
        slots.filter(|(_, s)| s.phase == Phase::Resident).map(|(item, _)| item)
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
    Host { name: name.into(), width: target.width, adapters: adapters.collect(), pools }
}
