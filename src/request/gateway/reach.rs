//! Whether a gateway can reach the targets by itself.
//!
//! A gateway may lose its links to all targets while callers, the control replicas and the
//! other gateways still reach it. Its requests must then go through another gateway. What
//! it sees looks like the end of many targets at once; the targets' announcements, which it
//! gets from the control replicas, tell the difference only seconds later. So after failed
//! connections a few other targets are tried at once, and if none of them answers either,
//! that counts as a partition.
//!
//! A wrong decision costs little either way: a connection through another gateway fails
//! where a direct one fails, and one that succeeds ends the state.
//!
//! Baselines: never (all requests fail for as long as the partition lasts), and after the
//! first failure (each crash of a target sends requests a longer way).

use std::{collections, net, time};

/// Targets that must have failed in a row, one of them when it was tried for this reason.
/// Fewer if there are no more.
const MIN_FAILED: usize = 5;

/// How long a failed connection counts.
const FAILURE_WINDOW: time::Duration = time::Duration::from_secs(5);

/// Most targets that are tried at once.
const PROBED_TARGETS: usize = 5;

/// Time between two tries while there is a doubt.
const DOUBT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Time between two tries while the targets can't be reached.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How a connection to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The target refused it: nothing listens there, or a partition refuses it.
    Refused,
    /// There was no answer.
    TimedOut,
    /// Another error.
    Other,
}

/// A change of what a gateway can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The gateway reaches no target.
    Lost,
    /// The gateway reaches targets again.
    Regained,
}

/// Connections of one gateway to targets, as far as they tell whether it is cut off.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::request::gateway::reach::{Change, ConnectFailure, Reach};
///
/// let now = Duration::from_secs(1);
/// let up: Vec<_> = (1..9).map(|port| ([10, 0, 0, 1], port).into()).collect();
/// let mut reach = Reach::default();
/// reach.record_failed(up[0], ConnectFailure::TimedOut, up.len(), now);
/// assert!(reach.has_probe_due(now) && !reach.is_cut_off());
/// for target in reach.next_probe(&up, now) {
///     reach.record_probe_failed(target, ConnectFailure::TimedOut, up.len(), now);
/// }
/// assert!(reach.is_cut_off());
/// assert_eq!(reach.record_connected(now), Some(Change::Regained));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Targets to which no connection could be opened since the latest one that could, and
    /// when.
    failed: collections::BTreeMap<net::SocketAddr, time::Duration>,
    /// Whether one of them did not answer at all.
    timed_out: bool,
    /// Whether one of them was tried to find out whether this gateway is cut off.
    probe_failed: bool,
    cut_off: bool,
    next_probe: time::Duration,
    /// Number of targets tried so far, so that all get their turn.
    probed: usize,
    last_connected: time::Duration,
}

impl Reach {
    /// Returns true if the gateway reaches no target.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Returns true if a connection to a target was opened at `since` or later.
    #[must_use]
    pub fn has_connected_since(&self, since: time::Duration) -> bool {
        !self.cut_off && self.last_connected >= since
    }

    /// Records that a connection to a target was opened. Answers on connections that were
    /// open before do not count: they may live on when no new ones can be opened.
    pub fn record_connected(&mut self, now: time::Duration) -> Option<Change> {
        self.forget_failures();
        self.last_connected = now;
        let was_cut_off = std::mem::take(&mut self.cut_off);
        was_cut_off.then_some(Change::Regained)
    }

    /// Records that a connection to a target could not be opened, or went silent. `known`
    /// is the number of targets that announce that they are up.
    pub fn record_failed(
        &mut self,
        target: net::SocketAddr,
        failure: ConnectFailure,
        known: usize,
        now: time::Duration,
    ) -> Option<Change> {
        self.failed.retain(|_, at| now < *at + FAILURE_WINDOW);
        if self.failed.is_empty() {
            self.forget_failures();
        }
        self.failed.insert(target, now);
        self.timed_out |= failure == ConnectFailure::TimedOut;
        self.decide(known, now)
    }

    /// Records that a target failed that was tried because of [`Self::next_probe`].
    pub fn record_probe_failed(
        &mut self,
        target: net::SocketAddr,
        failure: ConnectFailure,
        known: usize,
        now: time::Duration,
    ) -> Option<Change> {
        self.probe_failed = true;
        self.record_failed(target, failure, known, now)
    }

    fn decide(&mut self, known: usize, now: time::Duration) -> Option<Change> {
        let all_failed = self.failed.len() >= known;
        let enough = self.probe_failed && self.failed.len() >= MIN_FAILED;
        if self.cut_off || !(enough || all_failed) {
            return None;
        }
        self.cut_off = true;
        self.next_probe = now + RETRY_INTERVAL;
        Some(Change::Lost)
    }

    fn forget_failures(&mut self) {
        self.failed.clear();
        self.timed_out = false;
        self.probe_failed = false;
    }

    /// Returns true if some targets should be tried now. One refused connection is no
    /// reason: most likely that target has crashed.
    #[must_use]
    pub fn has_probe_due(&self, now: time::Duration) -> bool {
        let in_doubt = self.timed_out || self.failed.len() > 1;
        now >= self.next_probe && (self.cut_off || in_doubt)
    }

    /// Returns the targets to try now, of those that announce that they are up. Without a
    /// decision yet these are targets that have not failed.
    pub fn next_probe(
        &mut self,
        up: &[net::SocketAddr],
        now: time::Duration,
    ) -> Vec<net::SocketAddr> {
        if up.is_empty() {
            return Vec::new();
        }
        let interval = if self.cut_off { RETRY_INTERVAL } else { DOUBT_INTERVAL };
        self.next_probe = now + interval;
        let start = self.probed % up.len();
        self.probed += PROBED_TARGETS;
        let in_turn = up.iter().cycle().skip(start).take(up.len()).copied();
        let untried = in_turn.filter(|t| self.cut_off || !self.failed.contains_key(t));
        untried.take(PROBED_TARGETS).collect()
    }
}
