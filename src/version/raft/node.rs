//! The Raft node: its state, events, actions and timers.
//!
//! The sibling modules add methods for bootstrap, elections, replication and
//! reads to [`Raft`].

use std::{collections, mem, time};

use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use super::{
    leaving::Leaving,
    log::{self, Entry, Index, Log, Payload, Position, Snapshot, Term},
    message::{Body, Members, Message, NodeId, StoreId},
    progress::Progress,
    read::Reads,
    write_time::WriteTime,
};

/// Maximum number of entries in one append message.
pub(super) const MAX_APPEND_ENTRIES: usize = 512;

/// Length of the leader lease in percent of the election timeout. The rest
/// allows for drift between the monotonic clocks of two replicas.
const LEASE_PERCENT: u32 = 80;

/// Settings of a Raft node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Id of this replica.
    pub id: NodeId,
    /// Id of this replica's data folder.
    pub store_id: StoreId,
    /// Replicas named in the settings. A new group is bootstrapped from them,
    /// and join requests go to them. The membership itself is in the log.
    pub peers: Vec<NodeId>,
    /// Whether this replica may bootstrap a new group.
    pub may_bootstrap: bool,
    /// Maximum number of voters. Further replicas stay learners until a voter
    /// is removed from the membership.
    pub max_voters: usize,
    /// Minimum time without contact to a leader before an election starts. A
    /// voter also refuses to vote for this long after contact to a leader.
    pub election_timeout: time::Duration,
    /// Time between the heartbeats of a leader.
    pub heartbeat_interval: time::Duration,
    /// Seed of the random number generator for election timeouts and the numbers of reads;
    /// combined with `id`. Differs between the runs of a replica.
    pub seed: u64,
}

/// Term and vote, which must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that this replica voted for in that term.
    pub vote: Option<NodeId>,
}

/// State read from disk at start.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Latest term and vote.
    pub hard_state: HardState,
    /// Latest snapshot, if one was taken or received.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Input of the Raft state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Runs due timers. The caller sends it at regular intervals.
    Tick,
    /// A message from another replica arrived.
    Message(Message),
    /// Asks to replicate a command.
    Propose {
        /// Chosen by the caller; echoed in the resulting action.
        context: u64,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// Asks for an index at which a read is linearizable.
    Read {
        /// Chosen by the caller; echoed in the resulting action.
        context: u64,
    },
    /// Replaces the log up to `index` by a snapshot. Ignored unless `index` is
    /// committed and after the current snapshot.
    Compact {
        /// Index of the last entry applied to `data`.
        index: Index,
        /// Encoded state of the replicated state machine.
        data: Vec<u8>,
    },
    /// Prepares a planned stop of this replica: tells the other members, so that a learner
    /// may replace it, and transfers leadership to the voter with the highest match index.
    /// From then on this replica neither campaigns nor asks to join.
    Stop,
    /// Transfers leadership, and does not lead again. For a replica that can't apply a
    /// committed entry.
    ForgoLeadership,
    /// The writes of a batch have been made durable.
    Written {
        /// Time in which the caller handled no other event because of them.
        took: time::Duration,
    },
}

/// A write to durable storage. Writes must be executed in the order given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskWrite {
    /// Store the term and vote.
    HardState(HardState),
    /// Append entries after the last one.
    Append(Vec<Entry>),
    /// Remove the entry at this index and all later ones.
    Truncate(Index),
    /// Replace the log up to the snapshot's position by the snapshot.
    InstallSnapshot(Snapshot),
}

/// Output of the Raft state machine, for the caller to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make the write durable before executing any other action of the batch.
    Persist(DiskWrite),
    /// Send a message.
    Send {
        /// Replica to send it to.
        to: NodeId,
        /// Message to send.
        message: Message,
    },
    /// A proposal was appended. It succeeds if the entry with this term and
    /// index is committed.
    ProposalAppended {
        /// Context of the proposal.
        context: u64,
        /// Term and index of its entry.
        position: Position,
    },
    /// A proposal was not appended, because this replica does not lead.
    ProposalRejected {
        /// Context of the proposal.
        context: u64,
        /// Current leader, if known.
        leader: Option<NodeId>,
    },
    /// Apply these newly committed entries to the state machine, in order.
    Apply(Vec<Entry>),
    /// Replace the state machine by a snapshot received from the leader.
    RestoreSnapshot(Snapshot),
    /// Answers a read. It may be served once `index` is applied. `None` means that
    /// no leader confirmed the read; it must not be served.
    ReadReady {
        /// Context of the read.
        context: u64,
        /// Index that must be applied before the read.
        index: Option<Index>,
    },
    /// The role of this replica changed. The start of a pre-vote is not reported.
    RoleChanged(Role),
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or does not know one.
    Follower,
    /// Asks for votes or pre-votes.
    Candidate,
    /// Leads the group; it may not yet have noticed that it was deposed.
    Leader,
}

