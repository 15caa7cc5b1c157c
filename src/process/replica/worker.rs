//! The thread of a replica: executes the actions of the Raft node.

use std::{
    collections,
    sync::{self, atomic, mpsc},
    time,
};

use tokio::sync as tsync;

use crate::{
    connection::peer,
    process::{clock, disk, timeline},
    version::{lead, raft, record, state, view},
};

use super::{
    Input, Outbox, ProposalResult, RaftStatus, RecentChanges, Shared, decode_state,
    group::GroupLog, lease::LeaseLog,
};

/// Time between ticks of the Raft node.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Delay before a failed disk write is tried again.
const DISK_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Maximum number of inputs handled with one sync, after the one that the thread
/// waited for.
const MAX_BATCH: usize = 1_024;

/// Number of entries applied between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 2_000;

/// Size of the commands applied between two snapshots, in bytes. Bounds the memory
/// and disk space of the log, which must fit a small machine.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// State of the replica's thread.
pub(super) struct Worker {
    node: raft::Raft,
    disk: disk::Disk,
    shared: sync::Arc<Shared>,
    outbox: Outbox,
    clock: sync::Arc<clock::Clock>,
    timeline: sync::Arc<timeline::Timeline>,
    /// Proposals in the log that are not applied yet, by index, each with its term.
    appended_proposals:
        collections::BTreeMap<raft::Index, (raft::Term, tsync::oneshot::Sender<ProposalResult>)>,
    /// Proposals that the Raft node has neither appended nor rejected, by context.
    pending_proposals: collections::HashMap<u64, tsync::oneshot::Sender<ProposalResult>>,
    /// Reads that wait for their index, by context.
    pending_reads: collections::HashMap<u64, tsync::oneshot::Sender<Option<raft::Index>>>,
    last_context: u64,
    /// Index of the latest snapshot.
    snapshot_index: raft::Index,
    /// Size of the commands applied since the latest snapshot that this replica took.
    bytes_since_snapshot: usize,
    leader_policy: lead::Policy,
    lease_log: LeaseLog,
    group_log: GroupLog,
}

impl Worker {
    /// Creates the state of the thread from what was restored from disk.
    pub(super) fn new(
        node: raft::Raft,
        disk: disk::Disk,
        shared: sync::Arc<Shared>,
        outbox: Outbox,
        clock: sync::Arc<clock::Clock>,
        timeline: sync::Arc<timeline::Timeline>,
        leader_policy: lead::Policy,
    ) -> Self {
        let snapshot_index = shared.state.read().index;
        Self {
            node,
            disk,
            shared,
            outbox,
            clock,
            timeline,
            appended_proposals: collections::BTreeMap::new(),
            pending_proposals: collections::HashMap::new(),
            pending_reads: collections::HashMap::new(),
            last_context: 0,
            snapshot_index,
            bytes_since_snapshot: 0,
            leader_policy,
            lease_log: LeaseLog::default(),
            group_log: GroupLog::default(),
        }
    }

    /// Runs until every handle is dropped.
    pub(super) fn run(mut self, inputs: &mpsc::Receiver<Input>) {
        let mut last_tick = self.clock.now();
        loop {
            let mut actions = Vec::new();
            let mut stops = Vec::new();
            match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(input) => self.handle_input(input, &mut actions, &mut stops),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter().take(MAX_BATCH) {
                self.handle_input(input, &mut actions, &mut stops);
            }
            let now = self.clock.now();
            if now >= last_tick + TICK_INTERVAL {
                last_tick = now;
                actions.extend(self.node.step(raft::Event::Tick, now));
            }
            self.compact(&mut actions);
            self.execute_all(actions);
            self.publish_status();
            for done in stops {
                let _ = done.send(());
            }
        }
    }

    /// Steps the Raft node with an input. Adds the resulting actions to `actions`, and
    /// the sender of a preparation to stop, which is notified after they are executed, to
    /// `stops`.
    fn handle_input(
        &mut self,
        input: Input,
        actions: &mut Vec<raft::Action>,
        stops: &mut Vec<tsync::oneshot::Sender<()>>,
    ) {
        self.last_context += 1;
        let context = self.last_context;
        let event = match input {
            Input::Message(message) => raft::Event::Message(message),
            Input::Propose { change, reply } => {
                let command = state::Command { proposed_at: clock::wall_ms(), change };
                let Ok(command) = postcard::to_stdvec(&command) else {
                    return;
                };
                self.pending_proposals.insert(context, reply);
                raft::Event::Propose { context, command }
            }
            Input::Read { reply } => {
                self.pending_reads.insert(context, reply);
                raft::Event::Read { context }
            }
            Input::SetPeers(peers) => {
                self.node.set_peers(peers);
                return;
            }
            Input::PrepareStop { done } => {
                stops.push(done);
                raft::Event::Stop
            }
        };
        actions.extend(self.node.step(event, self.clock.now()));
    }

