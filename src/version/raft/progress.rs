//! Replication state that a leader keeps for each follower.

use std::time;

use super::{
    log,
    message::{self, AppendOutcome},
};

/// Replication state of one follower. All times are of the leader's clock.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Store that the follower named in its latest reply, `None` before the first.
    pub(super) store_id: Option<message::StoreId>,
    /// Highest index at which the follower's log is known to match.
    pub(super) match_index: log::Index,
    /// Index of the next entry to send.
    pub(super) next_index: log::Index,
    /// Send time of the latest message that the follower has replied to.
    pub(super) acked_send_time: Option<time::Duration>,
    /// When the latest reply arrived; before the first, when this state was
    /// created.
    pub(super) last_reply: time::Duration,
    /// When a snapshot was sent, until the next reply.
    pub(super) snapshot_sent: Option<time::Duration>,
}

impl Progress {
    /// Creates the state of a follower without replies. `next_index` must be
    /// the index after the leader's last entry.
    pub(super) fn new(next_index: log::Index, now: time::Duration) -> Self {
        Self {
            store_id: None,
            match_index: 0,
            next_index,
            acked_send_time: None,
            last_reply: now,
            snapshot_sent: None,
        }
    }

    /// Handles a reply. A follower that replies with another store has lost its
    /// log, so its match index and the send time for the lease are reset.
    pub(super) fn handle_reply(
        &mut self,
        store_id: message::StoreId,
        outcome: AppendOutcome,
        sent: time::Duration,
        now: time::Duration,
    ) {
        if self.store_id != Some(store_id) {
            self.store_id = Some(store_id);
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