/// Role of a replica with the state of that role.
#[derive(Clone, Debug)]
pub(super) enum RoleState {
    Follower {
        leader: Option<NodeId>,
    },
    PreCandidate {
        granted_by: collections::BTreeSet<NodeId>,
    },
    Candidate {
        granted_by: collections::BTreeSet<NodeId>,
    },
    Leader {
        progress_by_node: collections::BTreeMap<NodeId, Progress>,
        last_heartbeat: time::Duration,
    },
}

/// A Raft node: one replica of the log.
///
/// # Examples
///
/// A single replica bootstraps a group and becomes its leader:
///
/// ```
/// use std::time;
///
/// use hornbeamdock::version::raft;
///
/// let config = raft::Config {
///     id: 1,
///     store_id: 7,
///     peers: vec![1],
///     may_bootstrap: true,
///     max_voters: 1,
///     election_timeout: time::Duration::from_millis(500),
///     heartbeat_interval: time::Duration::from_millis(50),
///     seed: 1,
/// };
/// let mut node = raft::Raft::new(config, raft::Restored::default(), time::Duration::ZERO);
/// node.step(raft::Event::Tick, time::Duration::from_secs(2));
/// node.step(raft::Event::Tick, time::Duration::from_secs(4));
/// assert_eq!(node.role(), raft::Role::Leader);
/// ```
#[derive(Debug)]
pub struct Raft {
    pub(super) config: Config,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) commit_index: Index,
    pub(super) role_state: RoleState,
    /// Memberships appended after the snapshot, each with the index of its entry.
    pub(super) memberships: Vec<(Index, Members)>,
    /// When a message from the current leader last arrived. A restart counts as
    /// contact: the leader's lease relies on this replica not voting for the
    /// election timeout, also if it restarts meanwhile.
    pub(super) last_leader_contact: time::Duration,
    pub(super) election_deadline: time::Duration,
    pub(super) reads: Reads,
    /// Replicas that reported an empty log, each with its store, for bootstrap.
    pub(super) empty_stores: collections::BTreeMap<NodeId, StoreId>,
    /// Replica to which this one reported an empty log, and that replica's store
    /// at the time. While this log is empty, messages from that replica with
    /// another store are ignored.
    pub(super) probed_by: Option<(NodeId, StoreId)>,
    /// Whether this replica may not lead.
    pub(super) forgoes_leadership: bool,
    /// Whether this replica is about to stop.
    pub(super) stopping: bool,
    pub(super) leaving: Leaving,
    write_time: WriteTime,
    /// When this replica last asked to join.
    pub(super) last_join_request: Option<time::Duration>,
    rng: rand_chacha::ChaCha8Rng,
    pub(super) actions: Vec<Action>,
}

impl Raft {
    /// Creates a follower from the state found on disk.
    #[must_use]
    pub fn new(config: Config, restored: Restored, now: time::Duration) -> Self {
        let snapshot = restored.snapshot.unwrap_or_else(|| Snapshot {
            position: Position::default(),
            members: Members::default(),
            data: std::sync::Arc::default(),
        });
        let memberships = restored
            .entries
            .iter()
            .filter_map(|e| match &e.payload {
                Payload::Members(m) => Some((e.position.index, m.clone())),
                Payload::Noop | Payload::Command(_) => None,
            })
            .collect();
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(config.seed ^ config.id);
        let mut node = Self {
            hard_state: restored.hard_state,
            commit_index: snapshot.position.index,
            log: Log::new(snapshot, restored.entries),
            role_state: RoleState::Follower { leader: None },
            memberships,
            last_leader_contact: now,
            election_deadline: now,
            reads: Reads::new(u64::from(rng.random::<u32>())),
            empty_stores: collections::BTreeMap::new(),
            probed_by: None,
            forgoes_leadership: false,
            stopping: false,
            leaving: Leaving::default(),
            write_time: WriteTime::default(),
            last_join_request: None,
            rng,
            actions: Vec::new(),
            config,
        };
        node.reset_election_deadline(now);
        node
    }