    /// Makes all writes durable, then executes the other actions in order.
    fn execute_all(&mut self, actions: Vec<raft::Action>) {
        let mut writes = Vec::new();
        let mut rest = Vec::new();
        for action in actions {
            match action {
                raft::Action::Persist(write) => writes.push(write),
                other => rest.push(other),
            }
        }
        if !writes.is_empty() {
            let log = self.node.log();
            let tail = log.slice(log.snapshot().position.index + 1, usize::MAX);
            let started = self.clock.now();
            write_durably(&mut self.disk, &writes, tail);
            let now = self.clock.now();
            self.node.step(raft::Event::Written { took: now.saturating_sub(started) }, now);
        }
        // A leader that steps down must stop acting as leader before its messages are
        // sent, since one of them may transfer the leadership.
        if rest.iter().any(|a| matches!(a, raft::Action::RoleChanged(raft::Role::Follower))) {
            self.shared.lease_until_ms.store(0, atomic::Ordering::SeqCst);
            *self.shared.leader.lock() = None;
        }
        let was_stalled = self.is_stalled();
        for action in rest {
            self.execute(action);
        }
        if self.is_stalled() && !was_stalled {
            let actions = self.node.step(raft::Event::ForgoLeadership, self.clock.now());
            self.execute_all(actions);
        }
    }

    fn execute(&mut self, action: raft::Action) {
        match action {
            raft::Action::Persist(_) => {}
            raft::Action::Send { to, message } => (self.outbox)(to, message),
            raft::Action::ProposalAppended { context, position } => {
                if let Some(reply) = self.pending_proposals.remove(&context) {
                    self.appended_proposals.insert(position.index, (position.term, reply));
                }
            }
            raft::Action::ProposalRejected { context, leader } => {
                if let Some(reply) = self.pending_proposals.remove(&context) {
                    let _ = reply.send(ProposalResult::NotLeader { leader });
                }
            }
            raft::Action::Apply(entries) => {
                for entry in entries {
                    self.apply_entry(&entry);
                }
            }
            raft::Action::RestoreSnapshot(snapshot) => self.restore_snapshot(&snapshot),
            raft::Action::ReadReady { context, index } => {
                if let Some(reply) = self.pending_reads.remove(&context) {
                    let _ = reply.send(index);
                }
            }
            raft::Action::RoleChanged(role) => self.handle_role_change(role),
        }
    }

    fn handle_role_change(&mut self, role: raft::Role) {
        let term = self.node.term();
        spdlog::info!("role changed", kv: { role = format!("{role:?}").as_str(), term = term });
        match role {
            raft::Role::Leader => self.timeline.record(timeline::Kind::Leading { term }),
            raft::Role::Follower => self.timeline.record(timeline::Kind::Following { term }),
            raft::Role::Candidate => {}
        }
        if role != raft::Role::Leader {
            // The next leader may commit or overwrite these entries.
            for (_, (_, reply)) in std::mem::take(&mut self.appended_proposals) {
                let _ = reply.send(ProposalResult::OutcomeUnknown);
            }
        }
    }

    fn apply_entry(&mut self, entry: &raft::Entry) {
        let raft::Position { term, index } = entry.position;
        if self.is_stalled() {
            return;
        }
        let outcome = match &entry.payload {
            raft::Payload::Command(bytes) => match postcard::from_bytes(bytes) {
                Ok(command) => self.apply_command(index, command, bytes.len()),
                Err(error) => return self.stall(index, &error),
            },
            raft::Payload::Noop | raft::Payload::Members(_) => {
                self.shared.state.write().index = index;
                state::Outcome::Applied
            }
        };
        let leads = self.node.role() == raft::Role::Leader && term == self.node.term();
        if leads && matches!(entry.payload, raft::Payload::Noop) {
            // Every entry that earlier leaders committed precedes the first entry of
            // this term, so the state is complete from here on.
            *self.shared.leader.lock() =
                Some(lead::Leader::new(term, self.leader_policy, self.clock.now()));
        }
        self.shared.applied_index.send_replace(index);
        if let Some((proposed_term, reply)) = self.appended_proposals.remove(&index) {
            let result = if proposed_term == term {
                ProposalResult::Committed { index, outcome }
            } else {
                ProposalResult::OutcomeUnknown
            };
            let _ = reply.send(result);
        }
    }

