//! Places at targets that must not be overfilled.
//!
//! A brittle target fails when it must reject too many requests for lack of room. Many
//! gateways send to it, and each knows the requests of the others only up to half a second
//! late, so none can tell whether there is room. While the targets of a service are
//! brittle, a gateway therefore asks the leading replica for a *place* at one of them before
//! each request, and releases it when the request has ended.
//!
//! The leader gives as many places as the target runs requests at once, and a few more, so
//! that it need not wait for the next one. An engine reads prompts one after the other and
//! keeps only some requests waiting for that, so after a rejection only some of the places
//! there may be those of requests without output. A rejection lowers both numbers to what
//! the target took, and from then on they grow again, slowly enough that what is rejected
//! meanwhile stays far below what the target bears. A rejection by a target that is half
//! empty, or that has nearly no request without output, has another reason and changes
//! nothing.
//!
//! A request that finds no place waits at the leader, the more urgent ones first, or is
//! denied at once if it would wait too long. A place that is not released in time is free
//! again.
//!
//! None of this is in the log. A new leader does not know which places were given, and
//! gateways that could not ask have none. So the requests that gateways report to be at a
//! target without a place of this leader count as well.
//!
//! This serves targets with six to sixty places, from a hundred gateways. The alternatives:
//! *a part of the places for each gateway* needs no calls, but a part of six places for a
//! hundred gateways is less than one; *sending less after each rejection* has been shown
//! to come too late, since targets fail within the second in which they are overfilled.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use hornbeamdock::request::limit::place::{Candidate, PlaceReply, PlaceRequest, Places};
//!
//! let candidate = Candidate { target: "app-1".into(), incarnation: 7, slots: 6 };
//! let request = PlaceRequest {
//!     gateway: 1,
//!     permit: 40,
//!     service: "app".into(),
//!     candidates: vec![candidate],
//!     priority: 0,
//!     states_output: false,
//!     rejection_limit: 3.0,
//!     lifetime: Duration::from_secs(2),
//!     max_wait: Duration::ZERO,
//!     prefill: None,
//! };
//! let mut places = Places::new(3);
//! let replies = places.request(1, request, |_| 0, Duration::ZERO);
//! assert_eq!(replies[0].reply, PlaceReply::Granted { candidate: 0, term: 3 });
//! ```

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::prefill;
use crate::version::{census::GatewayId, raft};

/// Places given beyond the requests that a target runs at once, as a fraction of these; at
/// least one.
const EXTRA_PLACES: f64 = 0.125;

/// Least part of the places that is given, however much a target rejects.
const MIN_PLACES: f64 = 0.5;

/// Least part of the places that requests without output may hold, however much a target
/// rejects.
const MIN_OUTPUT_PLACES: f64 = 0.125;

/// Fraction of the rejections that a target bears by which its places may grow in the same
/// time.
const GROWTH: f64 = 0.25;

/// Longest time until one place more is given.
const MAX_GROWTH_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// How long a target without places given is remembered.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// Time over which the releases of a service are counted.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Longest time for which a denied request is told to wait.
const MAX_DENIAL: time::Duration = time::Duration::from_secs(3);

/// A target at which a request could be served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Id of the target.
    pub target: String,
    /// Start time of the target, as it announced.
    pub incarnation: u64,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// A gateway's request for a place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The gateway.
    pub gateway: GatewayId,
    /// Identifies the place at the gateway.
    pub permit: u64,
    /// Name of the service of all candidates.
    pub service: String,
    /// Targets, the best first. Not empty.
    pub candidates: Vec<Candidate>,
    /// Rank among the requests that wait; zero is the most urgent.
    pub priority: u32,
    /// Whether the gateway tells when the output begins.
    pub states_output: bool,
    /// Rejections a second that the targets bear.
    pub rejection_limit: f64,
    /// Time after which the place is free again if it is not released.
    pub lifetime: time::Duration,
    /// How long the request can wait for a place.
    pub max_wait: time::Duration,
    /// Present if the place is one at a model engine that reads prompts one after the other, and
    /// is given by [`Prefills`](super::prefill::Prefills).
    #[serde(skip)]
    pub prefill: Option<prefill::Prefill>,
}

