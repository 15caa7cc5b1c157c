//! The thread that runs a control replica: its log, its disk and its state.
//!
//! The thread takes in everything that has arrived, steps the consensus
//! machine for each, makes all resulting changes durable with one sync, and
//! only then sends, applies and answers. Under load one sync thus serves many
//! proposals.

mod changes;
mod worker;

use std::{
    convert, path,
    sync::{
        self,
        atomic::{self, AtomicU64},
        mpsc,
    },
    thread, time,
};

use parking_lot::{Mutex, RwLock};
use snafu::{ResultExt as _, Snafu};
use tokio::sync as tsync;

use crate::{
    connection::peer,
    version::{lead, raft, state},
};

use self::changes::Changes;
use super::{clock, disk, timeline};

/// Why a replica could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Disk {
        /// Why.
        source: disk::Error,
    },
    /// The snapshot does not decode.
    #[snafu(display("snapshot: {source}"))]
    Snapshot {
        /// What the decoder says.
        source: postcard::Error,
    },
    /// No thread could be started.
    #[snafu(display("thread: {source}"))]
    Thread {
        /// What the system says.
        source: std::io::Error,
    },
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It was committed and applied.
    Decided {
        /// Index in the log.
        index: raft::Index,
        /// What became of it.
        outcome: state::Outcome,
    },
    /// It was not appended and never will be.
    NotLeader {
        /// Where to try instead.
        leader: Option<raft::NodeId>,
    },
    /// It may or may not be decided later.
    Lost,
}

enum Input {
    Message(raft::Message),
    Propose { change: state::Change, reply: tsync::oneshot::Sender<Decision> },
    Read { reply: tsync::oneshot::Sender<Option<raft::Index>> },
    Peers(Vec<raft::NodeId>),
    Transfer { done: tsync::oneshot::Sender<()> },
}

/// How a replica reaches the others; a message that can't be sent is dropped.
pub type Outbox = Box<dyn Fn(raft::NodeId, raft::Message) + Send>;

/// Yields an error when the replica's thread has ended.
pub type Ended = tsync::oneshot::Receiver<convert::Infallible>;

/// Settings of a replica.
pub struct Options {
    /// Settings of the consensus machine; its store is read from the folder.
    pub raft: raft::Config,
    /// Data folder.
    pub folder: path::PathBuf,
    /// How it leads.
    pub lead: lead::Policy,
    /// Sends to other replicas.
    pub outbox: Outbox,
    /// Clocks of the process.
    pub clock: sync::Arc<clock::Clock>,
    /// Time line of the process.
    pub timeline: sync::Arc<timeline::Timeline>,
}

/// State that the replica's thread shares with the rest of the process.
#[derive(Debug)]
struct Shared {
    state: RwLock<state::State>,
    changes: Mutex<Changes>,
    lead: Mutex<Option<lead::Leader>>,
    applied: tsync::watch::Sender<raft::Index>,
    /// End of the leader's lease in ms of the monotonic clock; zero without.
    lease: AtomicU64,
    status: Mutex<Standing>,
}

/// Consensus state as of the latest turn of the thread.
#[derive(Clone, Debug, Default)]
struct Standing {
    role: Option<raft::Role>,
    leader: Option<raft::NodeId>,
    term: raft::Term,
    commit: raft::Index,
    entries: usize,
    members: raft::Members,
}

/// A handle to a running replica.
#[derive(Clone, Debug)]
pub struct Replica {
    id: raft::NodeId,
    inbox: mpsc::Sender<Input>,
    shared: sync::Arc<Shared>,
    clock: sync::Arc<clock::Clock>,
}

impl Replica {
    /// Opens the data folder and starts the thread. The returned receiver
    /// yields when the thread has ended, which it does only with the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder can't be used.
    pub fn start(options: Options) -> Result<(Self, Ended), Error> {
        let Options { mut raft, folder, lead, outbox, clock, timeline } = options;
        let opened = disk::Disk::open(&folder).context(DiskSnafu)?;
        if opened.torn_bytes > 0 {
            spdlog::warn!("cut off a torn tail", kv: { bytes = opened.torn_bytes });
        }
        raft.store = opened.disk.store_id();
        let state = match &opened.restored.snapshot {
            Some(snapshot) => decode_state(snapshot).context(SnapshotSnafu)?,
            None => state::State::default(),
        };
        let changes = Changes::new(state.index, &state.view);
        let (applied, _) = tsync::watch::channel(state.index);
        let shared = sync::Arc::new(Shared {
            state: RwLock::new(state),
            changes: Mutex::new(changes),
            lead: Mutex::new(None),
            applied,
            lease: AtomicU64::new(0),
            status: Mutex::default(),
        });
        let (inbox, inputs) = mpsc::channel();
        let id = raft.id;
        let node = raft::Raft::new(raft, opened.restored, clock.now());
        let worker = worker::Worker::new(
            node,
            opened.disk,
            shared.clone(),
            outbox,
            clock.clone(),
            timeline,
            lead,
        );
        let (running, ended) = tsync::oneshot::channel();
        thread::Builder::new()
            .name("replica".into())
            .spawn(move || {
                worker.run(&inputs);
                drop(running);
            })
            .context(ThreadSnafu)?;
        Ok((Self { id, inbox, shared, clock }, ended))
    }