    /// Stops applying entries, as this build can't decode the one at `index`. A replica that
    /// skipped it would hold another state than the others. A snapshot that it can decode, or
    /// a start with a later build, gets it going again.
    fn stall(&mut self, index: raft::Index, error: &postcard::Error) {
        spdlog::error!("committed log entry does not decode; this replica applies no more", kv: {
            index,
            applied = self.shared.state.read().index,
            reason = error.to_string().as_str(),
            remedy = "start this replica with the build of the others, or a later one"
        });
        self.shared.stalled.store(true, atomic::Ordering::SeqCst);
        // Wakes the reads that wait for entries which this replica does not apply.
        self.shared.applied_index.send_modify(|_| {});
    }

    fn is_stalled(&self) -> bool {
        self.shared.stalled.load(atomic::Ordering::SeqCst)
    }

    /// Applies a command that is encoded in `len` bytes.
    fn apply_command(
        &mut self,
        index: raft::Index,
        command: state::Command,
        len: usize,
    ) -> state::Outcome {
        self.bytes_since_snapshot += len;
        let mut state = self.shared.state.write();
        let created = created_workspaces(&state.view, &command.change);
        let old_version = state.view.catalog().map(|c| c.version);
        let outcome = state.apply(index, &command);
        let new_catalog = state.view.catalog().filter(|c| Some(c.version) != old_version);
        if let state::Change::Evacuation { domain, begins, .. } = &command.change {
            self.record_evacuation(index, domain, *begins, &outcome);
            spdlog::info!("evacuation committed", kv: {
                index = index,
                domain = domain.as_str(),
                begins = *begins,
                refused = matches!(outcome, state::Outcome::Refused(_)),
                age_ms = clock::wall_ms().saturating_sub(command.proposed_at)
            });
        }
        if let Some(change) = command.change.into_view_command() {
            self.record_event(index, &change, &outcome);
            if outcome == state::Outcome::Applied {
                let change = peer::Change { index, log_time_ms: state.log_time, command: change };
                self.shared.changes.lock().push(change, new_catalog);
                if let Some(leader) = self.shared.leader.lock().as_mut() {
                    for (name, limit) in &created {
                        leader.workspace_created(name, *limit, self.clock.now());
                    }
                }
            }
        }
        outcome
    }

    /// Adds a change of the view, applied or refused, to the time line.
    fn record_event(&self, index: raft::Index, change: &view::Command, outcome: &state::Outcome) {
        let kind = match outcome {
            state::Outcome::Refused(error) => {
                timeline::Kind::Refused { index, reason: error.to_string() }
            }
            _ => timeline::Kind::Committed { index, change: describe(change) },
        };
        self.timeline.record(kind);
    }

    /// Adds an evacuation that was begun or ended, or refused, to the time line.
    fn record_evacuation(
        &self,
        index: raft::Index,
        domain: &str,
        begins: bool,
        outcome: &state::Outcome,
    ) {
        let kind = if let state::Outcome::Refused(error) = outcome {
            timeline::Kind::Refused { index, reason: error.to_string() }
        } else {
            let verb = if begins { "begins" } else { "ends" };
            let change = format!("evacuation of failure domain {domain} {verb}");
            timeline::Kind::Committed { index, change }
        };
        self.timeline.record(kind);
    }

    fn restore_snapshot(&mut self, snapshot: &raft::Snapshot) {
        let index = snapshot.position.index;
        let restored = match decode_state(snapshot) {
            Ok(restored) => restored,
            Err(error) => return self.stall(index, &error),
        };
        self.shared.stalled.store(false, atomic::Ordering::SeqCst);
        let mut state = self.shared.state.write();
        *state = restored;
        state.index = index;
        *self.shared.changes.lock() = RecentChanges::new(index, &state.view);
        self.snapshot_index = index;
        self.shared.applied_index.send_replace(index);
    }

    /// Replaces the applied part of the log by a snapshot, if it has grown to
    /// [`SNAPSHOT_ENTRIES`] or [`SNAPSHOT_BYTES`].
    fn compact(&mut self, actions: &mut Vec<raft::Action>) {
        let state = self.shared.state.read();
        let enough_entries = state.index >= self.snapshot_index + SNAPSHOT_ENTRIES;
        if !enough_entries && self.bytes_since_snapshot < SNAPSHOT_BYTES {
            return;
        }
        let Ok(data) = state.encode() else {
            return;
        };
        self.snapshot_index = state.index;
        self.bytes_since_snapshot = 0;
        let event = raft::Event::Compact { index: state.index, data };
        actions.extend(self.node.step(event, self.clock.now()));
    }

