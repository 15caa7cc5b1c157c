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
pub(super) const APPEND_ENTRIES: usize = 512;

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
    pub found: bool,
    /// Most voters; replicas beyond these follow as learners until a voter is
    /// lost.
    pub voters: usize,
    /// Least time without a leader before an election; also the time for which
    /// a voter that heard a leader refuses to vote.
    pub election: time::Duration,
    /// Time between heartbeats.
    pub heartbeat: time::Duration,
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
    pub hard: HardState,
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
    Transfer,
}

/// A change of durable state, in the order in which it must be written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Term and vote.
    Hard(HardState),
    /// Entries after the last one.
    Append(Vec<Entry>),
    /// The entry at this index and all behind it are gone.
    Truncate(Index),
    /// The snapshot replaces all up to its position.
    Install(Snapshot),
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make the change durable before anything else of this batch.
    Persist(Change),
    /// Send a message.
    Send {
        /// Receiver.
        to: NodeId,
        /// Content.
        message: Message,
    },
    /// A proposal was appended; it is decided when its position commits.
    Accepted {
        /// Echo of the proposal.
        context: u64,
        /// Where it was appended.
        position: Position,
    },
    /// A proposal was not appended and never will be.
    Rejected {
        /// Echo of the proposal.
        context: u64,
        /// Where to try instead.
        leader: Option<NodeId>,
    },
    /// Apply these entries to the state machine.
    Commit(Vec<Entry>),
    /// Replace the state machine by the snapshot.
    Restore(Snapshot),
    /// A read may be served once the index is applied; with `None` it may not.
    ReadReady {
        /// Echo of the read.
        context: u64,
        /// Index to wait for.
        index: Option<Index>,
    },
    /// The role changed.
    Became(Role),
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
pub(super) enum Standing {
    Follower { leader: Option<NodeId> },
    PreCandidate { granted: collections::BTreeSet<NodeId> },
    Candidate { granted: collections::BTreeSet<NodeId> },
    Leader { followers: collections::BTreeMap<NodeId, Progress>, beat: time::Duration },
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
///     found: true,
///     voters: 1,
///     election: time::Duration::from_millis(500),
///     heartbeat: time::Duration::from_millis(50),
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
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) commit: Index,
    pub(super) standing: Standing,
    /// Memberships after the snapshot's, each with the index that set it.
    pub(super) changes: Vec<(Index, Members)>,
    /// When a current leader was last heard. A restart counts as hearing one,
    /// since the promise not to vote during a lease must outlive the process.
    pub(super) heard: time::Duration,
    pub(super) deadline: time::Duration,
    pub(super) reads: Reads,
    /// Stores that answered that their folder is empty.
    pub(super) empties: collections::BTreeMap<NodeId, StoreId>,
    /// Replica that was told that this folder is empty, and its store.
    pub(super) founder: Option<(NodeId, StoreId)>,
    pub(super) joined: Option<time::Duration>,
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
        let changes = restored
            .entries
            .iter()
            .filter_map(|e| match &e.payload {
                Payload::Members(m) => Some((e.position.index, m.clone())),
                Payload::Noop | Payload::Command(_) => None,
            })
            .collect();
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(config.seed ^ config.id);
        let mut node = Self {
            hard: restored.hard,
            commit: snapshot.position.index,
            log: Log::new(snapshot, restored.entries),
            standing: Standing::Follower { leader: None },
            changes,
            heard: now,
            deadline: now,
            reads: Reads::default(),
            empties: collections::BTreeMap::new(),
            founder: None,
            joined: None,
            rng,
            actions: Vec::new(),
            config,
        };
        node.reset_deadline(now);
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
            Event::Read { context } => self.read(context, now),
            Event::Compact { index, data } => self.compact(index, data),
            Event::Transfer => self.transfer(now),
        }
        mem::take(&mut self.actions)
    }

    /// Returns the role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.standing {
            Standing::Follower { .. } => Role::Follower,
            Standing::PreCandidate { .. } | Standing::Candidate { .. } => Role::Candidate,
            Standing::Leader { .. } => Role::Leader,
        }
    }

    /// Returns the leader, as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        match self.standing {
            Standing::Follower { leader } => leader,
            Standing::Leader { .. } => Some(self.config.id),
            Standing::PreCandidate { .. } | Standing::Candidate { .. } => None,
        }
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the highest index known to be committed.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership in force.
    #[must_use]
    pub fn members(&self) -> &Members {
        self.changes.last().map_or(&self.log.snapshot().members, |(_, m)| m)
    }

    /// Returns until when no other replica can have been elected, if this one
    /// leads.
    ///
    /// The lease runs from the sending of the latest heartbeats that a quorum
    /// answered, because each voter refuses to vote for the election timeout
    /// from their receipt, which is later. A single voter's lease never ends.
    #[must_use]
    pub fn lease_until(&self) -> Option<time::Duration> {
        let Standing::Leader { followers, .. } = &self.standing else {
            return None;
        };
        let members = self.members();
        let acked = |node: &NodeId, store: &StoreId| {
            if *node == self.config.id {
                return Some(time::Duration::MAX);
            }
            followers.get(node).filter(|p| p.store == Some(*store)).and_then(|p| p.acked)
        };
        let mut sent: Vec<_> = members.voters.iter().map(|(n, s)| acked(n, s)).collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = sent.get(members.quorum() - 1).copied().flatten()?;
        Some(quorum.saturating_add(self.config.election * LEASE_PERCENT / 100))
    }

    /// Returns true if this replica leads and no other can have been elected
    /// since.
    #[must_use]
    pub fn has_lease(&self, now: time::Duration) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    fn tick(&mut self, now: time::Duration) {
        if self.commit == 0 {
            self.form(now);
        }
        self.ask_to_join(now);
        self.expire_read(now);
        match &self.standing {
            Standing::Leader { beat, .. } => {
                let due = now >= *beat + self.config.heartbeat;
                self.check_quorum(now);
                if due {
                    self.broadcast(now);
                    self.replace_lost(now);
                    self.promote(now);
                }
            }
            Standing::Follower { .. }
            | Standing::PreCandidate { .. }
            | Standing::Candidate { .. } => {
                if now >= self.deadline {
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
        let replaced = self.founder.is_some_and(|(node, known)| node == from && known != store);
        if replaced && self.log.last().index == 0 {
            return;
        }
        match body {
            Body::Probe => self.probed(from, store),
            Body::ProbeReply { empty } => self.probe_answered(from, store, empty),
            Body::Join => self.ask_in(from, store, now),
            Body::Introduce { node, store } => self.join(node, store, now),
            Body::PreVote { last } => {
                self.take_back(from, store, now);
                self.pre_vote(from, term, last, now);
            }
            Body::PreVoteReply { granted } => {
                self.pre_vote_answered(from, store, term, granted, now);
            }
            Body::Vote { last, transfer } => self.vote(from, term, last, transfer, now),
            Body::VoteReply { granted } => {
                self.observe(term, now);
                self.vote_answered(from, store, term, granted, now);
            }
            Body::Append { prev, entries, commit, sent } => {
                if self.follow(from, term, now) {
                    self.append(from, prev, &entries, commit, sent);
                } else {
                    self.refuse_stale(from, sent);
                }
            }
            Body::Install { snapshot, sent } => {
                if self.follow(from, term, now) {
                    self.install(from, snapshot, sent);
                }
            }
            Body::AppendReply { outcome, sent } => {
                self.observe(term, now);
                self.append_answered(from, store, term, outcome, sent, now);
            }
            Body::Read { context } => self.read_asked(from, context, now),
            Body::ReadReply { context, index } => self.read_answered(context, index, now),
            Body::Transfer => self.take_over(from, term, now),
        }
    }

    /// Steps down for a higher term seen in an answer.
    pub(super) fn observe(&mut self, term: Term, now: time::Duration) {
        if term > self.hard.term {
            self.set_hard(HardState { term, vote: None });
            self.become_follower(None, now);
        }
    }

    pub(super) fn become_follower(&mut self, leader: Option<NodeId>, now: time::Duration) {
        let changed = self.role() != Role::Follower;
        self.standing = Standing::Follower { leader };
        self.reset_deadline(now);
        if changed {
            self.fail_reads();
            self.actions.push(Action::Became(Role::Follower));
        }
    }

    /// Waits between one and two election timeouts before campaigning.
    pub(super) fn reset_deadline(&mut self, now: time::Duration) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.deadline = now + self.config.election + self.config.election.mul_f64(jitter);
    }

    pub(super) fn set_hard(&mut self, hard: HardState) {
        if self.hard != hard {
            self.hard = hard;
            self.actions.push(Action::Persist(Change::Hard(hard)));
        }
    }

    pub(super) fn send(&mut self, to: NodeId, body: Body) {
        self.send_in_term(to, self.hard.term, body);
    }

    pub(super) fn send_in_term(&mut self, to: NodeId, term: Term, body: Body) {
        let message = Message { from: self.config.id, store: self.config.store, term, body };
        self.actions.push(Action::Send { to, message });
    }

    /// Returns every other replica that the settings or the membership name.
    pub(super) fn others(&self) -> collections::BTreeSet<NodeId> {
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
        self.members().votes(self.config.id, self.config.store)
    }

    /// Appends an entry of the current term to the own log.
    pub(super) fn append_local(&mut self, payload: Payload) -> Position {
        let position = Position { term: self.hard.term, index: self.log.last().index + 1 };
        self.append_entries(vec![Entry { position, payload }]);
        position
    }

    pub(super) fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            if let Payload::Members(members) = &entry.payload {
                self.changes.push((entry.position.index, members.clone()));
            }
        }
        self.log.append(&entries);
        self.actions.push(Action::Persist(Change::Append(entries)));
    }

    pub(super) fn truncate(&mut self, first: log::Index) {
        self.log.truncate(first);
        self.changes.retain(|(index, _)| *index < first);
        self.actions.push(Action::Persist(Change::Truncate(first)));
    }

    fn compact(&mut self, index: Index, data: Vec<u8>) {
        let known = self.log.term(index).filter(|_| index > self.log.snapshot().position.index);
        let Some(term) = known.filter(|_| index <= self.commit) else {
            return;
        };
        let members = self.changes.iter().rfind(|(at, _)| *at <= index).map(|(_, m)| m.clone());
        let snapshot = Snapshot {
            position: Position { term, index },
            members: members.unwrap_or_else(|| self.log.snapshot().members.clone()),
            data: std::sync::Arc::new(data),
        };
        self.actions.push(Action::Persist(Change::Install(snapshot.clone())));
        self.log.install(snapshot);
        self.changes.retain(|(at, _)| *at > index);
    }
}
