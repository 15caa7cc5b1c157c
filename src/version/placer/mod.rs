//! Placement of models and adapters on announced targets, by orders that each
//! target confirms.
//!
//! The leading replica runs one [`Placer`]. It keeps a [`room::TargetState`] per
//! target: what is resident there and what was ordered.
//!
//! An order states how many orders the target must have accepted before it, and
//! orders of different leaders carry different fencing tokens. An order without
//! an answer may be carried out seconds later, but only until the target accepts
//! another one; if it comes first, the other one is rejected. So no order is
//! carried out on a state that it was not meant for, and memory need not stay
//! charged for orders with an unknown outcome. A new leader needs no log of
//! earlier orders: it queries the state of each target and continues from there.
//!
//! The placer performs no I/O. It serves deployments in which the demand for
//! models shifts within seconds and a target holds few models.

mod adapter;
mod bound;
mod late;
mod model;
pub mod room;
mod survey;

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use super::{
    catalog,
    directory::{self, Requirement},
    traffic,
    view::Presence,
};

pub use self::room::{Op, Order, Outcome, TargetReport};
use self::room::{Phase, TargetState};

/// Longest time that a request waits for a model or adapter.
const MAX_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// Shortest time between two queries of one target.
const QUERY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Query the state of a target, and pass the answer to
    /// [`Placer::handle_report`].
    QueryTarget {
        /// Id of the target.
        target: String,
        /// Address at which it takes queries.
        address: net::SocketAddr,
    },
    /// Send an order, and pass its outcome to [`Placer::handle_outcome`].
    SendOrder(Order),
    /// Tell every replica and gateway what is now resident on a target.
    PublishHoldings(directory::HoldingsUpdate),
    /// Answer a request made with [`Placer::handle_placement_request`].
    Answer {
        /// Id that the caller gave to the request.
        id: u64,
        /// Where or when the model or adapter is available.
        availability: Availability,
    },
}

/// Where or when a model or adapter is available.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// Resident on the target with this id.
    At(String),
    /// Not available in time; a load of the model would end after about this time.
    Soon(time::Duration),
    /// Not available in time, and there is no estimate.
    Nowhere,
}

impl Availability {
    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::At(_) => "at",
            Self::Soon(_) => "soon",
            Self::Nowhere => "nowhere",
        }
    }
}

/// Request of a gateway for a target with a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Model or adapter that is needed.
    pub requirement: Requirement,
    /// Software version that the target must have; `None` for any.
    pub software: Option<String>,
    /// Failure domains that the target must be in one of; empty for any.
    pub domains: Vec<String>,
    /// Overloaded targets; the answer must be another one.
    pub exclude: Vec<String>,
    /// Longest time that the answer is of use.
    pub max_wait: time::Duration,
}

impl PlacementRequest {
    /// Returns true if the target has the required software version, in a required domain.
    fn fits(&self, target: &TargetState) -> bool {
        self.software.as_ref().is_none_or(|s| *s == target.software)
            && (self.domains.is_empty() || self.domains.contains(&target.domain))
    }
}

/// A request that is not answered yet.
#[derive(Clone, Debug)]
struct Waiter {
    id: u64,
    request: PlacementRequest,
    since: time::Duration,
}

/// Decides which models and adapters are resident on which targets.
#[derive(Debug)]
pub struct Placer {
    /// Fencing token of all orders: the leader's term.
    fence: u64,
    /// No order is sent before this time: orders of an earlier leader may still
    /// arrive.
    send_after: time::Duration,
    targets: collections::BTreeMap<String, TargetState>,
    /// Requests without an answer, by what they need.
    waiters: collections::BTreeMap<Requirement, Vec<Waiter>>,
    /// Requests at targets by what they need, in the latest report.
    running: collections::BTreeMap<Requirement, u32>,
    /// Models that requests need at a software version or in some failure domains.
    bound: bound::BoundModels,
    store_bucket: model::LoadBucket,
    /// Failure domains that are being evacuated.
    evacuated: collections::BTreeSet<String>,
    last_id: u64,
}

impl Placer {
    /// Starts at `now` with a fencing token higher than any used before. No order
    /// is sent within the `takeover_delay`.
    #[must_use]
    pub fn new(fence: u64, now: time::Duration, takeover_delay: time::Duration) -> Self {
        Self {
            fence,
            send_after: now + takeover_delay,
            targets: collections::BTreeMap::new(),
            waiters: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            bound: bound::BoundModels::default(),
            store_bucket: model::LoadBucket::default(),
            evacuated: collections::BTreeSet::new(),
            last_id: 0,
        }
    }

