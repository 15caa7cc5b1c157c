//! The in-memory log of a replica: a snapshot followed by consecutive entries.
//!
//! Indices have no gaps. The first entry after a snapshot at index `i` has
//! index `i + 1`, so a lookup is one subtraction. Entries that the snapshot
//! covers are dropped, so memory is bounded by the rate of commands times the
//! snapshot interval.

use std::sync;

use serde::{Deserialize, Serialize};

use super::message;

/// An election term; never decreases on a replica.
pub type Term = u64;

/// Index of an entry in the log; the first entry has index 1.
pub type Index = u64;

/// Term and index of an entry. The default, with both zero, precedes the first
/// entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term in which the entry was appended.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by each new leader, so that an entry of its own term commits and
    /// earlier entries with it.
    Noop,
    /// Encoded command for the replicated state machine.
    Command(Vec<u8>),
    /// New membership. A replica uses it as soon as it has appended the entry.
    Members(message::Members),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub position: Position,
    /// Content of the entry.
    pub payload: Payload,
}

/// State of the replicated state machine at one position of the log, with the
/// membership at that position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot includes.
    pub position: Position,
    /// Membership as of that position.
    pub members: message::Members,
    /// Encoded state; empty before the first entry.
    pub data: sync::Arc<Vec<u8>>,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log. The first entry, if any, must directly follow the snapshot.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self { snapshot, entries }
    }

    /// Returns the snapshot that the entries follow.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the position of the last entry, or of the snapshot if no entry
    /// follows it.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.entries.last().map_or(self.snapshot.position, |e| e.position)
    }

    /// Returns the term of the entry at `index`, or `None` if the log neither
    /// holds that entry nor has its snapshot there.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.get(index).map(|e| e.position.term)
    }

    /// Returns the entry at `index`, or `None` if the snapshot covers it or the
    /// log does not reach it.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.position.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `limit` entries starting at index `first`, or none if the
    /// snapshot covers `first`.
    #[must_use]
    pub fn slice(&self, first: Index, limit: usize) -> &[Entry] {
        let Some(offset) = first.checked_sub(self.snapshot.position.index + 1) else {
            return &[];
        };
        let from =
            usize::try_from(offset).map_or(self.entries.len(), |o| o.min(self.entries.len()));
        let to = from.saturating_add(limit).min(self.entries.len());
        &self.entries[from..to]
    }

    /// Returns the number of entries after the snapshot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no entry follows the snapshot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Appends entries. The first must directly follow the last one in the log.
    pub fn append(&mut self, entries: &[Entry]) {
        self.entries.extend_from_slice(entries);
    }

    /// Removes the entry at index `first` and all later ones.
    pub fn truncate_from(&mut self, first: Index) {
        let keep = first.saturating_sub(self.snapshot.position.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Replaces the log up to the snapshot's position by the snapshot.
    ///
    /// Later entries are kept if the log has an entry with the snapshot's index
    /// and term; otherwise they are dropped, too.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.term_at(snapshot.position.index) == Some(snapshot.position.term) {
            self.entries.retain(|e| e.position.index > snapshot.position.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }
}
