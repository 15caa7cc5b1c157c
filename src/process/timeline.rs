//! Time line: the events of all processes in causal order, for operators.
//!
//! Each process keeps its latest events in memory and returns them on request. The
//! `timeline` command merges the events of all processes by their timestamps.

use std::{collections, sync};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::clock;

/// Maximum number of events that a process keeps.
const MAX_EVENTS: usize = 4_096;

/// Kind of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The process started.
    Started {
        /// Version of the program.
        version: String,
    },
    /// The process began to shut down.
    Stopping,
    /// The replica became the leader.
    Leading {
        /// Raft term.
        term: u64,
    },
    /// The replica became a follower.
    Following {
        /// Raft term.
        term: u64,
    },
    /// A change of the view was committed and applied.
    Committed {
        /// Log index of the change.
        index: u64,
        /// Description of the change.
        change: String,
    },
    /// A change of the view was committed and refused when it was applied.
    Refused {
        /// Log index of the change.
        index: u64,
        /// Error message.
        reason: String,
    },
    /// The view of an entry process reached a log index.
    InForce {
        /// Log index of the view.
        index: u64,
    },
    /// The view of an entry process is no longer fresh, so it refuses requests.
    Fenced,
    /// The view of an entry process is fresh again.
    Unfenced,
    /// An order was sent to a target.
    Ordered {
        /// Name of the target.
        target: String,
        /// Verb and item of the order.
        order: String,
        /// Fencing token.
        fence: u64,
    },
    /// A target failed with requests in flight.
    TargetFailed {
        /// Name of the target.
        target: String,
    },
    /// A request is retried after a target failed.
    Retried {
        /// Request id.
        request: String,
        /// Name of the target that failed.
        target: String,
    },
    /// A non-idempotent request was sent to a target.
    Dispatched {
        /// Request id.
        request: String,
        /// Name of the target.
        target: String,
    },
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the process's hybrid logical clock.
    pub stamp: clock::Stamp,
    /// Name of the process.
    pub process: String,
    /// What happened.
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

    /// Records an event with the current time. The oldest event is dropped if there are
    /// more than 4,096.
    pub fn record(&self, kind: Kind) {
        let event = Event { stamp: self.clock.stamp(), process: self.process.clone(), kind };
        let mut events = self.events.lock();
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the events, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().iter().cloned().collect()
    }
}

/// Sorts the events of several processes by time, and removes duplicates.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events.dedup();
    events
}
