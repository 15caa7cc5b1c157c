//! A gateway's copy of the view, and until when it is fresh.
//!
//! The copy follows the log by polls of any control replica. An answer proves
//! that the leader held its lease after the poll was sent, so the copy is fresh
//! for [`VIEW_TTL`] counted from the sending, on the
//! gateway's own clock. An entry process (`hornbeamdock-entry`) refuses every
//! request while its copy is not fresh, so a change committed longer ago than
//! that is in force on every entry process that serves requests.
//!
//! An answer older than the copy has no effect, so the copy does not go back when
//! the gateway polls a replica that lags behind.

use std::{sync, time};

use super::{placement::VIEW_TTL, raft, supplement::Supplement, view};

/// A copy of the view, with its index and the end of its freshness.
#[derive(Clone, Debug, Default)]
pub struct CachedView {
    /// Shared with clones of this copy until one of them changes.
    view: sync::Arc<view::View>,
    index: raft::Index,
    fresh_until: time::Duration,
    /// Later parts of the view, which are already in it.
    supplement: sync::Arc<Supplement>,
}

impl CachedView {
    /// Returns the view, fresh or not.
    #[must_use]
    pub fn view(&self) -> &view::View {
        &self.view
    }

    /// Returns the index of the latest log entry applied to the view.
    #[must_use]
    pub fn index(&self) -> raft::Index {
        self.index
    }

    /// Returns until when the view is fresh, on the gateway's monotonic clock.
    #[must_use]
    pub fn fresh_until(&self) -> time::Duration {
        self.fresh_until
    }

    /// Returns true if the view is fresh at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: time::Duration) -> bool {
        now < self.fresh_until
    }

    /// Applies changes up to `index`, from the answer to a poll sent at `sent`.
    ///
    /// An answer older than the view has no effect.
    pub fn apply_changes<'c>(
        &mut self,
        index: raft::Index,
        changes: impl IntoIterator<Item = (raft::Index, u64, &'c view::Command)>,
        sent: time::Duration,
    ) {
        if index < self.index {
            return;
        }
        let mut is_newer = false;
        for (at, time, command) in changes {
            if at > self.index {
                is_newer = true;
                // Replicas send only changes that they have applied, and applying
                // is deterministic.
                let applied = sync::Arc::make_mut(&mut self.view).apply(at, time, command);
                if applied == Err(view::Error::CatalogMismatch) {
                    spdlog::error!(
                        "log entry does not apply to the cached view; discarding the view",
                        kv: { index = at }
                    );
                    *self = Self::default();
                    return;
                }
            }
        }
        if is_newer {
            self.supplement.apply(sync::Arc::make_mut(&mut self.view));
        }
        self.index = index;
        self.fresh_until = self.fresh_until.max(sent + VIEW_TTL);
    }

    /// Returns the log index of the latest change of the [`Supplement`] that is known here.
    #[must_use]
    pub fn supplemented_at(&self) -> raft::Index {
        self.supplement.changed_at
    }

    /// Puts the later parts of the view in force, unless newer ones are.
    pub fn supplement(&mut self, supplement: Supplement) {
        if supplement.changed_at > self.supplement.changed_at {
            self.supplement = sync::Arc::new(supplement);
            self.supplement.apply(sync::Arc::make_mut(&mut self.view));
        }
    }

    /// Replaces the view by a whole one, from the answer to a poll sent at `sent`.
    ///
    /// An answer older than the view has no effect.
    pub fn replace(&mut self, index: raft::Index, mut view: view::View, sent: time::Duration) {
        if index < self.index {
            return;
        }
        self.supplement.apply(&mut view);
        self.view = sync::Arc::new(view);
        self.index = index;
        self.fresh_until = self.fresh_until.max(sent + VIEW_TTL);
    }
}
