//! Which targets a gateway can reach by itself.
//!
//! A gateway may lose its links to some or all targets while callers, the control replicas
//! and the other gateways still reach it, and these the targets. Connections to such a
//! *lost* target go through another gateway, until it answers again when it is tried.
//!
//! What a gateway sees of a partition looks like the end of many targets at once; the
//! targets' announcements, which it gets from the control replicas, tell the difference
//! only seconds later. So after failed connections a few other targets are tried at once.
//! If none of them answers either, all targets count as lost, and no request has to find
//! that out for each.
//!
//! A wrong decision costs little either way: a connection through another gateway fails
//! where a direct one fails, and then the target is no longer lost but failed.
//!
//! Baselines: never (requests fail for as long as the partition lasts), and all targets
//! after the first failure (each crash of a target sends all requests a longer way).

use std::{collections, net, time};

/// Targets that must have failed in a row, one of them when it was tried for this reason,
/// until all count as lost. Fewer if there are no more.
const MIN_FAILED: usize = 5;

/// How long a failed connection counts.
const FAILURE_WINDOW: time::Duration = time::Duration::from_secs(5);

/// Most targets that are tried at once.
const PROBED_TARGETS: usize = 5;

/// Shortest time between two tries, and time after which a target is tried again that was
/// lost just now. A single packet may have been lost.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Time after which a lost target is tried once more.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Lost targets that must have answered in a row until all count as reached.
const MIN_RESTORED: usize = 3;

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

/// What changes by a connection or its failure.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Targets that are lost from now on.
    pub lost: Vec<net::SocketAddr>,
    /// Targets that are no longer lost.
    pub restored: Vec<net::SocketAddr>,
}

/// What the connections of one gateway tell of its targets.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::request::gateway::reach::{ConnectFailure, Reach};
///
/// let now = Duration::from_secs(1);
/// let up: Vec<_> = (1..9).map(|port| ([10, 0, 0, 1], port).into()).collect();
/// let mut reach = Reach::default();
/// reach.record_failed(up[0], ConnectFailure::TimedOut, &up, now);
/// assert!(reach.is_lost(up[0]) && !reach.is_lost(up[1]));
/// for target in reach.next_probe(&up, now) {
///     reach.record_probe_failed(target, ConnectFailure::TimedOut, &up, now);
/// }
/// assert!(up.iter().all(|target| reach.is_lost(*target)));
/// reach.record_connected(up[3], now);
/// assert!(!reach.is_lost(up[3]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Lost targets, and when to try each again.
    lost: collections::BTreeMap<net::SocketAddr, time::Duration>,
    /// Targets to which no connection could be opened since the latest one that could, and
    /// when.
    failed: collections::BTreeMap<net::SocketAddr, time::Duration>,
    /// Whether one of them did not answer at all.
    timed_out: bool,
    /// Whether one of them was tried to find out whether any target is reached.
    probe_failed: bool,
    /// Lost targets that answered in a row.
    restored: usize,
    next_probe: time::Duration,
    /// Number of targets tried so far, so that all get their turn.
    probed: usize,
    last_connected: time::Duration,
}

impl Reach {
    /// Returns true if connections to the target should go through another gateway.
    #[must_use]
    pub fn is_lost(&self, target: net::SocketAddr) -> bool {
        self.lost.contains_key(&target)
    }

    /// Returns true if all of the targets `up` are lost.
    #[must_use]
    pub fn is_cut_off(&self, up: &[net::SocketAddr]) -> bool {
        !self.lost.is_empty() && up.iter().all(|target| self.is_lost(*target))
    }

    /// Returns true if a connection to a target was opened at `since` or later.
    #[must_use]
    pub fn has_connected_since(&self, since: time::Duration) -> bool {
        self.last_connected > time::Duration::ZERO && self.last_connected >= since
    }

