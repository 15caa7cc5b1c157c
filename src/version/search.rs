//! Which control replica a process calls as the leader.
//!
//! While no replica answers as the leader, every call to it fails, and each would be made
//! again at every replica. The replicas then get many times the calls that they get
//! otherwise, at a time when most likely they already have too many. So a process searches
//! for the leader with one probe at a time, on behalf of all calls, which wait meanwhile,
//! and the longer there is none, the less often it probes.
//!
//! This state machine performs no I/O. It answers the load that calls cause when the leader
//! changes, hangs or can't prove that it leads.

use std::{collections, time};

use super::raft::NodeId;

/// Delay between two probes of the first round over all replicas. Doubles with each round.
const INITIAL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Upper bound of the delay between two probes. An election takes longer.
const MAX_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Shortest time between two probes of a replica that others name as the leader.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How long a replica that left a call unanswered is not called because others name it as
/// the leader.
const SILENT_TIME: time::Duration = time::Duration::from_secs(1);

/// How a replica answered a call that only the leader can answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// As the leader.
    Leads,
    /// As a replica that is not the leader or can't prove that it is, with the leader that it
    /// knows, if any.
    Redirects(Option<NodeId>),
    /// Not in time, or the call could not be sent.
    Missing,
}

/// What is known of the leader.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::version::search::{Answer, LeaderSearch};
///
/// let mut search = LeaderSearch::default();
/// let (node, at) = search.next_probe(&[1, 2], Duration::ZERO).unwrap();
/// search.begin_probe(node, at);
/// search.record(node, Answer::Leads, at);
/// assert_eq!(search.leader(), Some(node));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LeaderSearch {
    leader: Option<NodeId>,
    /// Named by the latest replica that was probed.
    hint: Option<NodeId>,
    /// When each replica was last probed, since there is no leader.
    probed_at: collections::BTreeMap<NodeId, time::Duration>,
    /// Number of probes since there is no leader.
    probes: u32,
    last_probe: Option<time::Duration>,
    /// Replicas that left their latest call unanswered, and when.
    silent: collections::BTreeMap<NodeId, time::Duration>,
}

impl LeaderSearch {
    /// Returns the replica that calls go to. Without one, a probe must find it first.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Sets the leader, as known from another source than the answers to calls.
    pub fn set_leader(&mut self, leader: NodeId, now: time::Duration) {
        if self.answers(leader, now) {
            self.found(leader);
        }
    }

    /// Returns the replica to probe next and the time from which on to probe it; `None` if
    /// `replicas` is empty.
    ///
    /// That is the one named by the replica probed last, or else the one that was probed
    /// longest ago.
    #[must_use]
    pub fn next_probe(
        &self,
        replicas: &[NodeId],
        now: time::Duration,
    ) -> Option<(NodeId, time::Duration)> {
        if let Some(hint) = self.hint {
            return Some((hint, now));
        }
        let node =
            replicas.iter().min_by_key(|node| (self.probed_at.get(node), self.silent.get(node)));
        let due = self.last_probe.map_or(now, |at| at + self.interval(replicas.len()));
        node.map(|node| (*node, due.max(now)))
    }

    /// Records that a probe of `node` is sent.
    pub fn begin_probe(&mut self, node: NodeId, now: time::Duration) {
        self.hint = None;
        self.probes += 1;
        self.last_probe = Some(now);
        self.probed_at.insert(node, now);
    }

    /// Records how `node` answered a probe or another call.
    pub fn record(&mut self, node: NodeId, answer: Answer, now: time::Duration) {
        match answer {
            Answer::Leads => self.found(node),
            Answer::Redirects(named) => {
                self.silent.remove(&node);
                self.lose(node);
                self.hint = named.filter(|n| *n != node && self.may_lead(*n, now));
            }
            Answer::Missing => {
                self.silent.insert(node, now);
                self.lose(node);
            }
        }
    }

    fn found(&mut self, leader: NodeId) {
        *self = Self {
            leader: Some(leader),
            silent: std::mem::take(&mut self.silent),
            ..Self::default()
        };
        self.silent.remove(&leader);
    }

    /// Calls no longer go to `node`, unless they go to another one by now.
    fn lose(&mut self, node: NodeId) {
        self.leader = self.leader.filter(|leader| *leader != node);
    }

    /// Returns whether a replica that is named as the leader is worth a probe.
    fn may_lead(&self, node: NodeId, now: time::Duration) -> bool {
        let probed_lately = self.probed_at.get(&node).is_some_and(|at| now < *at + REPEAT_INTERVAL);
        self.leader.is_none() && self.answers(node, now) && !probed_lately
    }

    fn answers(&self, node: NodeId, now: time::Duration) -> bool {
        self.silent.get(&node).is_none_or(|at| now >= *at + SILENT_TIME)
    }

    /// Returns the delay between two probes with this number of replicas.
    fn interval(&self, replicas: usize) -> time::Duration {
        let replicas = u32::try_from(replicas).unwrap_or(u32::MAX).max(1);
        let round = (self.probes / replicas).min(16);
        INITIAL_INTERVAL.saturating_mul(1 << round).min(MAX_INTERVAL)
    }
}
