//! Memory for the bodies of requests: whose body is read, and whose request is refused.
//!
//! A gateway keeps the body of each request until that is over, as another target may need
//! it. The load that this answers is a burst of requests with large bodies, each within the
//! limit of one body, that together exceed the memory of the instance; senders that are slow
//! on purpose or by a bad link; and large bodies among many of middle size.
//!
//! - All bodies share a budget. A length that the caller states is promised as a whole before
//!   the body is read, so a body that was begun can be completed. If every body took bytes
//!   only as they arrive, a burst would fill the budget with parts, and none would complete.
//! - A promise lapses after [`PROMISE_TIME`]. From then on, as without a stated length, the
//!   body counts with what has arrived, so slow senders hold only what they have sent.
//! - A request that finds no room waits for a short time, unread, the most urgent first and
//!   then in order of arrival. None is let past another that waits and is as urgent. Smaller
//!   bodies would otherwise take all that becomes free, and a large one would never be read.
//! - Less urgent requests may fill only a part of the budget, so the more urgent ones find
//!   room at once.
//!
//! A body larger than its part of the budget is read while no other is counted. Small bodies
//! are not the concern of this module; the caller of it does not count them.
//!
//! Alternatives: [`naive::Naive`] without a budget takes the memory of all bodies at once, and
//! with one it refuses large bodies for as long as smaller ones fill it, and urgent ones as
//! often as others.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use hornbeamdock::request::gateway::intake::{Decision, Event, Intake, Need};
//!
//! let mut intake = Intake::new(4 << 20);
//! let need = Need { bytes: 3 << 20, urgency: 0, max_wait: Duration::from_secs(1) };
//! let now = Duration::ZERO;
//! assert_eq!(intake.handle(Event::Requested { id: 1, need }, now), [Decision::Granted { id: 1 }]);
//! assert_eq!(intake.handle(Event::Requested { id: 2, need }, now), []);
//! assert_eq!(intake.handle(Event::Ended { id: 1 }, now), [Decision::Granted { id: 2 }]);
//! ```

pub mod naive;

use std::{collections, time};

/// Time in which a body is counted with its whole length, whatever has arrived.
pub const PROMISE_TIME: time::Duration = time::Duration::from_secs(2);

/// Identifies a body at one gateway.
pub type BodyId = u64;

/// What a request needs for its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Bytes that its caller states; zero if none are stated.
    pub bytes: usize,
    /// Priority of the request; zero is the most urgent.
    pub urgency: u32,
    /// How long it may wait for room.
    pub max_wait: time::Duration,
}

/// Input of an [`Intake`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request with a body has arrived.
    Requested {
        /// Not used before.
        id: BodyId,
        /// What it needs.
        need: Need,
    },
    /// More of a granted body has arrived and may be kept only if this is granted.
    Arrived {
        /// The body.
        id: BodyId,
        /// Bytes of it so far.
        bytes: usize,
    },
    /// The body is no longer kept, or its request no longer waits.
    Ended {
        /// The body.
        id: BodyId,
    },
    /// Time has passed.
    Tick,
}

/// Output of an [`Intake`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The body may be read, or what has arrived of it may be kept.
    Granted {
        /// The body.
        id: BodyId,
    },
    /// The request is refused, and what has arrived of its body is not kept.
    Refused {
        /// The body.
        id: BodyId,
    },
}

/// A body that is read or kept.
#[derive(Clone, Copy, Debug)]
struct Body {
    urgency: u32,
    arrived: usize,
    /// Bytes that count; at least those that have arrived.
    counted: usize,
}

/// A request that waits for room.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    bytes: usize,
    until: time::Duration,
}

/// Decides whose bodies are kept in the memory of one gateway.
#[derive(Debug)]
pub struct Intake {
    budget: usize,
    counted: usize,
    bodies: collections::HashMap<BodyId, Body>,
    /// When promises lapse, in this order.
    promises: collections::VecDeque<(time::Duration, BodyId)>,
    /// By urgency, then by arrival.
    waiting: collections::BTreeMap<(u32, u64), (BodyId, Waiting)>,
    waiting_bytes: usize,
    arrivals: u64,
}

