//! What one target holds, and what its outstanding orders may do to that.

use std::{collections, net, time};

use crate::version::{
    catalog,
    directory::{self, Want},
};

/// How long a target may take beyond the stated time of a load before it is
/// asked for its state.
const OVERDUE: time::Duration = time::Duration::from_millis(1_500);

/// Time that an adapter takes to arrive, apart from its size.
const ADAPTER_START: time::Duration = time::Duration::from_millis(8);

/// Time that a megabyte of an adapter takes.
const ADAPTER_MB: time::Duration = time::Duration::from_micros(200);

/// How old a target's own report may be when it is given.
const REPORT_LAG: time::Duration = time::Duration::from_millis(600);

/// The same after an order that was not taken, as far as is known. If the report
/// is older than the order, the next order states a wrong number and is refused.
const UNSURE_LAG: time::Duration = time::Duration::from_millis(200);

/// Longest time to load a model if the catalog does not say.
const LOAD: time::Duration = time::Duration::from_secs(5);

/// How long no adapter is ordered at a target that refused one. It carries out
/// another order then, which takes about as long.
const PAUSE: time::Duration = time::Duration::from_millis(300);

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Make resident.
    Load,
    /// Remove.
    Unload,
}

impl Op {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Names the order.
    pub id: u64,
    /// Identifies the target.
    pub target: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// What to do.
    pub op: Op,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the order is about one.
    pub adapter: Option<String>,
    /// Orders that the target must have accepted before.
    pub expected: Option<u64>,
    /// Fencing token.
    pub fence: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is being carried out.
    Accepted,
    /// It holds already, or was carried out at once.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The target saw a higher fencing token.
    Fenced,
    /// The target did not take it.
    Refused,
    /// It may be carried out later.
    Unknown,
}

impl Outcome {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// What a target reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reported {
    /// Orders that it has accepted.
    pub accepted: u64,
    /// Whether it carries one out.
    pub busy: bool,
    /// What it holds.
    pub holdings: Vec<directory::Holding>,
    /// Models and adapters on their way, as (model, adapter).
    pub coming: Vec<(String, String)>,
}

/// State of a model or adapter at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It serves.
    Resident,
    /// It was ordered and will serve at about this time.
    Loading(time::Duration),
    /// It no longer gets requests and is to be unloaded at this time.
    Retiring(time::Duration),
    /// Its unload was ordered.
    Unloading,
    /// Someone was told that it is not there. It stays charged until the target
    /// itself has reported, since that word may be out of date.
    Denied,
}

/// A model at a target.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) state: State,
    /// When it was loaded.
    pub(super) since: time::Duration,
    pub(super) adapters: collections::BTreeMap<String, HeldAdapter>,
}

/// An adapter at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldAdapter {
    pub(super) state: State,
    /// When it was last wanted.
    pub(super) used: time::Duration,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Room {
    pub(super) service: String,
    pub(super) address: net::SocketAddr,
    pub(super) born: u64,
    /// Memory for weights and adapters, in MB.
    pub(super) memory: u64,
    pub(super) places: u32,
    id: String,
    /// Orders accepted; unknown until the target has reported.
    pub(super) accepted: Option<u64>,
    pub(super) models: collections::BTreeMap<String, Held>,
    /// Number of the order that is not answered yet.
    pub(super) sent: Option<u64>,
    /// Whether a model is loading or unloading.
    pub(super) busy: bool,
    /// Models that load without the weight store.
    pub(super) copies: collections::BTreeSet<String>,
    pub(super) asked: time::Duration,
    /// Before this moment no adapter is ordered, because the target refused one.
    pub(super) pause: time::Duration,
    /// Model that room is being made for, and until when nothing else is loaded
    /// there.
    pub(super) reserved: Option<(String, time::Duration)>,
    /// Since when its state is in doubt.
    doubt: Option<time::Duration>,
    /// When the latest order was answered; reports of before are out of date.
    changed: time::Duration,
    /// How old reports may be since.
    lag: time::Duration,
    noted: Option<directory::Note>,
}