/// Reply to a [`PlaceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// The request may be sent to this candidate.
    Granted {
        /// Index in the request.
        candidate: u32,
        /// Term of the leader.
        term: raft::Term,
    },
    /// No place is free in time.
    Denied {
        /// Estimated time until one is.
        wait: time::Duration,
    },
}

/// What became of the request that holds a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Its output has begun.
    Output,
    /// It has ended, and the place is released.
    Ended,
    /// The target rejected it for lack of room, and the place is released.
    Rejected,
}

/// A gateway's message about a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceUpdate {
    /// The place, as in the request for it.
    pub permit: u64,
    /// What became of its request.
    pub progress: Progress,
}

/// A reply to an earlier request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Number of the call, as given with the request.
    pub call: u64,
    /// The reply.
    pub reply: PlaceReply,
}

/// A target as a gateway knows it that can't ask the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalCandidate {
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Requests of all gateways there, as far as is known.
    pub running: u32,
    /// Requests of this gateway there.
    pub own: u32,
}

/// Returns the index of the first target at which a gateway may send a request without the
/// leader: within its part of the places, one of `gateways`, but for one request at a time.
#[must_use]
pub fn local_place(candidates: &[LocalCandidate], gateways: u32) -> Option<usize> {
    let has_place =
        |c: &LocalCandidate| c.running < c.slots && c.own < (c.slots / gateways.max(1)).max(1);
    candidates.iter().position(has_place)
}

/// A number that falls at a rejection and grows again.
#[derive(Clone, Copy, Debug, Default)]
struct AdaptiveLimit {
    /// `None` without a rejection lately.
    lowered: Option<u32>,
    grows_at: time::Duration,
}

impl AdaptiveLimit {
    fn get(&self, most: u32) -> u32 {
        self.lowered.map_or(most, |lowered| lowered.min(most))
    }

    /// Records a rejection while `taken` others of `most` were taken. Fewer than `least`
    /// are not the reason for it.
    fn lower(&mut self, taken: u32, least: u32, most: u32, grows_at: time::Duration) {
        if taken >= least {
            self.lowered = Some(taken.min(self.get(most)));
            self.grows_at = grows_at;
        }
    }

    fn tick(&mut self, most: u32, interval: time::Duration, now: time::Duration) {
        if let Some(lowered) = self.lowered.filter(|_| now >= self.grows_at) {
            self.lowered = Some(lowered.saturating_add(1)).filter(|grown| *grown < most);
            self.grows_at = now + interval;
        }
    }
}

/// A place that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    /// When it is free again.
    until: time::Duration,
    /// Whether its request waits for the target to begin its output.
    awaits_output: bool,
}

/// The requests that hold a place at one target.
#[derive(Clone, Debug, Default)]
struct Room {
    service: String,
    slots: u32,
    given: collections::BTreeMap<(GatewayId, u64), Given>,
    /// Requests there without a place, as gateways reported.
    unplaced: u32,
    /// Rejections a second that the target bears.
    rejection_limit: f64,
    /// Bounds all requests there.
    limit: AdaptiveLimit,
    /// Bounds those without output, if their gateways tell.
    output_limit: AdaptiveLimit,
    used_at: time::Duration,
}

#[derive(Clone, Debug)]
struct Waiter {
    call: u64,
    request: PlaceRequest,
    until: time::Duration,
}

/// Waiting requests of a service, by priority and arrival, and its recent releases.
#[derive(Clone, Debug, Default)]
struct Queue {
    waiters: collections::BTreeMap<(u32, u64), Waiter>,
    released: collections::VecDeque<time::Duration>,
}

/// The places at all brittle targets.
#[derive(Clone, Debug)]
pub struct Places {
    /// Term of this leader.
    term: raft::Term,
    rooms: collections::BTreeMap<(String, u64), Room>,
    queues: collections::BTreeMap<String, Queue>,
    arrivals: u64,
}

impl Room {
    /// Returns true if there is room for a request that `states_output` or does not.
    fn has_room(&self, states_output: bool) -> bool {
        let awaiting = self.awaiting_output();
        self.taken() < self.limit.get(self.most())
            && (!states_output || awaiting < self.output_limit.get(self.most()))
    }

