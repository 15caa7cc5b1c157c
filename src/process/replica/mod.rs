//! A replica of the log and of the state machine, which runs on its own thread.
//!
//! The thread handles inputs in batches. It steps the Raft node with every input
//! that has arrived, makes all resulting writes durable with one sync, and only
//! then sends messages, applies entries and replies. Under load many proposals
//! share one sync.

mod changes;
mod group;
mod lease;
mod worker;

use std::{
    convert, path,
    sync::{
        self,
        atomic::{self, AtomicBool, AtomicU64},
        mpsc,
    },
    thread, time,
};

use parking_lot::{Mutex, RwLock};
use snafu::{ResultExt as _, Snafu};
use tokio::sync as tsync;

use crate::{
    connection::peer,
    version::{lead, raft, state, supplement::Supplement},
};

use self::changes::RecentChanges;
use super::{clock, disk, timeline};

/// Why a replica could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Disk {
        /// Error of the disk.
        source: disk::Error,
    },
    /// The snapshot in the data folder does not decode.
    #[snafu(display("decoding the snapshot failed: {source}"))]
    Snapshot {
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The operating system did not start the thread.
    #[snafu(display("starting the replica's thread failed: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The change was committed and applied.
    Committed {
        /// Index in the log.
        index: raft::Index,
        /// Result of applying it. The state machine may have refused it.
        outcome: state::Outcome,
    },
    /// The change was not appended to the log, because this replica does not lead.
    NotLeader {
        /// Current leader, if known.
        leader: Option<raft::NodeId>,
    },
    /// This replica stopped leading before it knew whether the change is committed.
    /// The change may or may not be committed later.
    OutcomeUnknown,
}

/// Input of the replica's thread.
enum Input {
    Message(raft::Message),
    Propose { change: state::Change, reply: tsync::oneshot::Sender<ProposalResult> },
    Read { reply: tsync::oneshot::Sender<Option<raft::Index>> },
    SetPeers(Vec<raft::NodeId>),
    PrepareStop { done: tsync::oneshot::Sender<()> },
}

/// Sends a message to another replica. A message that can't be sent is dropped; Raft
/// sends again.
pub type Outbox = Box<dyn Fn(raft::NodeId, raft::Message) + Send>;

/// Completes with an error when the replica's thread has ended.
pub type Ended = tsync::oneshot::Receiver<convert::Infallible>;

/// Settings of a replica.
pub struct Options {
    /// Settings of the Raft node. The store id is read from the data folder.
    pub raft: raft::Config,
    /// Path of the data folder, which is created if it does not exist.
    pub data_folder: path::PathBuf,
    /// Settings that apply while this replica leads.
    pub leader_policy: lead::Policy,
    /// Called on the replica's thread.
    pub outbox: Outbox,
    /// Clocks of the process.
    pub clock: sync::Arc<clock::Clock>,
    /// Time line of the process, to which committed and refused changes are added.
    pub timeline: sync::Arc<timeline::Timeline>,
}

/// State shared between the replica's thread and its handles.
#[derive(Debug)]
struct Shared {
    state: RwLock<state::State>,
    changes: Mutex<RecentChanges>,
    /// Present from the first entry committed in a term that this replica leads
    /// until it steps down.
    leader: Mutex<Option<lead::Leader>>,
    applied_index: tsync::watch::Sender<raft::Index>,
    /// End of the leader lease in ms of the monotonic clock; 0 without a lease.
    lease_until_ms: AtomicU64,
    /// Whether a committed entry can't be applied by this build.
    stalled: AtomicBool,
    /// When the thread completed its latest batch, in ms of the monotonic clock.
    last_batch_ms: AtomicU64,
    raft_status: Mutex<RaftStatus>,
}

/// State of the Raft node after the latest batch.
#[derive(Clone, Debug, Default)]
struct RaftStatus {
    /// `None` before the first batch.
    role: Option<raft::Role>,
    leader: Option<raft::NodeId>,
    term: raft::Term,
    commit_index: raft::Index,
    /// Number of entries after the snapshot.
    log_len: usize,
    members: raft::Members,
}