impl Room {
    pub(super) fn new(
        announced: &directory::Announced,
        own: &[directory::Holding],
        engine: &catalog::Engine,
        now: time::Duration,
    ) -> Self {
        let mut room = Self {
            id: announced.id.clone(),
            service: announced.service.clone(),
            address: announced.address,
            born: announced.born,
            memory: engine.memory,
            places: engine.adapter_slots,
            accepted: None,
            models: collections::BTreeMap::new(),
            sent: None,
            busy: false,
            copies: collections::BTreeSet::new(),
            asked: time::Duration::ZERO,
            pause: time::Duration::ZERO,
            reserved: None,
            doubt: Some(now),
            changed: time::Duration::ZERO,
            lag: REPORT_LAG,
            noted: None,
        };
        // What it holds may have been there for long.
        room.adopt(own, time::Duration::ZERO);
        room
    }

    /// Returns true if it holds what is wanted, ready to serve.
    pub(super) fn holds(&self, want: &Want) -> bool {
        let Some(held) = self.models.get(&want.model).filter(|h| h.state == State::Resident) else {
            return false;
        };
        want.adapter
            .as_ref()
            .is_none_or(|a| held.adapters.get(a).is_some_and(|a| a.state == State::Resident))
    }

    /// Notes that someone wants what it holds.
    pub(super) fn used(&mut self, want: &Want, now: time::Duration) {
        if let Some(held) = self.models.get_mut(&want.model) {
            let adapter = want.adapter.as_ref().and_then(|a| held.adapters.get_mut(a));
            if let Some(adapter) = adapter {
                adapter.used = now;
            }
        }
    }

    /// Takes in that the target said that it lacks something. If it was thought
    /// to be resident, the target is asked for its state.
    pub(super) fn lacks(&mut self, want: &Want, now: time::Duration) {
        if !self.holds(want) {
            return;
        }
        let Some(held) = self.models.get_mut(&want.model) else {
            return;
        };
        match &want.adapter {
            Some(adapter) => {
                if let Some(adapter) = held.adapters.get_mut(adapter) {
                    adapter.state = State::Denied;
                }
            }
            None => held.state = State::Denied,
        }
        self.doubt = Some(now);
        self.note();
    }

    /// Returns the memory that is charged, in MB.
    pub(super) fn charged(&self, service: &catalog::Service) -> u64 {
        let charge = |(name, held): (&String, &Held)| {
            let model = service.model(name);
            let adapters = u64::try_from(held.adapters.len()).unwrap_or(u64::MAX);
            model.map_or(self.memory, |m| m.memory + adapters * m.adapter_memory)
        };
        self.models.iter().map(charge).sum()
    }

