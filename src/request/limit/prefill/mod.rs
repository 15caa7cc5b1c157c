//! Admission of prompts to model engines, by the leading replica.
//!
//! An engine works in steps. Each step gives one token to every stream that runs there and reads
//! up to a chunk of the prompts that wait. While prompts are queued at an engine, every step
//! takes as long as a full chunk, and all streams there pause for several such steps between two
//! events. A queue of prompts so costs more callers their objective than those who wait in it,
//! and many gateways that each see the queues of half a second ago build it together.
//!
//! For services whose routes state the longest pause between events, a gateway therefore asks the
//! leader before it sends a prompt. The leader lets an engine read one prompt at a time, or
//! several short ones that together take no longer than a part of that pause, and chooses among
//! the candidates by what is there now. The other prompts wait at the leader, not in an engine's
//! queue, where they would delay the streams and could no longer go elsewhere. It decides who is
//! next when an engine is free:
//!
//! - The more urgent first, by the priority of the workspace and then that of the route.
//! - Among these, first those whose first event can still be on time.
//! - Among these, the workspace that was given least, in tokens (start-time fair queueing). A
//!   workspace that sends many times its usual delays its own requests; what others do not use
//!   it may use.
//! - Each [`LEAST_URGENT_INTERVAL`]th prompt at an engine is one of the least urgent there, so
//!   that they are not shut out.
//!
//! A request that would wait longer than it can is denied at once, with the estimated wait.
//!
//! This serves up to a few hundred engines that read a prompt in 20 to 500 ms, from a hundred
//! gateways. The alternatives: *a bound at each gateway, by reports*, lets a hundred gateways
//! send to the same free engine between two reports; *an order of the engine's own* protects
//! urgent prompts, not the streams that run; *a higher bound on the prompts at an engine* has
//! longer steps.
//!
//! None of this is in the log. A new leader does not know which prompts earlier ones let through,
//! so an engine may have one more for a moment. While no leader answers, gateways admit requests
//! by their own estimates (see [`admit`](crate::request::gateway::admit)).

mod fair;
mod reading;
mod target;

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::version::{census::GatewayId, raft};

use self::{fair::FairClock, target::Target};
use super::place::{Answer, Candidate, PlaceReply, PlaceRequest, PlaceUpdate, Progress};

/// One of this many prompts that an engine gets is of the least urgent that wait there.
pub const LEAST_URGENT_INTERVAL: u32 = 20;

/// Longest wait that is stated in a denial.
const MAX_DENIAL: time::Duration = time::Duration::from_secs(3);

/// Upper limit of the read rate of an engine, as a multiple of the median of its service.
const MAX_SPEEDUP: f64 = 3.0;

/// How long an engine without prompts is remembered, with the rate at which it reads them.
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// What a request for a model engine adds to a [`PlaceRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Workspace of the caller; empty if it has none.
    pub workspace: String,
    /// For each candidate, the tokens of the prompt that the engine has yet to read.
    pub tokens: Vec<u32>,
    /// For each candidate, the delay that does not depend on prompts there.
    pub delays: Vec<time::Duration>,
    /// How long the request can wait and still have its first event on time.
    pub slack: time::Duration,
    /// Longest time that an engine should read prompts in one piece.
    pub window: time::Duration,
}

impl Prefill {
    /// Returns the tokens that the candidate with this index has yet to read.
    fn tokens_at(&self, index: usize) -> u32 {
        self.tokens.get(index).copied().unwrap_or(0)
    }
}

/// A place at a gateway, by gateway and number.
type Permit = (GatewayId, u64);

/// An incarnation of a target.
type Incarnation = (String, u64);

/// Place of a request among those that wait: the lowest is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    priority: u32,
    late: bool,
    /// Virtual time at which the part of its workspace begins.
    start: u64,
    call: u64,
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Waiter {
    request: PlaceRequest,
    prefill: Prefill,
    order: Order,
    /// When the first event can no longer be on time.
    due: time::Duration,
    until: time::Duration,
}