/// A handle to a running replica.
#[derive(Clone, Debug)]
pub struct Replica {
    id: raft::NodeId,
    inputs: mpsc::Sender<Input>,
    shared: sync::Arc<Shared>,
    clock: sync::Arc<clock::Clock>,
}

impl Replica {
    /// Opens the data folder and starts the thread, which runs until every handle is
    /// dropped. The returned receiver completes when the thread has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder can't be used, its snapshot does not
    /// decode or the thread can't be started.
    pub fn start(options: Options) -> Result<(Self, Ended), Error> {
        let Options { mut raft, data_folder, leader_policy, outbox, clock, timeline } = options;
        let opened = disk::Disk::open(&data_folder).context(DiskSnafu)?;
        if opened.torn_bytes > 0 {
            spdlog::warn!("removed an incomplete write at the end of the log file", kv: {
                bytes = opened.torn_bytes
            });
        }
        raft.store_id = opened.disk.store_id();
        let state = match &opened.restored.snapshot {
            Some(snapshot) => decode_state(snapshot).context(SnapshotSnafu)?,
            None => state::State::default(),
        };
        let changes = RecentChanges::new(state.index, &state.view);
        let (applied_index, _) = tsync::watch::channel(state.index);
        let shared = sync::Arc::new(Shared {
            state: RwLock::new(state),
            changes: Mutex::new(changes),
            leader: Mutex::new(None),
            applied_index,
            lease_until_ms: AtomicU64::new(0),
            stalled: AtomicBool::new(false),
            last_batch_ms: AtomicU64::new(0),
            raft_status: Mutex::default(),
        });
        let (inputs, receiver) = mpsc::channel();
        let id = raft.id;
        let node = raft::Raft::new(raft, opened.restored, clock.now());
        let worker = worker::Worker::new(
            node,
            opened.disk,
            shared.clone(),
            outbox,
            clock.clone(),
            timeline,
            leader_policy,
        );
        let (running, ended) = tsync::oneshot::channel();
        thread::Builder::new()
            .name("replica".into())
            .spawn(move || {
                worker.run(&receiver);
                drop(running);
            })
            .context(ThreadSnafu)?;
        Ok((Self { id, inputs, shared, clock }, ended))
    }

    /// Handles a message from another replica.
    pub fn receive(&self, message: raft::Message) {
        self.send_input(Input::Message(message));
    }

    /// Replicates a change and returns the result. There is no time limit.
    pub async fn propose(&self, change: state::Change) -> ProposalResult {
        let (reply, result) = tsync::oneshot::channel();
        self.send_input(Input::Propose { change, reply });
        result.await.unwrap_or(ProposalResult::OutcomeUnknown)
    }

    /// Returns the update from the view at `index` to a view that contains every
    /// change committed before this call. Returns `None` if no leader that held its
    /// lease after the call began confirmed the read.
    pub async fn poll(&self, index: raft::Index) -> Option<peer::Update> {
        self.catch_up().await?;
        Some(self.changes_since(index, &self.shared.state.read()))
    }

    /// Does the same as [`Self::poll`], and returns the later parts of the view with the update
    /// if they have changed after the log entry at `supplemented_at`. Both are of the same index,
    /// so the fields are those of the catalog in the update.
    pub async fn poll_all(
        &self,
        index: raft::Index,
        supplemented_at: raft::Index,
    ) -> Option<(peer::Update, Option<Supplement>)> {
        self.catch_up().await?;
        let state = self.shared.state.read();
        Some((self.changes_since(index, &state), state.supplement_after(supplemented_at)))
    }

    /// Waits until every change committed before this call is applied here, and returns the log
    /// index up to which this is proved. Returns `None` as [`Self::poll`] does.
    pub async fn catch_up(&self) -> Option<raft::Index> {
        let (reply, read_index) = tsync::oneshot::channel();
        self.send_input(Input::Read { reply });
        let read_index = read_index.await.ok().flatten()?;
        let mut applied_index = self.shared.applied_index.subscribe();
        let stalled = || self.shared.stalled.load(atomic::Ordering::SeqCst);
        applied_index.wait_for(|applied| *applied >= read_index || stalled()).await.ok()?;
        (!stalled()).then_some(read_index)
    }