    /// Records that a connection to a target was opened. Answers on connections that were
    /// open before do not count: they may live on when no new ones can be opened.
    pub fn record_connected(&mut self, target: net::SocketAddr, now: time::Duration) -> Changes {
        self.forget_failures();
        self.last_connected = now;
        if self.lost.remove(&target).is_none() {
            return Changes::default();
        }
        self.restored += 1;
        let mut restored = vec![target];
        if self.restored >= MIN_RESTORED {
            restored.extend(std::mem::take(&mut self.lost).into_keys());
        }
        Changes { restored, ..Changes::default() }
    }

    /// Records that a connection to a target could not be opened, or went silent. The
    /// target is lost from now on. `up` are the targets that announce that they are up.
    pub fn record_failed(
        &mut self,
        target: net::SocketAddr,
        failure: ConnectFailure,
        up: &[net::SocketAddr],
        now: time::Duration,
    ) -> Changes {
        self.restored = 0;
        // That it fails again tells nothing about the others.
        if let Some(retry_at) = self.lost.get_mut(&target) {
            *retry_at = now + RETRY_INTERVAL;
            return Changes::default();
        }
        self.expire_failures(now);
        self.failed.insert(target, now);
        self.timed_out |= failure == ConnectFailure::TimedOut;
        let all_failed = self.failed.len() >= up.len();
        let enough = self.probe_failed && self.failed.len() >= MIN_FAILED;
        let lost = if enough || all_failed { up } else { &[] };
        let mut newly_lost = Vec::new();
        for target in lost.iter().copied().chain([target]) {
            if let collections::btree_map::Entry::Vacant(entry) = self.lost.entry(target) {
                entry.insert(now + PROBE_INTERVAL);
                newly_lost.push(target);
            }
        }
        Changes { lost: newly_lost, ..Changes::default() }
    }

    /// Records that a target failed that was tried because of [`Self::next_probe`].
    pub fn record_probe_failed(
        &mut self,
        target: net::SocketAddr,
        failure: ConnectFailure,
        up: &[net::SocketAddr],
        now: time::Duration,
    ) -> Changes {
        self.probe_failed = true;
        self.record_failed(target, failure, up, now)
    }

    /// Records that other gateways do not reach a target either, so that it is not lost
    /// but failed.
    pub fn record_failed_elsewhere(&mut self, target: net::SocketAddr) {
        self.lost.remove(&target);
    }

    /// Returns true if some targets should be tried now: lost ones, or others while it is
    /// not clear whether any is reached. One refused connection leaves no doubt, as that
    /// target has most likely crashed.
    #[must_use]
    pub fn has_probe_due(&self, now: time::Duration) -> bool {
        let retry_due = || self.lost.values().any(|at| now >= *at);
        now >= self.next_probe && (self.is_in_doubt() || retry_due())
    }

    /// Returns the targets to try now, of those that announce that they are up.
    pub fn next_probe(
        &mut self,
        up: &[net::SocketAddr],
        now: time::Duration,
    ) -> Vec<net::SocketAddr> {
        self.expire_failures(now);
        self.lost.retain(|target, _| up.contains(target));
        self.next_probe = now + PROBE_INTERVAL;
        if up.is_empty() {
            return Vec::new();
        }
        let start = self.probed % up.len();
        let in_doubt = self.is_in_doubt();
        let is_due = |target: &net::SocketAddr| match self.lost.get(target) {
            Some(retry_at) => now >= *retry_at,
            None => in_doubt && !self.failed.contains_key(target),
        };
        let in_turn = up.iter().cycle().skip(start).take(up.len()).copied();
        let due: Vec<_> = in_turn.filter(is_due).take(PROBED_TARGETS).collect();
        self.probed += PROBED_TARGETS;
        due
    }

    fn is_in_doubt(&self) -> bool {
        self.timed_out || self.failed.len() > 1
    }

    fn expire_failures(&mut self, now: time::Duration) {
        self.failed.retain(|_, at| now < *at + FAILURE_WINDOW);
        if self.failed.is_empty() {
            self.forget_failures();
        }
    }

    fn forget_failures(&mut self) {
        self.failed.clear();
        self.timed_out = false;
        self.probe_failed = false;
    }
}
