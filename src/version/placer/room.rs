//! What the placer knows of one target: its models and adapters, and the order
//! that it has not yet answered.

use std::{collections, net, time};

use crate::version::{
    catalog,
    directory::{self, Requirement},
};

use super::late::{LateLoad, LateLoads};

/// Time after the expected end of a model's load at which the target is queried if
/// no announcement has shown the end.
const LOAD_GRACE: time::Duration = time::Duration::from_millis(1_500);

/// Time to load an adapter, without the time that depends on its size.
const ADAPTER_LATENCY: time::Duration = time::Duration::from_millis(8);

/// Time to load one MB of an adapter.
const ADAPTER_TIME_PER_MB: time::Duration = time::Duration::from_micros(200);

/// Longest time by which the content of a target's report may be out of date
/// when the report is sent.
const REPORT_LAG: time::Duration = time::Duration::from_millis(600);

/// Like [`REPORT_LAG`], after an order that was not confirmed. It may be shorter: a
/// stale report gives an outdated count of accepted orders, and the target rejects
/// the next order because of it.
const UNCONFIRMED_LAG: time::Duration = time::Duration::from_millis(200);

/// Load time of a model for which the catalog states none.
const DEFAULT_LOAD_TIME: time::Duration = time::Duration::from_secs(5);

/// How long no adapter is ordered at a target that did not accept an adapter order
/// or can't unload an adapter at once. A target that rejects an order is usually
/// carrying out another one, which takes about as long.
const ADAPTER_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Time after which the list of what a target holds is published again while something is
/// left out that the target still announces.
const UPDATE_RENEWAL: time::Duration =
    directory::UPDATE_PRECEDENCE.checked_div(2).expect("the divisor is not zero");

/// Operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

