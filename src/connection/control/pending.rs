//! Calls on one connection that wait for their replies.
//!
//! A caller may give up while its call waits. The call stays until the replica has had its time
//! for it, because what became of it tells the other callers something: a reply, that the replica
//! leads or who does, and silence, that the replica can't be reached.
//!
//! This state machine performs no I/O. Points in time are readings of one monotonic clock.

use std::{collections, time};

use tokio::sync::oneshot;

use crate::connection::peer::Reply;

/// For whom a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Callee {
    /// The leader. Its reply tells whether it leads.
    Leader,
    /// This replica, whether it leads or not.
    Replica,
}

#[derive(Debug)]
struct PendingCall {
    reply: oneshot::Sender<Reply>,
    callee: Callee,
    sent_at: time::Duration,
    expires_at: time::Duration,
}

/// The calls, by id.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    calls: collections::HashMap<u64, PendingCall>,
    /// No call expires before; `None` without calls.
    next_expiry: Option<time::Duration>,
    /// When the latest reply arrived; zero before the first.
    replied_at: time::Duration,
}

impl PendingCalls {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call that is sent at `now`. The replica may take `time_limit` for it.
    pub(super) fn insert(
        &mut self,
        id: u64,
        (reply, callee): (oneshot::Sender<Reply>, Callee),
        time_limit: time::Duration,
        now: time::Duration,
    ) {
        let expires_at = now + time_limit;
        self.next_expiry = Some(self.next_expiry.map_or(expires_at, |at| at.min(expires_at)));
        self.calls.insert(id, PendingCall { reply, callee, sent_at: now, expires_at });
    }

    /// Removes a call that could not be sent.
    pub(super) fn remove(&mut self, id: u64) {
        self.calls.remove(&id);
    }

    /// Returns for whom a call is; `None` if it is not known or has expired.
    pub(super) fn callee(&self, id: u64) -> Option<Callee> {
        self.calls.get(&id).map(|call| call.callee)
    }

    /// Hands a reply to the caller, if that still waits.
    pub(super) fn answer(&mut self, id: u64, reply: Reply, now: time::Duration) {
        self.replied_at = now;
        if let Some(call) = self.calls.remove(&id) {
            // Fails if the caller has given up.
            let _ = call.reply.send(reply);
        }
    }

    /// Removes the calls whose time is over. Returns true if one of them was for the leader and
    /// nothing at all has been received since it was sent.
    pub(super) fn expire(&mut self, now: time::Duration) -> bool {
        if self.next_expiry.is_none_or(|at| now < at) {
            return false;
        }
        let expired = self.calls.extract_if(|_, call| now >= call.expires_at);
        let silent = expired
            .filter(|(_, call)| call.callee == Callee::Leader && call.sent_at >= self.replied_at)
            .count();
        self.next_expiry = self.calls.values().map(|call| call.expires_at).min();
        silent > 0
    }

    /// Fails all calls, as the connection has ended. Returns true if one was for the leader.
    pub(super) fn fail(&mut self) -> bool {
        self.next_expiry = None;
        self.calls.drain().any(|(_, call)| call.callee == Callee::Leader)
    }
}
