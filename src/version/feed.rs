//! An entry's copy of the view, and until when it may be trusted.
//!
//! The copy follows the log by polling any control replica. An answer proves
//! that the leader held its lease after the poll was sent, so the copy is fresh
//! for [`VIEW_TTL`](super::placement::VIEW_TTL) counted from the sending, on the
//! entry's own clock. An entry whose copy is not fresh refuses every request:
//! whatever was committed longer ago than that is in force on every entry that
//! serves at all.
//!
//! The copy only moves forward, also when the entry changes replica.

use std::{sync, time};

use super::{placement::VIEW_TTL, raft, view};

/// A copy of the view.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    /// Shared with earlier copies of the feed until it changes.
    view: sync::Arc<view::View>,
    index: raft::Index,
    fresh: time::Duration,
}

impl Feed {
    /// Returns the view.
    #[must_use]
    pub fn view(&self) -> &view::View {
        &self.view
    }

    /// Returns the index of the view.
    #[must_use]
    pub fn index(&self) -> raft::Index {
        self.index
    }

    /// Returns until when the view is fresh.
    #[must_use]
    pub fn fresh(&self) -> time::Duration {
        self.fresh
    }

    /// Returns true if the view may be trusted at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: time::Duration) -> bool {
        now < self.fresh
    }

    /// Takes in changes that lead to `index`, from a poll sent at `sent`.
    ///
    /// An answer that was overtaken by a later one changes nothing.
    pub fn advance<'c>(
        &mut self,
        index: raft::Index,
        changes: impl IntoIterator<Item = (raft::Index, u64, &'c view::Command)>,
        sent: time::Duration,
    ) {
        if index < self.index {
            return;
        }
        for (at, time, command) in changes {
            if at > self.index {
                // Only changes that were applied are sent, and the same change
                // on the same view has the same outcome here.
                let applied = sync::Arc::make_mut(&mut self.view).apply(at, time, command);
                if applied == Err(view::Error::Base) {
                    spdlog::error!("the view differs from the log", kv: { index = at });
                    *self = Self::default();
                    return;
                }
            }
        }
        self.index = index;
        self.fresh = self.fresh.max(sent + VIEW_TTL);
    }

    /// Replaces the view by a whole one from a poll sent at `sent`.
    pub fn replace(&mut self, index: raft::Index, view: view::View, sent: time::Duration) {
        if index < self.index {
            return;
        }
        self.view = sync::Arc::new(view);
        self.index = index;
        self.fresh = self.fresh.max(sent + VIEW_TTL);
    }
}