    /// Returns how many requests are there.
    fn taken(&self) -> u32 {
        count(self.given.len()).saturating_add(self.unplaced)
    }

    fn most(&self) -> u32 {
        self.slots.saturating_add(whole(f64::from(self.slots) * EXTRA_PLACES).max(1))
    }

    /// Returns a part of all places; at least one.
    fn part(&self, fraction: f64) -> u32 {
        whole(f64::from(self.most()) * fraction).max(1)
    }

    /// Returns the time until one place more is given after a rejection.
    fn growth_interval(&self) -> time::Duration {
        let rate = self.rejection_limit * GROWTH;
        let interval = time::Duration::try_from_secs_f64(1.0 / rate);
        interval.map_or(MAX_GROWTH_INTERVAL, |i| i.min(MAX_GROWTH_INTERVAL))
    }

    fn awaiting_output(&self) -> u32 {
        count(self.given.values().filter(|g| g.awaits_output).count())
    }

    /// Records that the target rejected a request whose place was `given`.
    fn record_rejection(&mut self, given: Given, now: time::Duration) {
        let grows_at = now + self.growth_interval();
        let most = self.most();
        if given.awaits_output {
            let least = self.part(MIN_OUTPUT_PLACES);
            self.output_limit.lower(self.awaiting_output(), least, most, grows_at);
        }
        self.limit.lower(self.taken(), self.part(MIN_PLACES), most, grows_at);
    }

    fn tick(&mut self, unplaced: u32, now: time::Duration) {
        self.unplaced = unplaced;
        self.given.retain(|_, given| now < given.until);
        let most = self.most();
        let interval = self.growth_interval();
        self.limit.tick(most, interval, now);
        self.output_limit.tick(most, interval, now);
        if !self.given.is_empty() {
            self.used_at = now;
        }
    }
}

impl Places {
    /// Creates the places of the leader of `term`.
    #[must_use]
    pub fn new(term: raft::Term) -> Self {
        Self {
            term,
            rooms: collections::BTreeMap::new(),
            queues: collections::BTreeMap::new(),
            arrivals: 0,
        }
    }

    /// Returns the term of the leader.
    #[must_use]
    pub fn term(&self) -> raft::Term {
        self.term
    }

    /// Handles a request, with the number of its call. `unplaced` returns the requests at a
    /// target without a place of this leader, as gateways report. Returns the reply, or
    /// nothing while the request waits.
    pub fn request(
        &mut self,
        call: u64,
        request: PlaceRequest,
        unplaced: impl Fn(&str) -> u32,
        now: time::Duration,
    ) -> Vec<Answer> {
        for candidate in &request.candidates {
            let key = (candidate.target.clone(), candidate.incarnation);
            let room = self.rooms.entry(key).or_insert_with(|| Room {
                service: request.service.clone(),
                unplaced: unplaced(&candidate.target),
                ..Room::default()
            });
            room.slots = candidate.slots;
            room.rejection_limit = request.rejection_limit;
            room.used_at = now;
        }
        if let Some(candidate) = self.give(&request, now) {
            return vec![Answer { call, reply: self.granted(candidate) }];
        }
        let wait = self.expected_wait(&request, now);
        if wait > request.max_wait {
            return vec![Answer { call, reply: PlaceReply::Denied { wait } }];
        }
        self.arrivals += 1;
        let order = (request.priority, self.arrivals);
        let queue = self.queues.entry(request.service.clone()).or_default();
        let until = now + request.max_wait;
        queue.waiters.insert(order, Waiter { call, request, until });
        Vec::new()
    }

    /// Handles messages of a gateway about its places, and gives those that are released to
    /// requests that wait. A request that still waits for its own is dropped.
    pub fn update(
        &mut self,
        gateway: GatewayId,
        updates: &[PlaceUpdate],
        now: time::Duration,
    ) -> Vec<Answer> {
        let mut services = collections::BTreeSet::new();
        for PlaceUpdate { permit, progress } in updates {
            let key = (gateway, *permit);
            let Some(room) = self.rooms.values_mut().find(|r| r.given.contains_key(&key)) else {
                self.cancel(key);
                continue;
            };
            services.insert(room.service.clone());
            if *progress == Progress::Output {
                room.given.entry(key).and_modify(|given| given.awaits_output = false);
                continue;
            }
            if let Some(given) = room.given.remove(&key)
                && *progress == Progress::Rejected
            {
                room.record_rejection(given, now);
            }
            let queue = self.queues.entry(room.service.clone()).or_default();
            queue.released.push_back(now);
        }
        services.into_iter().flat_map(|service| self.serve(&service, now)).collect()
    }

