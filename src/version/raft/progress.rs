//! What a leader knows of one follower.

use std::time;

use super::{
    log,
    message::{self, AppendOutcome},
};

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Store that the follower answered with, if it has answered.
    pub(super) store: Option<message::StoreId>,
    /// Highest index known to match.
    pub(super) match_index: log::Index,
    /// Next index to send.
    pub(super) next_index: log::Index,
    /// Leader's clock at the sending of the latest message that was answered.
    pub(super) acked_send_time: Option<time::Duration>,
    /// When the last answer arrived.
    pub(super) last_reply: time::Duration,
    /// When a snapshot was last sent, while it is unanswered.
    pub(super) snapshot_sent: Option<time::Duration>,
}

impl Progress {
    /// Starts with nothing known, at the end of the leader's log.
    pub(super) fn new(next_index: log::Index, now: time::Duration) -> Self {
        Self {
            store: None,
            match_index: 0,
            next_index,
            acked_send_time: None,
            last_reply: now,
            snapshot_sent: None,
        }
    }

    /// Takes in an answer. A follower that comes back with another store has
    /// lost what it had, so what was known of it is forgotten.
    pub(super) fn handle_reply(
        &mut self,
        store: message::StoreId,
        outcome: AppendOutcome,
        sent: time::Duration,
        now: time::Duration,
    ) {
        if self.store != Some(store) {
            self.store = Some(store);
            self.match_index = 0;
            self.acked_send_time = None;
        }
        self.last_reply = now;
        self.snapshot_sent = None;
        self.acked_send_time = self.acked_send_time.max(Some(sent));
        match outcome {
            AppendOutcome::Matched(index) => {
                self.match_index = self.match_index.max(index);
                self.next_index = self.next_index.max(index + 1);
            }
            AppendOutcome::Conflict(index) => {
                self.next_index = index.max(self.match_index + 1).max(1);
            }
        }
    }
}
