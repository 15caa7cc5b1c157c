//! Adapters are small and arrive within milliseconds, so they are ordered when
//! a request needs one, on a target that holds their model already.

use std::time;

use crate::version::{catalog, directory::Want};

use super::{
    Action, Asked, Placer,
    room::{Op, Room, State},
};

/// How long an adapter stays after it was last wanted, at least.
const KEEP: time::Duration = time::Duration::from_secs(1);

/// Adapters on their way to one target at a time.
const COMING: usize = 4;

impl Placer {
    /// Orders an adapter, unless it is on its way already.
    pub(super) fn order_adapter(
        &mut self,
        asked: &Asked,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        let Asked { want, beside, .. } = asked;
        let Some(name) = &want.adapter else {
            return Vec::new();
        };
        let Some(service) = catalog.service(&want.service) else {
            return Vec::new();
        };
        let Some(memory) = service.model(&want.model).map(|m| m.adapter_memory) else {
            return Vec::new();
        };
        let fit =
            |(id, r): &(&String, &Room)| serves(r, want) && now >= r.pause && !beside.contains(id);
        let hosts = self.rooms.iter().filter(fit).map(|(_, r)| r);
        if hosts.clone().any(|r| is_coming(r, want, name)) {
            return Vec::new();
        }
        let free = |r: &&Room| has_place(r, service, memory);
        let best = hosts.clone().filter(free).min_by_key(|r| r.adapters());
        let chosen = best.map(|r| (r.address, None)).or_else(|| {
            let idle = hosts.filter(|r| can_change(r));
            let idle = idle.filter_map(|r| Some((r.address, oldest(r, now)?)));
            let (address, (_, model, adapter)) = idle.min_by_key(|(_, (used, _, _))| *used)?;
            Some((address, Some((model, adapter))))
        });
        let Some((address, evicted)) = chosen else {
            return Vec::new();
        };
        let (id, fence) = (self.number(), self.fence);
        let Some(room) = self.rooms.values_mut().find(|r| r.address == address) else {
            return Vec::new();
        };
        room.sent = Some(id);
        let order = match evicted {
            None => {
                room.charge_adapter(want, memory, now);
                let order = room.order(id, fence, Op::Load, &want.model);
                super::Order { adapter: Some(name.clone()), ..order }
            }
            Some((model, adapter)) => {
                if let Some(held) = room.models.get_mut(&model)
                    && let Some(held) = held.adapters.get_mut(&adapter)
                {
                    held.state = State::Unloading;
                }
                room.note();
                let order = room.order(id, fence, Op::Unload, &model);
                super::Order { adapter: Some(adapter), ..order }
            }
        };
        let note = room.take_note().map(Action::Note);
        note.into_iter().chain([Action::Send(order)]).collect()
    }
}

/// Returns true if the target holds the model of what is wanted and takes
/// orders.
fn serves(room: &Room, want: &Want) -> bool {
    let base = Want { adapter: None, ..want.clone() };
    room.service == want.service && room.is_idle() && room.holds(&base)
}

fn is_coming(room: &Room, want: &Want, name: &str) -> bool {
    let held = room.models.get(&want.model).and_then(|h| h.adapters.get(name));
    held.is_some_and(|a| matches!(a.state, State::Loading(_)))
}

/// Returns true if few adapters are on their way to the target.
fn can_change(room: &Room) -> bool {
    let adapters = room.models.values().flat_map(|h| h.adapters.values());
    let moving = |s: &State| matches!(s, State::Loading(_) | State::Unloading);
    adapters.filter(|a| moving(&a.state)).count() < COMING
}

fn has_place(room: &Room, service: &catalog::Service, memory: u64) -> bool {
    let fits = room.charged(service) + memory <= room.memory;
    can_change(room) && room.adapters() < room.places && fits
}

/// Returns the adapter that was wanted least recently, if that is a while ago.
fn oldest(room: &Room, now: time::Duration) -> Option<(time::Duration, String, String)> {
    let all = room.models.iter().flat_map(|(model, held)| {
        held.adapters.iter().map(move |(name, adapter)| (model, name, adapter))
    });
    let idle = all.filter(|(_, _, a)| a.state == State::Resident && now >= a.used + KEEP);
    let (model, name, adapter) = idle.min_by_key(|(_, _, a)| a.used)?;
    Some((adapter.used, model.clone(), name.clone()))
}
