//! The replica itself: its state, its events and actions, and its timers.
//!
//! Elections, replication and reads live in files of their own and extend the
//! type defined here.

use std::{collections, mem, time};

use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use super::{
    log::{self, Entry, Index, Log, Payload, Position, Snapshot, Term},
    message::{Body, Members, Message, NodeId, StoreId},
    progress::Progress,
    read::Reads,
};

/// Most entries in one append message.
pub(super) const MAX_APPEND_ENTRIES: usize = 512;

/// Share of the election timeout that a leader trusts its lease for. The rest
/// covers the drift between two monotonic clocks.
const LEASE_PERCENT: u32 = 80;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// This replica.
    pub id: NodeId,
    /// Store that this replica's data folder holds.
    pub store: StoreId,
    /// Replicas that the settings name. They are asked to form a group, or to
    /// take this replica into one; the membership itself is in the log.
    pub peers: Vec<NodeId>,
    /// Whether the settings allow to form a new group.
    pub may_bootstrap: bool,
    /// Most voters; replicas beyond these follow as learners until a voter is
    /// lost.
    pub max_voters: usize,
    /// Least time without a leader before an election; also the time for which
    /// a voter that heard a leader refuses to vote.
    pub election_timeout: time::Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: time::Duration,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// Term and vote, which must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Who got this replica's vote in that term.
    pub vote: Option<NodeId>,
}

/// What was found on disk.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Something that happened to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message arrived.
    Message(Message),
    /// A client wants a command replicated.
    Propose {
        /// Chosen by the caller, echoed in the action.
        context: u64,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// A client wants an index that is safe to read at.
    Read {
        /// Chosen by the caller, echoed in the action.
        context: u64,
    },
    /// The state machine was encoded at an applied index.
    Compact {
        /// Index that `data` includes.
        index: Index,
        /// Encoded state machine.
        data: Vec<u8>,
    },
    /// A planned stop: hand leadership over.
    TransferLeadership,
}

/// A change of durable state, in the order in which it must be written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DurableWrite {
    /// Term and vote.
    HardState(HardState),
    /// Entries after the last one.
    Append(Vec<Entry>),
    /// The entry at this index and all behind it are gone.
    Truncate(Index),
    /// The snapshot replaces all up to its position.
    InstallSnapshot(Snapshot),
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make the change durable before anything else of this batch.
    Persist(DurableWrite),
    /// Send a message.
    Send {
        /// Receiver.
        to: NodeId,
        /// Content.
        message: Message,
    },
    /// A proposal was appended; it is decided when its position commits.
    ProposalAppended {
        /// Echo of the proposal.
        context: u64,
        /// Where it was appended.
        position: Position,
    },
    /// A proposal was not appended and never will be.
    ProposalRejected {
        /// Echo of the proposal.
        context: u64,
        /// Where to try instead.
        leader: Option<NodeId>,
    },
    /// Apply these entries to the state machine.
    Apply(Vec<Entry>),
    /// Replace the state machine by the snapshot.
    RestoreSnapshot(Snapshot),
    /// A read may be served once the index is applied; with `None` it may not.
    ReadReady {
        /// Echo of the read.
        context: u64,
        /// Index to wait for.
        index: Option<Index>,
    },
    /// The role changed.
    RoleChanged(Role),
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows, or waits for a leader.
    Follower,
    /// Campaigns.
    Candidate,
    /// Leads.
    Leader,
}

/// Role with the state that only that role has.
#[derive(Clone, Debug)]
pub(super) enum RoleState {
    Follower { leader: Option<NodeId> },
    PreCandidate { granted: collections::BTreeSet<NodeId> },
    Candidate { granted: collections::BTreeSet<NodeId> },
    Leader { followers: collections::BTreeMap<NodeId, Progress>, last_heartbeat: time::Duration },
}