    /// Sets the failure domains that are being evacuated. Copies there count as missing, and
    /// targets there get no orders. To be called before each other call.
    pub fn set_evacuated<'d>(
        &mut self,
        domains: impl IntoIterator<Item = &'d str>,
        now: time::Duration,
    ) {
        let domains: collections::BTreeSet<_> =
            domains.into_iter().map(ToOwned::to_owned).collect();
        if self.evacuated == domains {
            return;
        }
        self.evacuated = domains;
        for target in self.targets.values_mut() {
            target.follow_evacuations(&self.evacuated, now);
        }
    }

    /// Follows the directory and the traffic, and plans. To be called several times
    /// a second.
    pub fn tick(
        &mut self,
        directory: &directory::Directory,
        traffic: &traffic::Report,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        self.sync_targets(directory, catalog, now);
        self.record_use(traffic, now);
        self.bound.expire(now);
        let updates = self.targets.values_mut().filter_map(|target| target.take_update(now));
        let mut actions: Vec<_> = updates.map(Action::PublishHoldings).collect();
        actions.extend(self.query_targets(now));
        if now >= self.send_after {
            for service in &catalog.services {
                actions.extend(self.plan_service(service, traffic, now));
            }
        }
        actions.extend(self.answer_all_waiters(catalog, now));
        actions
    }

    /// Adds a request for a model or adapter. `missing_at` lists the targets that
    /// answered a gateway that they lack it.
    pub fn handle_placement_request(
        &mut self,
        id: u64,
        request: PlacementRequest,
        missing_at: &[String],
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        for id in missing_at {
            if let Some(target) = self.targets.get_mut(id) {
                target.mark_missing(&request.requirement, now);
            }
        }
        let requirement = request.requirement.clone();
        self.bound.record(&request, now);
        let waiter = Waiter { id, request, since: now };
        let (waiting, actions) = self.answer_waiters(&requirement, vec![waiter], catalog, now);
        self.waiters.entry(requirement).or_default().extend(waiting);
        actions
    }

    /// Handles a target's report; `None` if the target did not answer.
    pub fn handle_report(
        &mut self,
        id: &str,
        report: Option<TargetReport>,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(target) = self.targets.get_mut(id) else {
            return Vec::new();
        };
        target.apply_report(report, now);
        target.take_update(now).map(Action::PublishHoldings).into_iter().collect()
    }

    /// Handles the outcome of an order.
    pub fn handle_outcome(
        &mut self,
        order: &Order,
        outcome: Outcome,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(target) = self.targets.get_mut(&order.target) else {
            return Vec::new();
        };
        target.apply_outcome(order, outcome, now);
        let update = target.take_update(now).map(Action::PublishHoldings);
        // Other requests are not affected: an adapter is loaded where its model is.
        let affected: Vec<_> = target
            .models
            .keys()
            .flat_map(|model| waiting_for_model(&self.waiters, &target.service, model))
            .collect();
        let mut actions: Vec<_> = update.into_iter().collect();
        for requirement in affected {
            actions.extend(self.answer_waiters_for(requirement, catalog, now));
        }
        actions
    }

    /// Adds targets that are new in the directory, and drops those that are gone,
    /// have restarted or have moved.
    fn sync_targets(
        &mut self,
        directory: &directory::Directory,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) {
        self.targets.retain(|id, target| {
            directory.get(id).is_some_and(|a| {
                a.presence == Presence::Up
                    && a.incarnation == target.incarnation
                    && a.software == target.software
                    && a.address == target.address
            })
        });
        let live = directory.announced_holdings().filter(|(a, _)| a.presence == Presence::Up);
        for (announced, holdings) in live {
            let engine = catalog.service(&announced.service).and_then(|s| s.engine.as_ref());
            let Some(engine) = engine else {
                continue;
            };
            let target = self
                .targets
                .entry(announced.id.clone())
                .or_insert_with(|| TargetState::new(announced, holdings, engine, now));
            target.follow_evacuations(&self.evacuated, now);
            target.apply_announcement(announced, holdings, now);
            target.tick(now);
        }
    }

    /// Records the use of adapters that have requests at targets. Mere demand does
    /// not count as use: otherwise some adapters with waiting requests would never
    /// get a slot.
    fn record_use(&mut self, traffic: &traffic::Report, now: time::Duration) {
        let running = traffic.demands.iter().filter(|d| d.running > 0);
        let used: collections::HashSet<_> = running
            .clone()
            .filter_map(|d| Some((d.service.as_str(), d.model.as_str(), d.adapter.as_deref()?)))
            .collect();
        let requirement = |d: &traffic::Demand| Requirement {
            service: d.service.clone(),
            model: d.model.clone(),
            adapter: d.adapter.clone(),
        };
        self.running = running.map(|d| (requirement(d), d.running)).collect();
        for target in self.targets.values_mut() {
            target.mark_all_used(
                |service, model, adapter| used.contains(&(service, model, adapter)),
                now,
            );
        }
    }

    /// Queries the targets whose state is uncertain.
    fn query_targets(&mut self, now: time::Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, target) in &mut self.targets {
            if !target.evacuated
                && target.needs_query(now)
                && now >= target.last_query + QUERY_INTERVAL
            {
                target.last_query = now;
                actions.push(Action::QueryTarget { target: id.clone(), address: target.address });
            }
        }
        actions
    }

    fn answer_all_waiters(
        &mut self,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        let requirements: Vec<_> = self.waiters.keys().cloned().collect();
        let mut actions = Vec::new();
        for requirement in requirements {
            actions.extend(self.answer_waiters_for(requirement, catalog, now));
        }
        actions
    }

    /// Answers the waiting requests for one model or adapter as far as possible.
    fn answer_waiters_for(
        &mut self,
        requirement: Requirement,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        let waiters = self.waiters.remove(&requirement).unwrap_or_default();
        let (waiting, actions) = self.answer_waiters(&requirement, waiters, catalog, now);
        if !waiting.is_empty() {
            self.waiters.insert(requirement, waiting);
        }
        actions
    }

    /// Answers those of `waiters`, which all have the same requirement, that are met or
    /// can't be met in time, and orders the adapter for the others. Returns the others.
    fn answer_waiters(
        &mut self,
        requirement: &Requirement,
        waiters: Vec<Waiter>,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> (Vec<Waiter>, Vec<Action>) {
        let holders = self.holders(requirement);
        // Waiters that need the same version in the same domains wait for the same time.
        let mut expected_waits = collections::HashMap::new();
        let mut waiting = Vec::new();
        let mut actions = Vec::new();
        for waiter in waiters {
            let available_in = *expected_waits
                .entry((waiter.request.software.clone(), waiter.request.domains.clone()))
                .or_insert_with(|| self.expected_wait(&waiter.request, catalog, now));
            match self.answer_for(&waiter, &holders, available_in, now) {
                Some(availability) => {
                    actions.push(Action::Answer { id: waiter.id, availability });
                }
                None => waiting.push(waiter),
            }
        }
        if requirement.adapter.is_some() && now >= self.send_after {
            let mut tried: Vec<(&[String], Option<&str>, &[String])> = Vec::new();
            for Waiter { request, .. } in &waiting {
                // The result depends only on what is excluded.
                let PlacementRequest { exclude, software, domains, .. } = request;
                let excluded = (exclude.as_slice(), software.as_deref(), domains.as_slice());
                if !tried.contains(&excluded) {
                    tried.push(excluded);
                    actions.extend(self.order_adapter(request, catalog, now));
                }
            }
        }
        (waiting, actions)
    }

    /// Answers a request, or returns `None` if it should go on waiting. `holders` are
    /// the targets that hold what it needs, `available_in` the expected wait.
    fn answer_for(
        &mut self,
        waiter: &Waiter,
        holders: &[String],
        available_in: Option<time::Duration>,
        now: time::Duration,
    ) -> Option<Availability> {
        let PlacementRequest { requirement, exclude, max_wait, .. } = &waiter.request;
        let suits = |id: &&String| {
            !exclude.contains(id) && self.targets.get(*id).is_some_and(|t| waiter.request.fits(t))
        };
        if let Some(id) = holders.iter().find(suits) {
            if let Some(target) = self.targets.get_mut(id) {
                target.mark_used(requirement, now);
            }
            return Some(Availability::At(id.clone()));
        }
        let useful_until = waiter.since.saturating_add(*max_wait);
        let in_time = available_in.is_none_or(|wait| now.saturating_add(wait) <= useful_until);
        let keep_waiting = in_time && now < waiter.since + (*max_wait).min(MAX_WAIT);
        (!keep_waiting).then(|| available_in.map_or(Availability::Nowhere, Availability::Soon))
    }

    /// Returns how long it takes until some target that fits the request holds the model, or
    /// `None` if that is not known or a target holds it already. An adapter then loads within
    /// the time of a request.
    fn expected_wait(
        &self,
        request: &PlacementRequest,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let requirement = &request.requirement;
        let model = catalog.service(&requirement.service)?.model(&requirement.model)?;
        let of_service = self.targets.values().filter(|t| t.service == requirement.service);
        let targets = of_service.filter(|t| request.fits(t) && !t.evacuated);
        let phases =
            targets.clone().filter_map(|t| t.models.get(&requirement.model)).map(|c| c.phase);
        if phases.clone().any(|p| p == Phase::Resident) {
            return None;
        }
        let loading = phases.filter_map(|phase| match phase {
            Phase::Loading(at) => Some(at.saturating_sub(now)),
            _ => None,
        });
        loading.min().or_else(|| targets.map(|t| t.load_time(model)).min())
    }

    /// Returns the ids of the targets that hold what is required.
    fn holders(&self, requirement: &Requirement) -> Vec<String> {
        let targets = self.targets.iter().filter(|(_, t)| t.service == requirement.service);
        let usable = targets.filter(|(_, t)| !t.evacuated && t.holds(requirement));
        usable.map(|(id, _)| id.clone()).collect()
    }

    fn next_order_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Returns what is needed by the waiting requests for a model or one of its adapters.
fn waiting_for_model(
    waiters: &collections::BTreeMap<Requirement, Vec<Waiter>>,
    service: &str,
    model: &str,
) -> Vec<Requirement> {
    let first = Requirement { service: service.to_owned(), model: model.to_owned(), adapter: None };
    let of_model = |r: &&Requirement| r.service == service && r.model == model;
    waiters.range(&first..).map(|(r, _)| r).take_while(of_model).cloned().collect()
}