impl Op {
    /// Returns the value used in logs and metrics.
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
    /// Unique among the orders of one placer.
    pub id: u64,
    /// Id of the target.
    pub target: String,
    /// Address at which the target takes orders.
    pub address: net::SocketAddr,
    /// Operation.
    pub op: Op,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` if the order concerns the model itself.
    pub adapter: Option<String>,
    /// Count of orders that the target must have accepted before this one. With
    /// another count it answers [`Outcome::Conflict`]. `None` leaves the count
    /// unchecked.
    pub expected_accepted: Option<u64>,
    /// Fencing token: the term of the leader that sends the order.
    pub fence: u64,
}

/// Result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target carries it out.
    Accepted,
    /// The requested state held already, or the target completed the order at
    /// once. Only for the unload of an adapter is the count of accepted orders
    /// assumed to have risen.
    Complete,
    /// The target is carrying out another order, or its count of accepted orders
    /// differs from [`Order::expected_accepted`].
    Conflict,
    /// The target has seen a higher fencing token.
    Fenced,
    /// The target rejected the order or could not be reached.
    Refused,
    /// No answer; the target may still carry the order out.
    Unknown,
}

impl Outcome {
    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            // Readers of logs and metrics know the outcome under this name.
            Self::Complete => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// State that a target reports when it is queried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Count of orders that the target has accepted.
    pub accepted: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Resident models and adapters.
    pub holdings: Vec<directory::Holding>,
    /// Adapters that are being loaded, as (model, adapter).
    pub loading_adapters: Vec<(String, String)>,
}

/// Phase of a model or adapter on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It serves requests.
    Resident,
    /// A load was ordered and is expected to end at this time.
    Loading(time::Duration),
    /// No new requests are routed to it; it is to be unloaded at this time.
    Draining(time::Duration),
    /// Its unload was ordered.
    Unloading,
    /// An earlier leader told gateways not to use it, and may have ordered its unload. Until
    /// the target reports that it carries out no order.
    Withheld,
    /// The target told a gateway that it lacks the model or adapter. That response
    /// may be out of date, so the memory stays charged until the target has
    /// reported.
    MissingByResponse,
}

/// A model on a target.
#[derive(Clone, Debug)]
pub(super) struct ModelCopy {
    pub(super) phase: Phase,
    /// When an announcement showed the end of the load. If none did, when the load
    /// was ordered or, without an order of this placer, when a report first showed
    /// the model. Zero if the model was announced when this state was created.
    pub(super) loaded_at: time::Duration,
    pub(super) adapters: collections::BTreeMap<String, AdapterCopy>,
}

/// An adapter on a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterCopy {
    pub(super) phase: Phase,
    /// When a request last needed it, or when this placer ordered its load, first saw
    /// it in a report or failed to unload it, if that was later. Zero if it was
    /// announced when this state was created.
    pub(super) last_used: time::Duration,
}

/// State of one target as far as the placer knows it.
#[derive(Clone, Debug)]
pub struct TargetState {
    pub(super) service: String,
    /// Version of the target's software.
    pub(super) software: String,
    /// Failure domain of the target.
    pub(super) domain: String,
    /// Whether the domain is being evacuated, so that the target gets no orders and its copies
    /// count as missing.
    pub(super) evacuated: bool,
    pub(super) address: net::SocketAddr,
    pub(super) incarnation: u64,
    /// Memory for weights and adapters, in MB.
    pub(super) memory: u64,
    pub(super) adapter_slots: u32,
    id: String,
    /// Count of orders that the target has accepted; `None` until it has reported
    /// and after an order that was not confirmed.
    pub(super) accepted: Option<u64>,
    pub(super) models: collections::BTreeMap<String, ModelCopy>,
    /// Id of the order that was sent and not yet answered.
    pub(super) pending_order: Option<u64>,
    /// Whether the target carries out a model order, or may do so until its next
    /// report.
    pub(super) busy: bool,
    /// Models that load without the weight store.
    pub(super) cached_models: collections::BTreeSet<String>,
    pub(super) last_query: time::Duration,
    /// Set after adapter orders that were not accepted or are not complete; see
    /// [`ADAPTER_PAUSE`].
    pub(super) no_adapter_order_before: time::Duration,
    /// Model for which memory is being freed, and until when no other model is
    /// loaded.
    pub(super) reserved: Option<(String, time::Duration)>,
    /// From when on the target is to be queried, if its state is uncertain.
    query_due: Option<time::Duration>,
    /// When the latest order was answered or timed out; older reports are stale.
    answered_at: time::Duration,
    /// Reports that arrive sooner than this after `answered_at` are ignored.
    report_lag: time::Duration,
    /// Loads that were not answered and may still be carried out.
    late_loads: LateLoads,
    pending_update: Option<directory::HoldingsUpdate>,
    /// When the latest update was taken.
    updated_at: time::Duration,
}

impl TargetState {
    pub(super) fn new(
        announced: &directory::AnnouncedTarget,
        holdings: &[directory::Holding],
        engine: &catalog::Engine,
        now: time::Duration,
    ) -> Self {
        let mut target = Self {
            id: announced.id.clone(),
            service: announced.service.clone(),
            software: announced.software.clone(),
            domain: announced.domain.clone(),
            evacuated: false,
            address: announced.address,
            incarnation: announced.incarnation,
            memory: engine.memory_mb,
            adapter_slots: engine.adapter_slots,
            accepted: None,
            models: collections::BTreeMap::new(),
            pending_order: None,
            busy: false,
            cached_models: collections::BTreeSet::new(),
            last_query: time::Duration::ZERO,
            no_adapter_order_before: time::Duration::ZERO,
            reserved: None,
            query_due: Some(now),
            answered_at: time::Duration::ZERO,
            report_lag: REPORT_LAG,
            late_loads: LateLoads::default(),
            pending_update: None,
            updated_at: time::Duration::ZERO,
        };
        // `loaded_at` is zero: these models may have been resident for long.
        target.add_holdings(holdings, time::Duration::ZERO);
        for (model, copy) in &mut target.models {
            if !announced.holdings.iter().any(|h| h.model == *model) {
                copy.phase = Phase::Withheld;
            }
        }
        target
    }

    /// Follows the failure domains that are being evacuated. When the evacuation of this target
    /// begins, the evictions planned here are dropped, as nothing is loaded in their place. When
    /// it ends, the target is queried.
    pub(super) fn follow_evacuations(
        &mut self,
        domains: &collections::BTreeSet<String>,
        now: time::Duration,
    ) {
        let evacuated = domains.contains(&self.domain);
        if self.evacuated == evacuated {
            return;
        }
        self.evacuated = evacuated;
        if !evacuated {
            self.query_due = Some(now);
            return;
        }
        self.reserved = None;
        let mut kept = false;
        for copy in self.models.values_mut() {
            if matches!(copy.phase, Phase::Draining(_)) {
                copy.phase = Phase::Resident;
                kept = true;
            }
        }
        if kept {
            self.queue_update();
        }
    }

    /// Returns true if the model is resident.
    pub(super) fn holds_model(&self, model: &str) -> bool {
        self.models.get(model).is_some_and(|c| c.phase == Phase::Resident)
    }

    /// Returns true if the required model and adapter are resident.
    pub(super) fn holds(&self, requirement: &Requirement) -> bool {
        let Some(copy) = self.models.get(&requirement.model).filter(|c| c.phase == Phase::Resident)
        else {
            return false;
        };
        requirement
            .adapter
            .as_ref()
            .is_none_or(|a| copy.adapters.get(a).is_some_and(|a| a.phase == Phase::Resident))
    }

    /// Records that a request needs the adapter, if it is on this target.
    pub(super) fn mark_used(&mut self, requirement: &Requirement, now: time::Duration) {
        if let Some(copy) = self.models.get_mut(&requirement.model) {
            let adapter = requirement.adapter.as_ref().and_then(|a| copy.adapters.get_mut(a));
            if let Some(adapter) = adapter {
                adapter.last_used = now;
            }
        }
    }

    /// Records that requests need those adapters for which `is_used` returns true. Its
    /// arguments are the names of service, model and adapter.
    pub(super) fn mark_all_used(
        &mut self,
        is_used: impl Fn(&str, &str, &str) -> bool,
        now: time::Duration,
    ) {
        for (model, copy) in &mut self.models {
            for (name, adapter) in &mut copy.adapters {
                if is_used(&self.service, model, name) {
                    adapter.last_used = now;
                }
            }
        }
    }

    /// Records that the target told a gateway that it lacks the model or adapter. If
    /// that was recorded as resident, the target is queried.
    pub(super) fn mark_missing(&mut self, requirement: &Requirement, now: time::Duration) {
        if !self.holds(requirement) {
            return;
        }
        let Some(copy) = self.models.get_mut(&requirement.model) else {
            return;
        };
        match &requirement.adapter {
            Some(adapter) => {
                if let Some(adapter) = copy.adapters.get_mut(adapter) {
                    adapter.phase = Phase::MissingByResponse;
                }
            }
            None => copy.phase = Phase::MissingByResponse,
        }
        self.query_due = Some(now);
        self.queue_update();
    }

    /// Returns the memory charged for models and adapters, in MB. `model` looks up a
    /// model by its name; one that is unknown is charged the whole memory.
    pub(super) fn charged<'m>(&self, model: impl Fn(&str) -> Option<&'m catalog::Model>) -> u64 {
        let charge = |(name, copy): (&String, &ModelCopy)| {
            let adapters = u64::try_from(copy.adapters.len()).unwrap_or(u64::MAX);
            model(name).map_or(self.memory, |m| {
                m.weights_mb.saturating_add(adapters.saturating_mul(m.adapter_mb))
            })
        };
        let late_charge = |load: &LateLoad| {
            let mb = |m: &catalog::Model| match load.adapter {
                Some(_) => m.adapter_mb,
                None => m.weights_mb,
            };
            model(&load.model).map_or(self.memory, mb)
        };
        let late = self.uncharged_late_loads().map(late_charge);
        self.models.iter().map(charge).chain(late).fold(0, u64::saturating_add)
    }

    /// Returns the loads that may still be carried out, of what is not charged already.
    pub(super) fn uncharged_late_loads(&self) -> impl Iterator<Item = &LateLoad> {
        self.late_loads.iter().filter(|load| {
            let copy = self.models.get(&load.model);
            let adapter = load.adapter.as_ref();
            !copy.is_some_and(|copy| adapter.is_none_or(|a| copy.adapters.contains_key(a)))
        })
    }

    /// Returns how many adapter slots are charged.
    pub(super) fn adapter_count(&self) -> u32 {
        let count: usize = self.models.values().map(|c| c.adapters.len()).sum();
        let late = self.uncharged_late_loads().filter(|load| load.adapter.is_some()).count();
        u32::try_from(count + late).unwrap_or(u32::MAX)
    }

    /// Returns true if the target can take an order: its count of accepted orders
    /// is known and no order is outstanding.
    pub(super) fn is_idle(&self) -> bool {
        self.accepted.is_some() && !self.busy && self.pending_order.is_none()
    }

    /// Returns true if the target is to be queried.
    pub(super) fn needs_query(&self, now: time::Duration) -> bool {
        let overdue = |phase: &Phase| match phase {
            Phase::Loading(at) => now >= at.saturating_add(LOAD_GRACE),
            _ => false,
        };
        self.query_due.is_some_and(|due| now >= due)
            || self.models.values().any(|c| overdue(&c.phase))
            || self.runs_unknown_order()
    }

    /// Returns true if the target is busy with an order that this placer did not
    /// send, such as one of an earlier leader. Only a report shows when it ends.
    fn runs_unknown_order(&self) -> bool {
        let is_ordered = |c: &ModelCopy| matches!(c.phase, Phase::Loading(_) | Phase::Unloading);
        self.busy && !self.models.values().any(is_ordered)
    }

    /// Applies an announcement, which shows when a load or unload of a model has
    /// ended.
    pub(super) fn apply_announcement(
        &mut self,
        announced: &directory::AnnouncedTarget,
        holdings: &[directory::Holding],
        now: time::Duration,
    ) {
        self.cached_models = announced.cached_models.iter().cloned().collect();
        for holding in holdings {
            let Some(copy) = self.models.get_mut(&holding.model) else {
                continue;
            };
            if matches!(copy.phase, Phase::Loading(_)) {
                copy.phase = Phase::Resident;
                copy.loaded_at = now;
                self.busy = false;
                self.queue_update();
            }
        }
        let is_announced = |model: &str| holdings.iter().any(|h| h.model == model);
        let is_gone = |name: &str, copy: &ModelCopy| {
            matches!(copy.phase, Phase::Unloading | Phase::Withheld) && !is_announced(name)
        };
        if self.models.iter().any(|(n, c)| is_gone(n, c)) {
            self.models.retain(|name, copy| !is_gone(name, copy));
            self.busy = false;
        }
    }

    /// Marks adapters as resident whose expected load time has passed, and queues an update
    /// while the target announces what it is about to unload.
    pub(super) fn tick(&mut self, now: time::Duration) {
        let mut became_resident = false;
        for copy in self.models.values_mut() {
            for adapter in copy.adapters.values_mut() {
                if matches!(adapter.phase, Phase::Loading(at) if now >= at) {
                    adapter.phase = Phase::Resident;
                    became_resident = true;
                }
            }
        }
        let renewal = self.withholds() && now >= self.updated_at + UPDATE_RENEWAL;
        if became_resident || renewal {
            self.queue_update();
        }
    }

    /// Returns true if the target is being relieved of a model or adapter, which it announces
    /// until its last requests have ended.
    fn withholds(&self) -> bool {
        let leaves = |phase: &Phase| {
            matches!(phase, Phase::Draining(_) | Phase::Unloading | Phase::Withheld)
        };
        let copies = self.models.values();
        copies.clone().any(|c| leaves(&c.phase))
            || copies.flat_map(|c| c.adapters.values()).any(|a| leaves(&a.phase))
    }

    /// Applies the target's report; `None` if the target did not answer.
    pub(super) fn apply_report(&mut self, report: Option<TargetReport>, now: time::Duration) {
        let Some(report) = report else {
            return;
        };
        // The report may have been written before the latest order was answered.
        if self.pending_order.is_some() || now < self.answered_at + self.report_lag {
            return;
        }
        self.query_due = None;
        self.accepted = Some(report.accepted);
        self.late_loads.settle(report.accepted, now);
        self.busy = report.busy;
        let previous = std::mem::take(&mut self.models);
        self.add_holdings(&report.holdings, now);
        for (model, adapter) in report.loading_adapters {
            if let Some(copy) = self.models.get_mut(&model) {
                let phase = Phase::Loading(now + ADAPTER_LATENCY);
                copy.adapters.entry(adapter).or_insert(AdapterCopy { phase, last_used: now });
            }
        }
        self.merge_previous(previous, now);
        self.queue_update();
    }

    /// Keeps what a report does not show: when models were loaded and adapters last
    /// used, and the orders in progress.
    fn merge_previous(
        &mut self,
        previous_models: collections::BTreeMap<String, ModelCopy>,
        now: time::Duration,
    ) {
        for (name, previous) in previous_models {
            let loading = matches!(previous.phase, Phase::Loading(_)) && self.busy;
            let being_removed = matches!(previous.phase, Phase::Unloading | Phase::Draining(_))
                || (previous.phase == Phase::Withheld && self.busy);
            match self.models.get_mut(&name) {
                Some(copy) => {
                    copy.loaded_at = previous.loaded_at;
                    if being_removed {
                        copy.phase = previous.phase;
                    }
                    for (adapter, previous_adapter) in previous.adapters {
                        if let Some(a) = copy.adapters.get_mut(&adapter) {
                            a.last_used = previous_adapter.last_used;
                            if previous_adapter.phase == Phase::Unloading {
                                a.phase = Phase::Unloading;
                                self.query_due = Some(now + REPORT_LAG);
                            }
                        }
                    }
                }
                None if loading => {
                    self.models.insert(name, previous);
                }
                None => {}
            }
        }
    }

    /// Applies the outcome of an order.
    pub(super) fn apply_outcome(&mut self, order: &Order, outcome: Outcome, now: time::Duration) {
        if self.pending_order == Some(order.id) {
            self.pending_order = None;
        }
        self.answered_at = now;
        let confirmed = matches!(outcome, Outcome::Accepted | Outcome::Complete);
        self.report_lag = if confirmed { REPORT_LAG } else { UNCONFIRMED_LAG };
        self.late_loads.record(order, outcome, now);
        if !confirmed {
            // No further order is sent before the target has reported. An order
            // without an answer may be carried out at any later time, until the
            // target accepts another one. Since both state the same count of
            // accepted orders, the target takes only the one that comes first.
            self.accepted = None;
            self.query_due = Some(now + self.report_lag);
        }
        match (&order.adapter, outcome) {
            (Some(adapter), _) => self.apply_adapter_outcome(order, adapter, outcome, now),
            (None, _) => self.apply_model_outcome(order, outcome, now),
        }
        self.queue_update();
    }

    fn apply_model_outcome(&mut self, order: &Order, outcome: Outcome, now: time::Duration) {
        let Some(copy) = self.models.get_mut(&order.model) else {
            return;
        };
        match (order.op, outcome) {
            (_, Outcome::Accepted) => {
                self.accepted = self.accepted.map(|n| n.saturating_add(1));
                self.busy = true;
            }
            (Op::Load, Outcome::Complete) => copy.phase = Phase::Resident,
            (Op::Unload, Outcome::Complete) => {
                self.models.remove(&order.model);
                self.query_due = Some(now + self.report_lag);
            }
            // A load that was not accepted is no longer charged. The target is
            // treated as busy until its report shows the reason.
            (Op::Load, _) => {
                self.models.remove(&order.model);
                self.busy = true;
                self.query_due = Some(now + self.report_lag);
            }
            // An unload that was not accepted is ordered again after the next report.
            (Op::Unload, _) => {
                copy.phase = Phase::Draining(now + self.report_lag);
                self.query_due = Some(now + self.report_lag);
            }
        }
    }

    fn apply_adapter_outcome(
        &mut self,
        order: &Order,
        adapter: &str,
        outcome: Outcome,
        now: time::Duration,
    ) {
        let Some(copy) = self.models.get_mut(&order.model) else {
            return;
        };
        match (order.op, outcome) {
            (Op::Load, Outcome::Accepted) => {
                self.accepted = self.accepted.map(|n| n.saturating_add(1));
            }
            (Op::Load, Outcome::Complete) => {
                if let Some(a) = copy.adapters.get_mut(adapter) {
                    a.phase = Phase::Resident;
                }
                self.query_due = Some(now + self.report_lag);
            }
            (Op::Unload, Outcome::Complete) => {
                self.accepted = self.accepted.map(|n| n.saturating_add(1));
                copy.adapters.remove(adapter);
            }
            // The target removes the adapter once its requests have ended.
            (Op::Unload, Outcome::Accepted) => {
                self.accepted = self.accepted.map(|n| n.saturating_add(1));
                self.no_adapter_order_before = now + ADAPTER_PAUSE;
                self.query_due = Some(now + self.report_lag);
            }
            (Op::Load, _) => {
                copy.adapters.remove(adapter);
                self.no_adapter_order_before = now + ADAPTER_PAUSE;
                self.query_due = Some(now + self.report_lag);
            }
            (Op::Unload, _) => {
                if let Some(a) = copy.adapters.get_mut(adapter) {
                    *a = AdapterCopy { phase: Phase::Resident, last_used: now };
                }
                self.no_adapter_order_before = now + ADAPTER_PAUSE;
                self.query_due = Some(now + self.report_lag);
            }
        }
    }

    /// Returns how long this target takes to load a model.
    pub(super) fn load_time(&self, model: &catalog::Model) -> time::Duration {
        let stated = if self.cached_models.contains(&model.name) {
            model.disk_load
        } else {
            model.store_load
        };
        if stated.is_zero() { DEFAULT_LOAD_TIME } else { stated }
    }

    /// Charges a model before its load is ordered.
    pub(super) fn charge_model(&mut self, model: &catalog::Model, now: time::Duration) {
        let copy = ModelCopy {
            phase: Phase::Loading(now.saturating_add(self.load_time(model))),
            loaded_at: now,
            adapters: collections::BTreeMap::new(),
        };
        self.models.insert(model.name.clone(), copy);
    }

    /// Charges an adapter before its load is ordered.
    pub(super) fn charge_adapter(
        &mut self,
        requirement: &Requirement,
        memory: u64,
        now: time::Duration,
    ) {
        let Some(name) = &requirement.adapter else {
            return;
        };
        let megabytes = u32::try_from(memory).unwrap_or(u32::MAX);
        let phase =
            Phase::Loading(now + ADAPTER_LATENCY + ADAPTER_TIME_PER_MB.saturating_mul(megabytes));
        if let Some(copy) = self.models.get_mut(&requirement.model) {
            copy.adapters.insert(name.clone(), AdapterCopy { phase, last_used: now });
        }
    }

    /// Builds an order for a model on this target.
    pub(super) fn new_order(&self, id: u64, fence: u64, op: Op, model: &str) -> Order {
        Order {
            id,
            target: self.id.clone(),
            address: self.address,
            op,
            model: model.to_owned(),
            adapter: None,
            expected_accepted: self.accepted,
            fence,
        }
    }

    /// Returns the queued update, if there is one.
    pub(super) fn take_update(&mut self, now: time::Duration) -> Option<directory::HoldingsUpdate> {
        let update = self.pending_update.take()?;
        self.updated_at = now;
        Some(update)
    }

    /// Queues an update with the resident models and adapters, which replaces an
    /// earlier one.
    pub(super) fn queue_update(&mut self) {
        let resident = self.models.iter().filter(|(_, c)| c.phase == Phase::Resident);
        let holdings = resident.map(|(name, copy)| {
            let adapters = copy.adapters.iter().filter(|(_, a)| a.phase == Phase::Resident);
            directory::Holding {
                model: name.clone(),
                // The version of the weights is unknown here.
                version: 0,
                adapters: adapters.map(|(name, _)| name.clone()).collect(),
            }
        });
        let holdings = holdings.collect();
        self.pending_update = Some(directory::HoldingsUpdate {
            id: self.id.clone(),
            incarnation: self.incarnation,
            holdings,
        });
    }

    fn add_holdings(&mut self, holdings: &[directory::Holding], now: time::Duration) {
        for holding in holdings {
            let adapters = holding
                .adapters
                .iter()
                .map(|name| (name.clone(), AdapterCopy { phase: Phase::Resident, last_used: now }));
            let copy =
                ModelCopy { phase: Phase::Resident, loaded_at: now, adapters: adapters.collect() };
            self.models.insert(holding.model.clone(), copy);
        }
    }
}
