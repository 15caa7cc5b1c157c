//! The time line: what each process did, in an order that respects causes.
//!
//! A process keeps its latest events in memory and hands them out on request.
//! The operator's command merges those of all processes by their stamps.

use std::{collections, sync};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::clock;

/// Events kept by a process.
const MAX_EVENTS: usize = 4_096;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The process started.
    Started {
        /// Its version.
        version: String,
    },
    /// The process began a planned stop.
    Stopping,
    /// The replica began to lead.
    Leading {
        /// Term.
        term: u64,
    },
    /// The replica stopped leading.
    Following {
        /// Term.
        term: u64,
    },
    /// A change of the view was committed.
    Committed {
        /// Index in the log.
        index: u64,
        /// What it changed.
        change: String,
    },
    /// A command was refused.
    Refused {
        /// Index in the log.
        index: u64,
        /// Why.
        reason: String,
    },
    /// The entry's view reached an index.
    InForce {
        /// Index in the log.
        index: u64,
    },
    /// The entry's view is no longer fresh; it refuses requests.
    Fenced,
    /// The entry's view is fresh again.
    Unfenced,
    /// An order was sent to a target.
    Ordered {
        /// Target.
        target: String,
        /// What was ordered.
        order: String,
        /// Fencing number.
        fence: u64,
    },
    /// A target failed with requests in flight.
    TargetFailed {
        /// Target.
        target: String,
    },
    /// A request was retried elsewhere.
    Retried {
        /// Request id.
        request: String,
        /// Target that failed.
        target: String,
    },
    /// A call that may not be repeated was dispatched.
    Dispatched {
        /// Request id.
        request: String,
        /// Target.
        target: String,
    },
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, on the hybrid clock.
    pub stamp: clock::Stamp,
    /// Where.
    pub process: String,
    /// What.
    pub kind: Kind,
}

/// The latest events of this process.
#[derive(Debug)]
pub struct Timeline {
    process: String,
    clock: sync::Arc<clock::Clock>,
    events: Mutex<collections::VecDeque<Event>>,
}

impl Timeline {
    /// Creates an empty time line of the process with this name.
    #[must_use]
    pub fn new(process: &str, clock: sync::Arc<clock::Clock>) -> Self {
        Self { process: process.to_owned(), clock, events: Mutex::default() }
    }

    /// Notes an event.
    pub fn record(&self, kind: Kind) {
        let event = Event { stamp: self.clock.stamp(), process: self.process.clone(), kind };
        let mut events = self.events.lock();
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the events kept.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().iter().cloned().collect()
    }
}

/// Merges the events of several processes.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events.dedup();
    events
}