impl Intake {
    /// Returns an intake for bodies of `budget` bytes in all.
    #[must_use]
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            counted: 0,
            bodies: collections::HashMap::new(),
            promises: collections::VecDeque::new(),
            waiting: collections::BTreeMap::new(),
            waiting_bytes: 0,
            arrivals: 0,
        }
    }

    /// Returns the bytes that count towards the budget.
    #[must_use]
    pub fn counted_bytes(&self) -> usize {
        self.counted
    }

    /// Handles an event. Decisions may concern other bodies than the event does.
    pub fn handle(&mut self, event: Event, now: time::Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.lapse(now);
        match event {
            Event::Requested { id, need } => self.enqueue(id, need, now),
            Event::Arrived { id, bytes } => decisions.extend(self.grow(id, bytes)),
            Event::Ended { id } => self.end(id),
            Event::Tick => {}
        }
        self.expire(now, &mut decisions);
        self.grant(now, &mut decisions);
        self.bound(&mut decisions);
        decisions
    }

    /// Counts bodies whose promise has lapsed with what has arrived.
    fn lapse(&mut self, now: time::Duration) {
        while let Some((_, id)) = self.promises.pop_front_if(|(at, _)| *at <= now) {
            if let Some(body) = self.bodies.get_mut(&id) {
                self.counted -= body.counted - body.arrived;
                body.counted = body.arrived;
            }
        }
    }

    fn enqueue(&mut self, id: BodyId, need: Need, now: time::Duration) {
        self.arrivals += 1;
        // A larger body takes the whole budget.
        let bytes = need.bytes.min(self.budget);
        self.waiting_bytes += bytes;
        let waiting = Waiting { bytes, until: now + need.max_wait };
        self.waiting.insert((need.urgency, self.arrivals), (id, waiting));
    }

    fn grow(&mut self, id: BodyId, bytes: usize) -> Option<Decision> {
        let body = self.bodies.get(&id)?;
        let more = bytes.saturating_sub(body.counted);
        if !self.fits(more, body.urgency, body.counted) {
            self.end(id);
            return Some(Decision::Refused { id });
        }
        let body = self.bodies.get_mut(&id)?;
        body.arrived = bytes;
        body.counted += more;
        self.counted += more;
        Some(Decision::Granted { id })
    }

    fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.counted -= body.counted;
        } else if let Some(place) =
            self.waiting.iter().find(|(_, (waiting, _))| *waiting == id).map(|(place, _)| *place)
        {
            self.remove_waiting(place);
        }
    }

    fn remove_waiting(&mut self, place: (u32, u64)) -> Option<BodyId> {
        let (id, waiting) = self.waiting.remove(&place)?;
        self.waiting_bytes -= waiting.bytes;
        Some(id)
    }

    /// Refuses the requests that have waited for too long.
    fn expire(&mut self, now: time::Duration, decisions: &mut Vec<Decision>) {
        let late = |(_, waiting): &(BodyId, Waiting)| waiting.until < now;
        let places: Vec<_> =
            self.waiting.iter().filter(|(_, w)| late(w)).map(|(place, _)| *place).collect();
        for place in places {
            decisions.extend(self.remove_waiting(place).map(|id| Decision::Refused { id }));
        }
    }

    /// Grants the first of those that wait for as long as there is room. The others wait
    /// behind it even if they fit.
    fn grant(&mut self, now: time::Duration, decisions: &mut Vec<Decision>) {
        while let Some((place, (id, waiting))) = self.waiting.first_key_value() {
            let (place, id, bytes) = (*place, *id, waiting.bytes);
            if !self.fits(bytes, place.0, 0) {
                return;
            }
            self.remove_waiting(place);
            self.counted += bytes;
            self.bodies.insert(id, Body { urgency: place.0, arrived: 0, counted: bytes });
            self.promises.push_back((now + PROMISE_TIME, id));
            decisions.push(Decision::Granted { id });
        }
    }

    /// Refuses the last of those that wait while a whole budget waits before it, since there
    /// will not be room for it in time. Its own size does not matter: a large body would
    /// otherwise be refused wherever smaller ones wait.
    fn bound(&mut self, decisions: &mut Vec<Decision>) {
        while let Some((place, (_, last))) = self.waiting.last_key_value()
            && self.waiting_bytes - last.bytes >= self.budget
        {
            let place = *place;
            decisions.extend(self.remove_waiting(place).map(|id| Decision::Refused { id }));
        }
    }

    /// Returns whether there is room for `more` bytes of a body that counts with `own` so far.
    fn fits(&self, more: usize, urgency: u32, own: usize) -> bool {
        more == 0 || self.counted == own || self.counted.saturating_add(more) <= self.part(urgency)
    }

    /// Returns the part of the budget that requests of this urgency may fill.
    fn part(&self, urgency: u32) -> usize {
        match urgency {
            0 => self.budget,
            1 => self.budget / 4 * 3,
            _ => self.budget / 2,
        }
    }
}
