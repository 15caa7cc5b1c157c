//! Messages that wait for one connection, bounded in bytes.
//!
//! Built for a connection that takes nothing for seconds while 300 gateways synchronize: what
//! waits must not use up the memory of the process. What is out of date first is dropped first:
//! loads, then announcements and other state that is repeated, then messages of the log, which
//! are sent again as well. Departures are never dropped. Messages leave in the opposite order. A bound on their number, which this replaces,
//! let 4,096 sums of 3,000 loads wait.

use std::collections;

/// Kinds of messages, the ones that leave first and are dropped last first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Departures of targets, and others that may be told only once.
    Departure,
    /// Messages of the log.
    Log,
    /// Announcements, holdings and streams.
    State,
    /// Loads of targets, which are out of date after a quarter of a second.
    Loads,
}

/// Messages that wait.
///
/// # Examples
///
/// ```
/// use hornbeamdock::connection::outbox::{Class, Outbox};
///
/// let mut outbox = Outbox::new(10);
/// assert_eq!(outbox.push(Class::Loads, 6, "loads"), 0);
/// assert_eq!(outbox.push(Class::State, 3, "announcement"), 0);
/// assert_eq!(outbox.push(Class::Log, 5, "entries"), 1);
/// assert_eq!(outbox.pop(), Some("entries"));
/// assert_eq!(outbox.pop(), Some("announcement"));
/// assert_eq!(outbox.pop(), None);
/// ```
#[derive(Clone, Debug)]
pub struct Outbox<T> {
    queues: collections::BTreeMap<Class, collections::VecDeque<(usize, T)>>,
    bytes: usize,
    max_bytes: usize,
}

impl<T> Outbox<T> {
    /// Creates an empty queue of at most this many bytes. Departures count, but are never dropped,
    /// so that they may exceed it.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { queues: collections::BTreeMap::new(), bytes: 0, max_bytes }
    }

    /// Returns the bytes that wait.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a message of this many bytes, and returns how many were dropped, which may include
    /// it. One that is larger than the whole queue is added if nothing else waits.
    pub fn push(&mut self, class: Class, bytes: usize, message: T) -> usize {
        self.queues.entry(class).or_default().push_back((bytes, message));
        self.bytes += bytes;
        let mut dropped = 0;
        while self.bytes > self.max_bytes && self.len() > 1 && self.drop_one() {
            dropped += 1;
        }
        dropped
    }

    /// Returns the message to send next.
    pub fn pop(&mut self) -> Option<T> {
        let (bytes, message) =
            self.queues.values_mut().find_map(collections::VecDeque::pop_front)?;
        self.bytes -= bytes;
        Some(message)
    }

    /// Drops all messages but departures.
    pub fn clear(&mut self) {
        self.queues.retain(|class, _| *class == Class::Departure);
        self.bytes = self.queues.values().flatten().map(|(bytes, _)| bytes).sum();
    }

    fn len(&self) -> usize {
        self.queues.values().map(collections::VecDeque::len).sum()
    }

    /// Drops the oldest message of the class that is dropped first; of the log the latest one,
    /// since the ones before it are needed for it. Returns false if there is none.
    fn drop_one(&mut self) -> bool {
        let mut queues = self.queues.iter_mut().rev();
        let Some((class, queue)) = queues.find(|(_, queue)| !queue.is_empty()) else {
            return false;
        };
        let dropped = match class {
            Class::Departure => None,
            Class::Log => queue.pop_back(),
            Class::State | Class::Loads => queue.pop_front(),
        };
        let bytes = dropped.as_ref().map(|(bytes, _)| *bytes);
        self.bytes -= bytes.unwrap_or_default();
        bytes.is_some()
    }
}