    /// Updates the lease and the Raft status that the handles read.
    fn publish_status(&mut self) {
        let now = self.clock.now();
        let leads = self.node.role() == raft::Role::Leader;
        self.lease_log.record(leads, self.node.has_lease(now), now);
        self.group_log.record(&self.node, now);
        self.shared.last_batch_ms.store(millis(now), atomic::Ordering::Relaxed);
        let lease_until_ms = self.node.lease_until().map_or(0, millis);
        self.shared.lease_until_ms.store(lease_until_ms, atomic::Ordering::SeqCst);
        *self.shared.raft_status.lock() = RaftStatus {
            role: Some(self.node.role()),
            leader: self.node.leader(),
            term: self.node.term(),
            commit_index: self.node.commit_index(),
            log_len: self.node.log().len(),
            members: self.node.members().clone(),
        };
    }
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Makes a batch of writes durable, and repeats it until the disk succeeds.
///
/// The thread is blocked meanwhile, so this replica sends and acknowledges nothing
/// that is not durable. If it leads, its lease expires and another replica is
/// elected.
fn write_durably(disk: &mut disk::Disk, writes: &[raft::DiskWrite], tail: &[raft::Entry]) {
    let mut failed = false;
    while let Err(error) = disk.write(writes, tail) {
        if !failed {
            spdlog::error!("disk write failed; retrying until it succeeds", kv: {
                reason = error.to_string().as_str()
            });
        }
        failed = true;
        std::thread::sleep(DISK_RETRY_DELAY);
    }
    if failed {
        spdlog::info!("disk write succeeded after retries");
    }
}

/// Returns the workspaces with a rate limit that a change would create, each with
/// its rate and burst.
fn created_workspaces(view: &view::View, change: &state::Change) -> Vec<(String, (u64, u64))> {
    match change {
        state::Change::View(view::Command::PutRecords(records)) => {
            let new_records = records.iter().filter(|r| view.record(&r.id()).is_none());
            let limits = new_records.filter_map(|r| match &r.body {
                Some(record::Body::Workspace(w)) => Some((r.name.clone(), (w.rate, w.burst))),
                _ => None,
            });
            limits.collect()
        }
        state::Change::View(view::Command::PutCatalog(catalog))
        | state::Change::PutCatalog { catalog, .. } => {
            let new_workspaces =
                catalog.workspaces.iter().filter(|w| view.rate_limit(&w.name).is_none());
            let limits = new_workspaces
                .filter_map(|w| w.rate_limit.map(|a| (w.name.clone(), (a.rate, a.burst))));
            limits.collect()
        }
        _ => Vec::new(),
    }
}

/// Describes a change for the time line. Contains no secrets, such as key digests.
fn describe(change: &view::Command) -> String {
    match change {
        view::Command::PutRecords(records) => {
            let names: Vec<_> =
                records.iter().map(|r| format!("{}@{}", r.id(), r.version)).collect();
            format!("records {}", names.join(" "))
        }
        view::Command::PutCatalog(catalog) => format!("catalog version {}", catalog.version),
        view::Command::PatchCatalog(_) => "catalog amended".to_owned(),
        view::Command::GrantKey { id, scope, .. } => format!("grant {id} to {scope}"),
        view::Command::WithdrawKey { id } => format!("withdraw {id}"),
        view::Command::AnnounceTarget { name, target, .. } => {
            format!("target {name} {:?} incarnation {}", target.presence, target.incarnation)
        }
        view::Command::MarkLeaving { name } => format!("target {name} is to leave"),
        view::Command::MarkDown { name, .. } => format!("target {name} lapsed"),
        view::Command::RemoveTarget { name, .. } => format!("target {name} forgotten"),
        view::Command::Order { target, verb, item, .. } => format!("{verb:?} {item} on {target}"),
        view::Command::Acknowledge { target, item, fence, ack, .. } => {
            format!("{ack:?} {item} on {target}, order {fence}")
        }
        view::Command::Drain { target, item, draining } => {
            format!("{} {item} on {target}", if *draining { "drain" } else { "resume" })
        }
        view::Command::ReportMissing { target, item, .. } => {
            format!("{item} is missing on {target}")
        }
        view::Command::RecordCrash { exclusive, .. } => {
            format!("crash with a request, alone: {exclusive}")
        }
        view::Command::ReserveTarget { target, .. } => format!("suspect on {target}"),
        view::Command::ClearSuspect { .. } => "suspect cleared".into(),
        view::Command::ExpireSuspects => "suspects expired".into(),
    }
}