    /// Hands in a message from another replica.
    pub fn receive(&self, message: raft::Message) {
        self.input(Input::Message(message));
    }

    /// Replicates a change.
    pub async fn propose(&self, change: state::Change) -> Decision {
        let (reply, decision) = tsync::oneshot::channel();
        self.input(Input::Propose { change, reply });
        decision.await.unwrap_or(Decision::Lost)
    }

    /// Returns the changes of the view after `index`, with proof that the
    /// leader held its lease after this call began; or `None`.
    pub async fn poll(&self, index: raft::Index) -> Option<peer::Update> {
        let (reply, ready) = tsync::oneshot::channel();
        self.input(Input::Read { reply });
        let safe = ready.await.ok().flatten()?;
        let mut applied = self.shared.applied.subscribe();
        applied.wait_for(|a| *a >= safe).await.ok()?;
        Some(self.changes_after(index))
    }

    /// Hands leadership over, for a planned stop.
    pub async fn transfer(&self) {
        let (done, waiting) = tsync::oneshot::channel();
        self.input(Input::Transfer { done });
        // An error means that the thread has ended, so there is nothing to do.
        let _ = waiting.await;
    }

    /// Looks at the replicated state.
    pub fn look<T>(&self, with: impl FnOnce(&state::State) -> T) -> T {
        with(&self.shared.state.read())
    }

    /// Acts as leader, or returns `None` if this replica does not lead or can't
    /// prove that no other does.
    pub fn lead<T>(
        &self,
        with: impl FnOnce(&mut lead::Leader, &state::State, time::Duration) -> T,
    ) -> Option<T> {
        let state = self.shared.state.read();
        let mut lead = self.shared.lead.lock();
        let now = self.clock.now();
        let lease = time::Duration::from_millis(self.shared.lease.load(atomic::Ordering::SeqCst));
        let leader = lead.as_mut().filter(|_| now < lease)?;
        Some(with(leader, &state, now))
    }

    /// Returns the membership as of the latest turn of the thread.
    #[must_use]
    pub fn members(&self) -> raft::Members {
        self.shared.status.lock().members.clone()
    }

    /// Names other replicas to ask, after the settings changed.
    pub fn set_peers(&self, peers: Vec<raft::NodeId>) {
        self.input(Input::Peers(peers));
    }

    /// Returns the leader, as far as known.
    #[must_use]
    pub fn leader(&self) -> Option<raft::NodeId> {
        self.shared.status.lock().leader
    }

    /// Describes the replica.
    #[must_use]
    pub fn status(&self) -> peer::Status {
        let standing = self.shared.status.lock().clone();
        let state = self.shared.state.read();
        peer::Status {
            node: self.id,
            role: standing.role.map_or("starting".into(), |r| format!("{r:?}").to_lowercase()),
            leader: standing.leader,
            term: standing.term,
            commit: standing.commit,
            applied: state.index,
            entries: standing.entries,
            voters: standing.members.voters.keys().copied().collect(),
            learners: standing.members.learners.keys().copied().collect(),
            claims: state.claims.len(),
            sessions: state.claims.sessions().collect(),
        }
    }

    fn input(&self, input: Input) {
        // The thread ends only with the process; what is sent to it then gets
        // its answer by the dropped reply channel.
        let _ = self.inbox.send(input);
    }

    fn changes_after(&self, index: raft::Index) -> peer::Update {
        let state = self.shared.state.read();
        let mut changes = self.shared.changes.lock();
        changes.update(index, state.index, &state.view)
    }
}

fn decode_state(snapshot: &raft::Snapshot) -> Result<state::State, postcard::Error> {
    if snapshot.data.is_empty() {
        return Ok(state::State::default());
    }
    postcard::from_bytes(&snapshot.data)
}