/// A replica of the log.
///
/// # Examples
///
/// A single replica forms a group of its own, elects itself and commits:
///
/// ```
/// use std::time;
///
/// use hornbeamdock::version::raft;
///
/// let config = raft::Config {
///     id: 1,
///     store: 7,
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
    /// Memberships after the snapshot's, each with the index that set it.
    pub(super) memberships: Vec<(Index, Members)>,
    /// When a current leader was last heard. A restart counts as hearing one,
    /// since the promise not to vote during a lease must outlive the process.
    pub(super) last_leader_contact: time::Duration,
    pub(super) election_deadline: time::Duration,
    pub(super) reads: Reads,
    /// Stores that answered that their folder is empty.
    pub(super) empty_stores: collections::BTreeMap<NodeId, StoreId>,
    /// Replica that was told that this folder is empty, and its store.
    pub(super) probed_by: Option<(NodeId, StoreId)>,
    pub(super) last_join_request: Option<time::Duration>,
    rng: rand_chacha::ChaCha8Rng,
    pub(super) actions: Vec<Action>,
}

impl Raft {
    /// Creates a replica from what was found on disk.
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
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(config.seed ^ config.id);
        let mut node = Self {
            hard_state: restored.hard_state,
            commit_index: snapshot.position.index,
            log: Log::new(snapshot, restored.entries),
            role_state: RoleState::Follower { leader: None },
            memberships,
            last_leader_contact: now,
            election_deadline: now,
            reads: Reads::default(),
            empty_stores: collections::BTreeMap::new(),
            probed_by: None,
            last_join_request: None,
            rng,
            actions: Vec::new(),
            config,
        };
        node.reset_election_deadline(now);
        node
    }

    /// Takes in one event and returns what the caller must do about it.
    pub fn step(&mut self, event: Event, now: time::Duration) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Message(message) => self.receive(message, now),
            Event::Propose { context, command } => {
                self.propose(context, Payload::Command(command), now);
            }
            Event::Read { context } => self.start_read(context, now),
            Event::Compact { index, data } => self.compact(index, data),
            Event::TransferLeadership => self.transfer_leadership(now),
        }
        mem::take(&mut self.actions)
    }

    /// Returns the role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role_state {
            RoleState::Follower { .. } => Role::Follower,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader { .. } => Role::Leader,
        }
    }

    /// Returns the leader, as far as this replica knows.
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

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership in force.
    #[must_use]
    pub fn members(&self) -> &Members {
        self.memberships.last().map_or(&self.log.snapshot().members, |(_, m)| m)
    }

    /// Returns until when no other replica can have been elected, if this one
    /// leads.
    ///
    /// The lease runs from the sending of the latest heartbeats that a quorum
    /// answered, because each voter refuses to vote for the election timeout
    /// from their receipt, which is later. A single voter's lease never ends.
    #[must_use]
    pub fn lease_until(&self) -> Option<time::Duration> {
        let RoleState::Leader { followers, .. } = &self.role_state else {
            return None;
        };
        let members = self.members();
        let acked = |node: &NodeId, store: &StoreId| {
            if *node == self.config.id {
                return Some(time::Duration::MAX);
            }
            followers.get(node).filter(|p| p.store == Some(*store)).and_then(|p| p.acked_send_time)
        };
        let mut sent: Vec<_> = members.voters.iter().map(|(n, s)| acked(n, s)).collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = sent.get(members.quorum() - 1).copied().flatten()?;
        Some(quorum.saturating_add(self.config.election_timeout * LEASE_PERCENT / 100))
    }

    /// Returns true if this replica leads and no other can have been elected
    /// since.
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
                    self.remove_lost_voter(now);
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
        let Message { from, store, term, body } = message;
        if from == self.config.id {
            return;
        }
        let replaced = self.probed_by.is_some_and(|(node, known)| node == from && known != store);
        if replaced && self.log.last_position().index == 0 {
            return;
        }
        match body {
            Body::BootstrapProbe => self.handle_bootstrap_probe(from, store),
            Body::BootstrapProbeReply { empty } => {
                self.handle_bootstrap_probe_reply(from, store, empty)
            }
            Body::Join => self.handle_join(from, store, now),
            Body::ForwardJoin { node, store } => self.add_learner(node, store, now),
            Body::PreVote { last } => {
                self.readmit_removed(from, store, now);
                self.handle_pre_vote(from, term, last, now);
            }
            Body::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(from, store, term, granted, now);
            }
            Body::Vote { last, transfer } => self.handle_vote(from, term, last, transfer, now),
            Body::VoteReply { granted } => {
                self.observe_term(term, now);
                self.handle_vote_reply(from, store, term, granted, now);
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
                self.handle_append_reply(from, store, term, outcome, sent, now);
            }
            Body::ReadIndex { context } => self.handle_read_index(from, context, now),
            Body::ReadIndexReply { context, index } => {
                self.handle_read_index_reply(context, index, now)
            }
            Body::TimeoutNow => self.handle_timeout_now(from, term, now),
        }
    }

    /// Steps down for a higher term seen in an answer.
    pub(super) fn observe_term(&mut self, term: Term, now: time::Duration) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.become_follower(None, now);
        }
    }

    pub(super) fn become_follower(&mut self, leader: Option<NodeId>, now: time::Duration) {
        let changed = self.role() != Role::Follower;
        self.role_state = RoleState::Follower { leader };
        self.reset_election_deadline(now);
        if changed {
            self.fail_reads();
            self.actions.push(Action::RoleChanged(Role::Follower));
        }
    }

    /// Waits between one and two election timeouts before campaigning.
    pub(super) fn reset_election_deadline(&mut self, now: time::Duration) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_deadline =
            now + self.config.election_timeout + self.config.election_timeout.mul_f64(jitter);
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.actions.push(Action::Persist(DurableWrite::HardState(hard_state)));
        }
    }

    pub(super) fn send(&mut self, to: NodeId, body: Body) {
        self.send_in_term(to, self.hard_state.term, body);
    }

    pub(super) fn send_in_term(&mut self, to: NodeId, term: Term, body: Body) {
        let message = Message { from: self.config.id, store: self.config.store, term, body };
        self.actions.push(Action::Send { to, message });
    }

    /// Returns every other replica that the settings or the membership name.
    pub(super) fn other_replicas(&self) -> collections::BTreeSet<NodeId> {
        let members = self.members().others(self.config.id);
        let named = self.config.peers.iter().copied().filter(|p| *p != self.config.id);
        named.chain(members).collect()
    }

    /// Names other replicas to ask, after the settings changed.
    pub fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.config.peers = peers;
    }

    /// Returns true if this replica's own store is a voter's.
    pub(super) fn is_voter(&self) -> bool {
        self.members().is_voter(self.config.id, self.config.store)
    }

    /// Appends an entry of the current term to the own log.
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
        self.actions.push(Action::Persist(DurableWrite::Append(entries)));
    }

    pub(super) fn truncate(&mut self, first: log::Index) {
        self.log.truncate_from(first);
        self.memberships.retain(|(index, _)| *index < first);
        self.actions.push(Action::Persist(DurableWrite::Truncate(first)));
    }

    fn compact(&mut self, index: Index, data: Vec<u8>) {
        let known = self.log.term_at(index).filter(|_| index > self.log.snapshot().position.index);
        let Some(term) = known.filter(|_| index <= self.commit_index) else {
            return;
        };
        let members = self.memberships.iter().rfind(|(at, _)| *at <= index).map(|(_, m)| m.clone());
        let snapshot = Snapshot {
            position: Position { term, index },
            members: members.unwrap_or_else(|| self.log.snapshot().members.clone()),
            data: std::sync::Arc::new(data),
        };
        self.actions.push(Action::Persist(DurableWrite::InstallSnapshot(snapshot.clone())));
        self.log.install_snapshot(snapshot);
        self.memberships.retain(|(at, _)| *at > index);
    }
}
