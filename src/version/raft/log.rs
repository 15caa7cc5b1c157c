//! The in-memory log of a replica: a snapshot followed by a run of entries.
//!
//! Indices are dense. The first entry after the snapshot at index `i` has
//! index `i + 1`, so a lookup is one subtraction. Everything before the
//! snapshot is gone, which bounds memory by the rate of commands times the
//! snapshot interval.

use std::sync;

use serde::{Deserialize, Serialize};

use super::message;

/// An election term. Terms only grow.
pub type Term = u64;

/// The place of an entry in the log, counted from one.
pub type Index = u64;

/// The term and index that identify an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term in which the entry was appended.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by each new leader so that it can learn the commit index.
    Noop,
    /// An encoded command of the replicated state machine.
    Command(Vec<u8>),
    /// A new membership, in force from the moment it is appended.
    Members(message::Members),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index.
    pub position: Position,
    /// Content.
    pub payload: Payload,
}

/// The state machine at one position, with the membership in force there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last position that the snapshot includes.
    pub position: Position,
    /// Membership at that position.
    pub members: message::Members,
    /// The encoded state machine.
    pub data: sync::Arc<Vec<u8>>,
}

/// A snapshot and the entries that follow it.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log from a snapshot and the entries that follow it.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self { snapshot, entries }
    }

    /// Returns the snapshot below the first entry.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the position of the last entry, or of the snapshot.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.entries.last().map_or(self.snapshot.position, |e| e.position)
    }

    /// Returns the term at `index`, or `None` where the log does not reach.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.get(index).map(|e| e.position.term)
    }

    /// Returns the entry at `index`, if it is held.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.position.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `limit` entries from `first` on.
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

    /// Returns how many entries follow the snapshot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no entry follows the snapshot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Appends entries whose indices continue the log.
    pub fn append(&mut self, entries: &[Entry]) {
        self.entries.extend_from_slice(entries);
    }

    /// Drops the entry at `first` and all that follow it.
    pub fn truncate_from(&mut self, first: Index) {
        let keep = first.saturating_sub(self.snapshot.position.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Replaces everything up to the snapshot's position by the snapshot.
    ///
    /// Entries behind the snapshot stay when the log holds its position with
    /// the same term; otherwise the whole log is replaced.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.term_at(snapshot.position.index) == Some(snapshot.position.term) {
            self.entries.retain(|e| e.position.index > snapshot.position.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }
}