/// The prompts at all engines, and the requests that wait for one.
#[derive(Clone, Debug)]
pub struct Prefills {
    term: raft::Term,
    targets: collections::HashMap<Incarnation, Target>,
    /// Where each place was given.
    given: collections::HashMap<Permit, Incarnation>,
    /// By number of the call.
    waiters: collections::BTreeMap<u64, Waiter>,
    fair: collections::HashMap<String, FairClock>,
}

impl Prefills {
    /// Creates the state of the leader of `term`.
    #[must_use]
    pub fn new(term: raft::Term) -> Self {
        Self {
            term,
            targets: collections::HashMap::new(),
            given: collections::HashMap::new(),
            waiters: collections::BTreeMap::new(),
            fair: collections::HashMap::new(),
        }
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Handles a request, with the number of its call. Returns the reply, or `None` while the
    /// request waits.
    pub fn request(
        &mut self,
        call: u64,
        request: PlaceRequest,
        prefill: Prefill,
        now: time::Duration,
    ) -> Option<PlaceReply> {
        for candidate in &request.candidates {
            let target = self.targets.entry(incarnation(candidate)).or_default();
            target.observe(&request.service, candidate.slots, now);
        }
        let fair = self.fair.entry(request.service.clone()).or_default();
        let start = fair.reserve(&prefill.workspace, least_tokens(&prefill));
        let order = Order { priority: request.priority, late: false, start, call };
        if let Some(index) = self.best_free(&request, &prefill, order, now) {
            self.give(&request, &prefill, index, now);
            self.advance(&request.service, start);
            return Some(self.granted(index));
        }
        let wait = self.expected_wait(&request, now);
        if wait > request.max_wait {
            self.refund(&request.service, &prefill);
            return Some(denied(wait));
        }
        let due = now.saturating_add(prefill.slack);
        let until = now.saturating_add(request.max_wait);
        let waiter = Waiter { request, prefill, order, due, until };
        self.enqueue(waiter, now);
        None
    }

    /// Handles messages of a gateway about its places, and lets the next requests through. A
    /// request that still waits for its own is denied, so that its call ends.
    pub fn update(
        &mut self,
        gateway: GatewayId,
        updates: &[PlaceUpdate],
        now: time::Duration,
    ) -> Vec<Answer> {
        let mut freed = collections::BTreeSet::new();
        let mut answers = Vec::new();
        for PlaceUpdate { permit, progress } in updates {
            let permit = (gateway, *permit);
            let Some(key) = self.given.get(&permit).cloned() else {
                answers.extend(self.cancel(permit));
                continue;
            };
            let Some(target) = self.targets.get_mut(&key) else {
                continue;
            };
            match progress {
                Progress::Output => target.record_output(permit, now),
                Progress::Ended | Progress::Rejected => {
                    target.remove(permit, now);
                    self.given.remove(&permit);
                }
            }
            freed.insert(key);
        }
        answers.extend(freed.into_iter().flat_map(|key| self.serve(&key, now)));
        answers
    }

    /// Handles time-outs. To be called several times a second.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Answer> {
        let expired: Vec<_> =
            self.targets.values_mut().flat_map(|target| target.expire(now)).collect();
        for permit in expired {
            self.given.remove(&permit);
        }
        let wanted = self.targets.iter().filter(|(_, target)| target.next().is_some());
        let keys: Vec<_> = wanted.map(|(key, _)| key.clone()).collect();
        let mut answers: Vec<_> = keys.iter().flat_map(|key| self.serve(key, now)).collect();
        let late: Vec<_> =
            self.waiters.iter().filter(|(_, w)| now >= w.until).map(|(call, _)| *call).collect();
        for call in late {
            if let Some(waiter) = self.dequeue(call) {
                let wait = self.expected_wait(&waiter.request, now);
                self.refund(&waiter.request.service, &waiter.prefill);
                answers.push(Answer { call, reply: denied(wait) });
            }
        }
        self.targets.retain(|_, target| !target.is_unused(now, RETENTION));
        self.limit_rates();
        if self.waiters.is_empty() {
            self.fair.values_mut().for_each(FairClock::forget_idle);
        }
        answers
    }