    /// Returns how many places for adapters are charged.
    pub(super) fn adapters(&self) -> u32 {
        let count: usize = self.models.values().map(|h| h.adapters.len()).sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns true if room is being made for a model.
    pub(super) fn is_reserved_for(&self, model: &str) -> bool {
        self.reserved.as_ref().is_some_and(|(name, _)| name == model)
    }

    /// Returns true if it takes an order about a model.
    pub(super) fn is_idle(&self) -> bool {
        self.accepted.is_some() && !self.busy && self.sent.is_none()
    }

    /// Returns true if the target should be asked for its state.
    pub(super) fn in_doubt(&self, now: time::Duration) -> bool {
        let overdue = |state: &State| matches!(state, State::Loading(at) if now >= *at + OVERDUE);
        self.doubt.is_some_and(|since| now >= since)
            || self.models.values().any(|h| overdue(&h.state))
            || self.busy_elsewhere()
    }

    /// Returns true if it carries out an order that is not known here, as one of
    /// an earlier leader. Only its report shows when that is done.
    fn busy_elsewhere(&self) -> bool {
        let ordered = |h: &Held| matches!(h.state, State::Loading(_) | State::Unloading);
        self.busy && !self.models.values().any(ordered)
    }

    /// Takes in an announcement, which shows when a load or unload of a model
    /// is complete.
    pub(super) fn announced(
        &mut self,
        announced: &directory::Announced,
        own: &[directory::Holding],
        now: time::Duration,
    ) {
        self.copies = announced.copies.iter().cloned().collect();
        for holding in own {
            let Some(held) = self.models.get_mut(&holding.model) else {
                continue;
            };
            if matches!(held.state, State::Loading(_)) {
                held.state = State::Resident;
                held.since = now;
                self.busy = false;
                self.note();
            }
        }
        let shown = |model: &str| own.iter().any(|h| h.model == model);
        let gone = |name: &str, held: &Held| held.state == State::Unloading && !shown(name);
        if self.models.iter().any(|(n, h)| gone(n, h)) {
            self.models.retain(|name, held| !gone(name, held));
            self.busy = false;
        }
    }

    /// Lets time pass: adapters arrive, and doubts end.
    pub(super) fn tick(&mut self, now: time::Duration) {
        let mut arrived = false;
        for held in self.models.values_mut() {
            for adapter in held.adapters.values_mut() {
                if matches!(adapter.state, State::Loading(at) if now >= at) {
                    adapter.state = State::Resident;
                    arrived = true;
                }
            }
        }
        if arrived {
            self.note();
        }
    }

    /// Takes in the target's own report, or that it did not answer.
    pub(super) fn reported(&mut self, reported: Option<Reported>, now: time::Duration) {
        let Some(reported) = reported else {
            return;
        };
        // It may have been written before the latest order was answered.
        if self.sent.is_some() || now < self.changed + self.lag {
            return;
        }
        self.doubt = None;
        self.accepted = Some(reported.accepted);
        self.busy = reported.busy;
        let before = std::mem::take(&mut self.models);
        self.adopt(&reported.holdings, now);
        for (model, adapter) in reported.coming {
            if let Some(held) = self.models.get_mut(&model) {
                let state = State::Loading(now + ADAPTER_START);
                held.adapters.entry(adapter).or_insert(HeldAdapter { state, used: now });
            }
        }
        self.carry_over(before, now);
        self.note();
    }

    /// Carries over what a report can't show: when things were used, and orders
    /// in progress.
    fn carry_over(&mut self, before: collections::BTreeMap<String, Held>, now: time::Duration) {
        for (name, old) in before {
            let loading = matches!(old.state, State::Loading(_)) && self.busy;
            let unloading = matches!(old.state, State::Unloading | State::Retiring(_));
            match self.models.get_mut(&name) {
                Some(held) => {
                    held.since = old.since;
                    if unloading {
                        held.state = old.state;
                    }
                    for (adapter, known) in old.adapters {
                        if let Some(a) = held.adapters.get_mut(&adapter) {
                            a.used = known.used;
                            if known.state == State::Unloading {
                                a.state = State::Unloading;
                                self.doubt = Some(now + REPORT_LAG);
                            }
                        }
                    }
                }
                None if loading => {
                    self.models.insert(name, old);
                }
                None => {}
            }
        }
    }

    /// Takes in what became of an order.
    pub(super) fn ordered(&mut self, order: &Order, outcome: Outcome, now: time::Duration) {
        if self.sent == Some(order.id) {
            self.sent = None;
        }
        self.changed = now;
        let taken = matches!(outcome, Outcome::Accepted | Outcome::Holds);
        self.lag = if taken { REPORT_LAG } else { UNSURE_LAG };
        if !taken {
            // Nothing more is ordered before the target has reported. An order
            // that was not answered may be carried out at any later time, until
            // the target accepts another one. Which one comes first shows at
            // that order, since both state the same number of orders before.
            self.accepted = None;
            self.doubt = Some(now + self.lag);
        }
        match (&order.adapter, outcome) {
            (Some(adapter), _) => self.adapter_ordered(order, adapter, outcome, now),
            (None, _) => self.model_ordered(order, outcome, now),
        }
        self.note();
    }

    fn model_ordered(&mut self, order: &Order, outcome: Outcome, now: time::Duration) {
        let Some(held) = self.models.get_mut(&order.model) else {
            return;
        };
        match (order.op, outcome) {
            (_, Outcome::Accepted) => {
                self.accepted = self.accepted.map(|n| n + 1);
                self.busy = true;
            }
            (Op::Load, Outcome::Holds) => held.state = State::Resident,
            (Op::Unload, Outcome::Holds) => {
                self.models.remove(&order.model);
                self.doubt = Some(now + self.lag);
            }
            // A load that was not taken is no longer charged. Why it was not is
            // for the target's report to tell.
            (Op::Load, _) => {
                self.models.remove(&order.model);
                self.busy = true;
                self.doubt = Some(now + self.lag);
            }
            (Op::Unload, _) => {
                held.state = State::Retiring(now + self.lag);
                self.doubt = Some(now + self.lag);
            }
        }
    }

    fn adapter_ordered(
        &mut self,
        order: &Order,
        adapter: &str,
        outcome: Outcome,
        now: time::Duration,
    ) {
        let Some(held) = self.models.get_mut(&order.model) else {
            return;
        };
        match (order.op, outcome) {
            (Op::Load, Outcome::Accepted) => self.accepted = self.accepted.map(|n| n + 1),
            (Op::Load, Outcome::Holds) => {
                if let Some(a) = held.adapters.get_mut(adapter) {
                    a.state = State::Resident;
                }
                self.doubt = Some(now + self.lag);
            }
            (Op::Unload, Outcome::Holds) => {
                self.accepted = self.accepted.map(|n| n + 1);
                held.adapters.remove(adapter);
            }
            // It goes once the requests that use it have ended.
            (Op::Unload, Outcome::Accepted) => {
                self.accepted = self.accepted.map(|n| n + 1);
                self.pause = now + PAUSE;
                self.doubt = Some(now + self.lag);
            }
            (Op::Load, _) => {
                held.adapters.remove(adapter);
                self.pause = now + PAUSE;
                self.doubt = Some(now + self.lag);
            }
            (Op::Unload, _) => {
                if let Some(a) = held.adapters.get_mut(adapter) {
                    *a = HeldAdapter { state: State::Resident, used: now };
                }
                self.pause = now + PAUSE;
                self.doubt = Some(now + self.lag);
            }
        }
    }

    /// Returns how long it takes to load a model here.
    pub(super) fn load_time(&self, model: &catalog::Model) -> time::Duration {
        let usual = if self.copies.contains(&model.name) { model.disk_load } else { model.load };
        if usual.is_zero() { LOAD } else { usual }
    }

    /// Charges a load before it is ordered.
    pub(super) fn charge_model(&mut self, model: &catalog::Model, now: time::Duration) {
        let held = Held {
            state: State::Loading(now + self.load_time(model)),
            since: now,
            adapters: collections::BTreeMap::new(),
        };
        self.models.insert(model.name.clone(), held);
    }

    /// Charges an adapter before it is ordered.
    pub(super) fn charge_adapter(&mut self, want: &Want, memory: u64, now: time::Duration) {
        let Some(name) = &want.adapter else {
            return;
        };
        let size = u32::try_from(memory).unwrap_or(u32::MAX);
        let state = State::Loading(now + ADAPTER_START + ADAPTER_MB.saturating_mul(size));
        if let Some(held) = self.models.get_mut(&want.model) {
            held.adapters.insert(name.clone(), HeldAdapter { state, used: now });
        }
    }

    /// Prepares an order to this target.
    pub(super) fn order(&self, id: u64, fence: u64, op: Op, model: &str) -> Order {
        Order {
            id,
            target: self.id.clone(),
            address: self.address,
            op,
            model: model.to_owned(),
            adapter: None,
            expected: self.accepted,
            fence,
        }
    }

    /// Returns what it holds now, if that changed since the last call.
    pub(super) fn take_note(&mut self) -> Option<directory::Note> {
        self.noted.take()
    }

    /// Notes what it holds now, for everyone to be told.
    pub(super) fn note(&mut self) {
        let serving = self.models.iter().filter(|(_, h)| h.state == State::Resident);
        let holdings = serving.map(|(name, held)| {
            let adapters = held.adapters.iter().filter(|(_, a)| a.state == State::Resident);
            directory::Holding {
                model: name.clone(),
                version: 0,
                adapters: adapters.map(|(name, _)| name.clone()).collect(),
            }
        });
        let holdings = holdings.collect();
        self.noted = Some(directory::Note { id: self.id.clone(), born: self.born, holdings });
    }

    fn adopt(&mut self, holdings: &[directory::Holding], now: time::Duration) {
        for holding in holdings {
            let adapters = holding
                .adapters
                .iter()
                .map(|name| (name.clone(), HeldAdapter { state: State::Resident, used: now }));
            let held = Held { state: State::Resident, since: now, adapters: adapters.collect() };
            self.models.insert(holding.model.clone(), held);
        }
    }
}