    /// Tells the other replicas that this one is about to stop, and transfers leadership to
    /// another voter if this one leads. Returns once the outbox has been called with the
    /// messages.
    pub async fn prepare_stop(&self) {
        let (done, completed) = tsync::oneshot::channel();
        self.send_input(Input::PrepareStop { done });
        // An error means that the thread has ended.
        let _ = completed.await;
    }

    /// Calls `read` with the replicated state, which may lag behind the log.
    pub fn read_state<T>(&self, read: impl FnOnce(&state::State) -> T) -> T {
        read(&self.shared.state.read())
    }

    /// Calls `act` with the state of the leader, the replicated state and the time.
    /// Returns `None` if this replica does not hold the leader lease, or has not yet
    /// applied all entries of earlier leaders.
    pub fn as_leader<T>(
        &self,
        act: impl FnOnce(&mut lead::Leader, &state::State, time::Duration) -> T,
    ) -> Option<T> {
        let state = self.shared.state.read();
        let mut leader = self.shared.leader.lock();
        let now = self.clock.now();
        let lease_until =
            time::Duration::from_millis(self.shared.lease_until_ms.load(atomic::Ordering::SeqCst));
        let leader = leader.as_mut().filter(|_| now < lease_until)?;
        Some(act(leader, &state, now))
    }

    /// Returns the membership after the thread's latest batch; empty before the
    /// first.
    #[must_use]
    pub fn members(&self) -> raft::Members {
        self.shared.raft_status.lock().members.clone()
    }

    /// Replaces the replicas named in the settings, after a change of the settings.
    pub fn set_peers(&self, peers: Vec<raft::NodeId>) {
        self.send_input(Input::SetPeers(peers));
    }

    /// Returns how long ago the thread completed its latest batch. It completes many a second
    /// unless a disk write hangs.
    #[must_use]
    pub fn thread_silence(&self) -> time::Duration {
        let last_ms = self.shared.last_batch_ms.load(atomic::Ordering::Relaxed);
        self.clock.now().saturating_sub(time::Duration::from_millis(last_ms))
    }

    /// Returns the leader, if this replica knows it.
    #[must_use]
    pub fn leader(&self) -> Option<raft::NodeId> {
        self.shared.raft_status.lock().leader
    }

    /// Returns the role, the membership and the log indices of the replica.
    #[must_use]
    pub fn status(&self) -> peer::Status {
        let raft_status = self.shared.raft_status.lock().clone();
        let state = self.shared.state.read();
        peer::Status {
            node: self.id,
            role: self.role_name(raft_status.role),
            leader: raft_status.leader,
            term: raft_status.term,
            commit: raft_status.commit_index,
            applied: state.index,
            entries: raft_status.log_len,
            voters: raft_status.members.voters.keys().copied().collect(),
            learners: raft_status.members.learners.keys().copied().collect(),
            claims: state.claims.len(),
            sessions: state.claims.sessions().collect(),
            builds: None,
        }
    }

    fn role_name(&self, role: Option<raft::Role>) -> String {
        if self.shared.stalled.load(atomic::Ordering::SeqCst) {
            return "stalled".to_owned();
        }
        role.map_or("starting".to_owned(), |r| format!("{r:?}").to_lowercase())
    }

    fn send_input(&self, input: Input) {
        // Fails only if the thread has ended. The reply channel in the input is then
        // dropped, which the caller notices.
        let _ = self.inputs.send(input);
    }

    fn changes_since(&self, index: raft::Index, state: &state::State) -> peer::Update {
        let mut changes = self.shared.changes.lock();
        changes.update(index, state.index, &state.view)
    }
}

fn decode_state(snapshot: &raft::Snapshot) -> Result<state::State, postcard::Error> {
    if snapshot.data.is_empty() {
        return Ok(state::State::default());
    }
    state::State::decode(&snapshot.data)
}