    /// Limits the rates of the engines of each service by their median: one that answers at once
    /// without reading must not draw all prompts.
    fn limit_rates(&mut self) {
        let mut rates = collections::HashMap::<String, Vec<f64>>::new();
        for target in self.targets.values() {
            rates.entry(target.service().to_owned()).or_default().push(target.learned_rate());
        }
        let mut limits = collections::HashMap::new();
        for (service, mut rates) in rates {
            rates.sort_unstable_by(f64::total_cmp);
            // The lower one of two, so that one of two engines can't set the limit by itself.
            let median =
                rates.get(rates.len().saturating_sub(1) / 2).copied().unwrap_or(f64::INFINITY);
            limits.insert(service, median * MAX_SPEEDUP);
        }
        for target in self.targets.values_mut() {
            let limit = limits.get(target.service()).copied().unwrap_or(f64::INFINITY);
            target.limit_rate(limit);
        }
    }

    fn granted(&self, index: usize) -> PlaceReply {
        let candidate = u32::try_from(index).unwrap_or(u32::MAX);
        PlaceReply::Granted { candidate, term: self.term }
    }

    /// Returns the index of the candidate with room at which the first event is expected first.
    /// One at which a request waits that is before this one has no room for it.
    fn best_free(
        &self,
        request: &PlaceRequest,
        prefill: &Prefill,
        order: Order,
        now: time::Duration,
    ) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for (index, candidate) in request.candidates.iter().enumerate() {
            let tokens = prefill.tokens_at(index);
            let Some(target) = self.targets.get(&incarnation(candidate)) else {
                continue;
            };
            if !target.has_room(tokens, prefill.window, now) || target.is_before(order) {
                continue;
            }
            let delay = prefill.delays.get(index).map_or(0.0, time::Duration::as_secs_f64);
            let expected = delay + target.expected_delay(tokens);
            if best.is_none_or(|(_, least)| expected < least) {
                best = Some((index, expected));
            }
        }
        best.map(|(index, _)| index)
    }

    fn give(
        &mut self,
        request: &PlaceRequest,
        prefill: &Prefill,
        index: usize,
        now: time::Duration,
    ) {
        let Some(candidate) = request.candidates.get(index) else {
            return;
        };
        let key = incarnation(candidate);
        let tokens = prefill.tokens_at(index);
        let permit = (request.gateway, request.permit);
        if let Some(target) = self.targets.get_mut(&key) {
            target.give(permit, tokens, now, now.saturating_add(request.lifetime));
            self.given.insert(permit, key);
        }
    }

    /// Lets requests through that wait for a target, while it has room.
    fn serve(&mut self, key: &Incarnation, now: time::Duration) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some(call) = self.next_at(key, now) {
            let is_due = self.targets.get(key).is_some_and(Target::is_least_urgent_due);
            let Some(waiter) = self.dequeue(call) else {
                return answers;
            };
            let mut candidates = waiter.request.candidates.iter();
            let Some(index) = candidates.position(|c| incarnation(c) == *key) else {
                return answers;
            };
            self.give(&waiter.request, &waiter.prefill, index, now);
            if is_due && let Some(target) = self.targets.get_mut(key) {
                target.restart_interval();
            }
            self.record_admitted(&waiter, now);
            self.advance(&waiter.request.service, waiter.order.start);
            answers.push(Answer { call, reply: self.granted(index) });
        }
        answers
    }

    fn record_admitted(&mut self, waiter: &Waiter, now: time::Duration) {
        for (index, candidate) in waiter.request.candidates.iter().enumerate() {
            if let Some(target) = self.targets.get_mut(&incarnation(candidate)) {
                target.record_admitted(waiter.order.priority, share(&waiter.prefill, index), now);
            }
        }
    }

    /// Returns the call of the request that a target takes next, if it has room for it.
    fn next_at(&mut self, key: &Incarnation, now: time::Duration) -> Option<u64> {
        loop {
            let order = self.targets.get(key)?.next()?;
            let waiter = self.waiters.get(&order.call)?;
            if !order.late && now > waiter.due {
                let mut waiter = self.dequeue(order.call)?;
                waiter.order.late = true;
                self.enqueue(waiter, now);
                continue;
            }
            let index = waiter.request.candidates.iter().position(|c| incarnation(c) == *key)?;
            let tokens = waiter.prefill.tokens_at(index);
            let has_room = self.targets.get(key)?.has_room(tokens, waiter.prefill.window, now);
            return has_room.then_some(order.call);
        }
    }

    fn enqueue(&mut self, waiter: Waiter, now: time::Duration) {
        for (index, candidate) in waiter.request.candidates.iter().enumerate() {
            if let Some(target) = self.targets.get_mut(&incarnation(candidate)) {
                target.enqueue(waiter.order, share(&waiter.prefill, index), now);
            }
        }
        self.waiters.insert(waiter.order.call, waiter);
    }

    fn dequeue(&mut self, call: u64) -> Option<Waiter> {
        let waiter = self.waiters.remove(&call)?;
        for (index, candidate) in waiter.request.candidates.iter().enumerate() {
            if let Some(target) = self.targets.get_mut(&incarnation(candidate)) {
                target.dequeue(waiter.order, share(&waiter.prefill, index));
            }
        }
        Some(waiter)
    }

    fn advance(&mut self, service: &str, start: u64) {
        if let Some(fair) = self.fair.get_mut(service) {
            fair.advance(start);
        }
    }

    fn refund(&mut self, service: &str, prefill: &Prefill) {
        if let Some(fair) = self.fair.get_mut(service) {
            fair.refund(&prefill.workspace, least_tokens(prefill));
        }
    }

    fn cancel(&mut self, permit: Permit) -> Option<Answer> {
        let is_cancelled = |w: &&Waiter| (w.request.gateway, w.request.permit) == permit;
        let call = self.waiters.values().find(is_cancelled)?.order.call;
        let Waiter { request, prefill, .. } = self.dequeue(call)?;
        self.refund(&request.service, &prefill);
        Some(Answer { call, reply: denied(time::Duration::ZERO) })
    }

    /// Estimates how long a request waits for the first of its candidates.
    fn expected_wait(&self, request: &PlaceRequest, now: time::Duration) -> time::Duration {
        let targets = request.candidates.iter().map(|c| self.targets.get(&incarnation(c)));
        let waits = targets.map(|target| Some(target?.expected_wait(request.priority, now)));
        let waits = waits.flatten();
        waits.min().unwrap_or(time::Duration::MAX)
    }
}

fn denied(wait: time::Duration) -> PlaceReply {
    PlaceReply::Denied { wait: wait.min(MAX_DENIAL) }
}

fn incarnation(candidate: &Candidate) -> Incarnation {
    (candidate.target.clone(), candidate.incarnation)
}

/// Returns the tokens that the candidate reads which has most of the prompt cached.
fn least_tokens(prefill: &Prefill) -> u32 {
    prefill.tokens.iter().copied().min().unwrap_or(0)
}

/// Returns the part of a prompt that is expected to be read at one of its candidates.
fn share(prefill: &Prefill, index: usize) -> u32 {
    let candidates = u32::try_from(prefill.tokens.len().max(1)).unwrap_or(u32::MAX);
    prefill.tokens_at(index) / candidates
}