    /// Handles one event and returns the resulting actions.
    ///
    /// `now` is the time of a monotonic clock and must not decrease.
    pub fn step(&mut self, event: Event, now: time::Duration) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Message(message) => self.receive(message, now),
            Event::Propose { context, command } => {
                self.propose(context, Payload::Command(command), now);
            }
            Event::Read { context } => self.start_read(context, now),
            Event::Compact { index, data } => self.compact(index, data),
            Event::Stop => self.prepare_stop(now),
            Event::ForgoLeadership => self.forgo_leadership(now),
            Event::Written { took } => self.write_time.record(took),
        }
        mem::take(&mut self.actions)
    }

    /// Returns the role; a pre-candidate counts as a candidate.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role_state {
            RoleState::Follower { .. } => Role::Follower,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader { .. } => Role::Leader,
        }
    }

    /// Returns the leader of the current term, if this replica knows it.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        match self.role_state {
            RoleState::Follower { leader } => leader,
            RoleState::Leader { .. } => Some(self.config.id),
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => None,
        }
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the highest index known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the snapshot and the entries after it.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest membership in the log, committed or not.
    #[must_use]
    pub fn members(&self) -> &Members {
        self.memberships.last().map_or(&self.log.snapshot().members, |(_, m)| m)
    }

    /// Returns the end of the leader lease: until then no other replica can have
    /// been elected. Returns `None` if this replica does not lead, or if no
    /// quorum has replied yet. A transfer of leadership ends the lease first.
    ///
    /// The lease starts when the latest heartbeats answered by a quorum were
    /// sent. Each voter refuses to vote for the election timeout after it
    /// received its heartbeat, which is later. The lease of a single voter never
    /// ends.
    #[must_use]
    pub fn lease_until(&self) -> Option<time::Duration> {
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return None;
        };
        let members = self.members();
        let acked = |node: &NodeId, store_id: &StoreId| {
            if *node == self.config.id {
                return Some(time::Duration::MAX);
            }
            progress_by_node
                .get(node)
                .filter(|p| p.store_id == Some(*store_id))
                .and_then(|p| p.acked_send_time)
        };
        let mut send_times: Vec<_> = members.voters.iter().map(|(n, s)| acked(n, s)).collect();
        send_times.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_send_time = send_times.get(members.quorum() - 1).copied().flatten()?;
        Some(quorum_send_time.saturating_add(self.config.election_timeout * LEASE_PERCENT / 100))
    }

    /// Returns true if this replica leads and holds the leader lease at `now`.
    #[must_use]
    pub fn has_lease(&self, now: time::Duration) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    fn tick(&mut self, now: time::Duration) {
        if self.commit_index == 0 {
            self.try_bootstrap(now);
        }
        self.request_join(now);
        self.expire_read_index(now);
        match &self.role_state {
            RoleState::Leader { last_heartbeat, .. } => {
                let due = now >= *last_heartbeat + self.config.heartbeat_interval;
                self.check_quorum(now);
                if due {
                    self.broadcast(now);
                    self.replace_voter(now);
                    self.promote_learner(now);
                }
            }
            RoleState::Follower { .. }
            | RoleState::PreCandidate { .. }
            | RoleState::Candidate { .. } => {
                if now >= self.election_deadline {
                    self.campaign(now);
                }
            }
        }
    }

    fn receive(&mut self, message: Message, now: time::Duration) {
        let Message { from, store_id, term, body } = message;
        if from == self.config.id {
            return;
        }
        let store_changed =
            self.probed_by.is_some_and(|(node, known)| node == from && known != store_id);
        if store_changed && self.log.last_position().index == 0 {
            return;
        }
        if matches!(body, Body::Join | Body::PreVote { .. }) {
            self.leaving.forget(from);
        }
        match body {
            Body::BootstrapProbe => self.handle_probe(from, store_id),
            Body::BootstrapProbeReply { empty } => self.handle_probe_reply(from, store_id, empty),
            Body::Join => self.handle_join(from, store_id, now),
            Body::ForwardJoin { node, store_id } => {
                self.leaving.forget(node);
                self.add_learner(node, store_id, now);
            }
            Body::PreVote { last } => {
                self.readmit_removed(from, store_id, now);
                self.handle_pre_vote(from, term, last, now);
            }
            Body::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(from, store_id, term, granted, now);
            }
            Body::Vote { last, transfer } => self.handle_vote(from, term, last, transfer, now),
            Body::VoteReply { granted } => {
                self.observe_term(term, now);
                self.handle_vote_reply(from, store_id, term, granted, now);
            }
            Body::Append { prev, entries, commit, sent } => {
                if self.accept_leader(from, term, now) {
                    self.handle_append(from, prev, &entries, commit, sent);
                } else {
                    self.reject_stale_leader(from, sent);
                }
            }
            Body::InstallSnapshot { snapshot, sent } => {
                if self.accept_leader(from, term, now) {
                    self.handle_install_snapshot(from, snapshot, sent);
                }
            }
            Body::AppendReply { outcome, sent } => {
                self.observe_term(term, now);
                self.handle_append_reply(from, store_id, term, outcome, sent, now);
            }
            Body::ReadIndex { context } => self.handle_read_request(from, context, now),
            Body::ReadIndexReply { context, index } => self.handle_read_reply(context, index, now),
            Body::TimeoutNow => self.handle_timeout_now(from, term, now),
            Body::Leaving => self.leaving.record(from, store_id, now),
        }
    }

    /// Adopts a higher term seen in a message and steps down to follower.
    pub(super) fn observe_term(&mut self, term: Term, now: time::Duration) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.become_follower(None, now);
        }
    }

    pub(super) fn become_follower(&mut self, leader: Option<NodeId>, now: time::Duration) {
        let changed = self.role() != Role::Follower;
        let lost_leader = self.leader().is_some_and(|previous| leader != Some(previous));
        self.role_state = RoleState::Follower { leader };
        self.reset_election_deadline(now);
        if changed || lost_leader {
            // Others wait for the reply to a read that is in flight.
            self.fail_reads();
        }
        if changed {
            self.actions.push(Action::RoleChanged(Role::Follower));
        }
    }

    /// Sets the start of the next campaign to a random time between one and two
    /// leader timeouts from `now`.
    pub(super) fn reset_election_deadline(&mut self, now: time::Duration) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_deadline = now + self.leader_timeout().mul_f64(1.0 + jitter);
    }

    /// Returns how long a leader, or a quorum, may stay silent: the election timeout, or
    /// longer while writes are slow. Lease and votes rely on the election timeout alone.
    pub(super) fn leader_timeout(&self) -> time::Duration {
        self.write_time.prolong(self.config.election_timeout)
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.actions.push(Action::Persist(DiskWrite::HardState(hard_state)));
        }
    }

    pub(super) fn send(&mut self, to: NodeId, body: Body) {
        self.send_in_term(to, self.hard_state.term, body);
    }

    pub(super) fn send_in_term(&mut self, to: NodeId, term: Term, body: Body) {
        let message = Message { from: self.config.id, store_id: self.config.store_id, term, body };
        self.actions.push(Action::Send { to, message });
    }

    /// Returns all other replicas named in the settings or the membership.
    pub(super) fn other_replicas(&self) -> collections::BTreeSet<NodeId> {
        let members = self.members().others(self.config.id);
        let named = self.config.peers.iter().copied().filter(|p| *p != self.config.id);
        named.chain(members).collect()
    }

    /// Replaces [`Config::peers`], after the settings changed.
    pub fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.config.peers = peers;
    }

    /// Returns true if the membership names this replica, with its store, as a
    /// voter.
    pub(super) fn is_voter(&self) -> bool {
        self.members().is_voter(self.config.id, self.config.store_id)
    }

    /// Appends an entry of the current term; only a leader may call this.
    pub(super) fn append_local(&mut self, payload: Payload) -> Position {
        let position =
            Position { term: self.hard_state.term, index: self.log.last_position().index + 1 };
        self.append_entries(vec![Entry { position, payload }]);
        position
    }

    pub(super) fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            if let Payload::Members(members) = &entry.payload {
                self.memberships.push((entry.position.index, members.clone()));
            }
        }
        self.log.append(&entries);
        self.actions.push(Action::Persist(DiskWrite::Append(entries)));
    }

    pub(super) fn truncate(&mut self, first: log::Index) {
        self.log.truncate_from(first);
        self.memberships.retain(|(index, _)| *index < first);
        self.actions.push(Action::Persist(DiskWrite::Truncate(first)));
    }

    fn compact(&mut self, index: Index, data: Vec<u8>) {
        let term_at_index =
            self.log.term_at(index).filter(|_| index > self.log.snapshot().position.index);
        let Some(term) = term_at_index.filter(|_| index <= self.commit_index) else {
            return;
        };
        let members = self.memberships.iter().rfind(|(at, _)| *at <= index).map(|(_, m)| m.clone());
        let snapshot = Snapshot {
            position: Position { term, index },
            members: members.unwrap_or_else(|| self.log.snapshot().members.clone()),
            data: std::sync::Arc::new(data),
        };
        self.actions.push(Action::Persist(DiskWrite::InstallSnapshot(snapshot.clone())));
        self.log.install_snapshot(snapshot);
        self.memberships.retain(|(at, _)| *at > index);
    }
}