    /// Handles time-outs. `unplaced` is as in [`Self::request`]. To be called several times
    /// a second.
    pub fn tick(&mut self, unplaced: impl Fn(&str) -> u32, now: time::Duration) -> Vec<Answer> {
        for ((target, _), room) in &mut self.rooms {
            room.tick(unplaced(target), now);
        }
        self.rooms.retain(|_, room| now < room.used_at + RETENTION);
        let services: Vec<_> = self.queues.keys().cloned().collect();
        let mut answers = Vec::new();
        for service in services {
            answers.extend(self.serve(&service, now));
            answers.extend(self.deny_late(&service, now));
        }
        self.queues.retain(|_, q| !q.waiters.is_empty() || !q.released.is_empty());
        answers
    }

    fn cancel(&mut self, (gateway, permit): (GatewayId, u64)) {
        let is_cancelled = |w: &Waiter| w.request.gateway == gateway && w.request.permit == permit;
        for queue in self.queues.values_mut() {
            queue.waiters.retain(|_, waiter| !is_cancelled(waiter));
        }
    }

    /// Gives the first candidate with a free place; returns its index.
    fn give(&mut self, request: &PlaceRequest, now: time::Duration) -> Option<u32> {
        for (index, candidate) in request.candidates.iter().enumerate() {
            let key = (candidate.target.clone(), candidate.incarnation);
            let room = self.rooms.get_mut(&key);
            if let Some(room) = room.filter(|r| r.has_room(request.states_output)) {
                let until = now + request.lifetime;
                let given = Given { until, awaits_output: request.states_output };
                room.given.insert((request.gateway, request.permit), given);
                return Some(count(index));
            }
        }
        None
    }

    fn granted(&self, candidate: u32) -> PlaceReply {
        PlaceReply::Granted { candidate, term: self.term }
    }

    /// Gives free places of a service to requests that wait.
    fn serve(&mut self, service: &str, now: time::Duration) -> Vec<Answer> {
        let Some(mut queue) = self.queues.remove(service) else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        queue.waiters.retain(|_, waiter| {
            let Some(candidate) = self.give(&waiter.request, now) else {
                return true;
            };
            answers.push(Answer { call: waiter.call, reply: self.granted(candidate) });
            false
        });
        self.queues.insert(service.to_owned(), queue);
        answers
    }

    /// Denies the requests of a service that have waited as long as they can.
    fn deny_late(&mut self, service: &str, now: time::Duration) -> Vec<Answer> {
        let Some(queue) = self.queues.get_mut(service) else {
            return Vec::new();
        };
        while queue.released.front().is_some_and(|at| now > *at + RATE_WINDOW) {
            queue.released.pop_front();
        }
        let late: Vec<_> = queue.waiters.extract_if(.., |_, w| now >= w.until).collect();
        let denied = late.into_iter().map(|(_, waiter)| {
            let wait = self.expected_wait(&waiter.request, now);
            Answer { call: waiter.call, reply: PlaceReply::Denied { wait } }
        });
        denied.collect()
    }

    /// Estimates how long a request waits for a place, by the requests before it and the
    /// places released lately.
    fn expected_wait(&self, request: &PlaceRequest, now: time::Duration) -> time::Duration {
        let Some(queue) = self.queues.get(&request.service) else {
            return time::Duration::ZERO;
        };
        let last = (request.priority, u64::MAX);
        let ahead = count(queue.waiters.range(..=last).count());
        let released = queue.released.iter().filter(|at| now <= **at + RATE_WINDOW).count();
        let rate = f64::from(count(released).max(1)) / RATE_WINDOW.as_secs_f64();
        let wait = time::Duration::from_secs_f64(f64::from(ahead) / rate);
        wait.min(MAX_DENIAL)
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number")]
fn whole(number: f64) -> u32 {
    number as u32
}
