//! The replica's thread.

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

use super::{Changes, Decision, Input, Outbox, Shared, Standing, decode_state};

/// Time between ticks of the consensus machine.
const TICK: time::Duration = time::Duration::from_millis(10);

/// Pause before a write that the disk refused is tried again.
const DISK_RETRY: time::Duration = time::Duration::from_millis(100);

/// Inputs taken in before one sync.
const BATCH: usize = 1_024;

/// Entries applied between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 2_000;

/// Bytes of entries applied between two snapshots: what the log may take of the
/// memory and of the disk of a small machine.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// The state of the replica's thread.
pub(super) struct Worker {
    node: raft::Raft,
    disk: disk::Disk,
    shared: sync::Arc<Shared>,
    outbox: Outbox,
    clock: sync::Arc<clock::Clock>,
    timeline: sync::Arc<timeline::Timeline>,
    /// Proposals that were appended, by index, each with its term.
    proposals: collections::BTreeMap<raft::Index, (raft::Term, tsync::oneshot::Sender<Decision>)>,
    /// Proposals handed to the consensus machine and not yet placed.
    accepted: collections::HashMap<u64, tsync::oneshot::Sender<Decision>>,
    reads: collections::HashMap<u64, tsync::oneshot::Sender<Option<raft::Index>>>,
    next: u64,
    /// Index of the latest snapshot.
    snapshot: raft::Index,
    /// Bytes of the entries that were applied since.
    logged: usize,
    policy: lead::Policy,
}

impl Worker {
    /// Prepares the thread on the state that was found.
    pub(super) fn new(
        node: raft::Raft,
        disk: disk::Disk,
        shared: sync::Arc<Shared>,
        outbox: Outbox,
        clock: sync::Arc<clock::Clock>,
        timeline: sync::Arc<timeline::Timeline>,
        policy: lead::Policy,
    ) -> Self {
        let snapshot = shared.state.read().index;
        Self {
            node,
            disk,
            shared,
            outbox,
            clock,
            timeline,
            proposals: collections::BTreeMap::new(),
            accepted: collections::HashMap::new(),
            reads: collections::HashMap::new(),
            next: 0,
            snapshot,
            logged: 0,
            policy,
        }
    }

    /// Runs until every handle is gone.
    pub(super) fn run(mut self, inputs: &mpsc::Receiver<Input>) {
        let mut ticked = self.clock.now();
        loop {
            let mut actions = Vec::new();
            let mut done = Vec::new();
            match inputs.recv_timeout(TICK) {
                Ok(input) => self.take(input, &mut actions, &mut done),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter().take(BATCH) {
                self.take(input, &mut actions, &mut done);
            }
            let now = self.clock.now();
            if now >= ticked + TICK {
                ticked = now;
                actions.extend(self.node.step(raft::Event::Tick, now));
            }
            self.compact(&mut actions);
            self.carry_out(actions);
            self.publish();
            for done in done {
                let _ = done.send(());
            }
        }
    }

    fn take(
        &mut self,
        input: Input,
        actions: &mut Vec<raft::Action>,
        done: &mut Vec<tsync::oneshot::Sender<()>>,
    ) {
        self.next += 1;
        let context = self.next;
        let event = match input {
            Input::Message(message) => raft::Event::Message(message),
            Input::Propose { change, reply } => {
                let command = state::Command { at: clock::wall_ms(), change };
                let Ok(command) = postcard::to_stdvec(&command) else {
                    return;
                };
                self.accepted.insert(context, reply);
                raft::Event::Propose { context, command }
            }
            Input::Read { reply } => {
                self.reads.insert(context, reply);
                raft::Event::Read { context }
            }
            Input::Peers(peers) => {
                self.node.set_peers(peers);
                return;
            }
            Input::Transfer { done: reply } => {
                done.push(reply);
                raft::Event::TransferLeadership
            }
        };
        actions.extend(self.node.step(event, self.clock.now()));
    }

    /// Makes all changes durable, then does everything else in order.
    fn carry_out(&mut self, actions: Vec<raft::Action>) {
        let mut changes = Vec::new();
        let mut rest = Vec::new();
        for action in actions {
            match action {
                raft::Action::Persist(change) => changes.push(change),
                other => rest.push(other),
            }
        }
        if !changes.is_empty() {
            let log = self.node.log();
            let tail = log.slice(log.snapshot().position.index + 1, usize::MAX);
            write(&mut self.disk, &changes, tail);
        }
        // A leader that steps down must stop acting before its messages leave,
        // since one of them may hand the leadership over.
        if rest.iter().any(|a| matches!(a, raft::Action::RoleChanged(raft::Role::Follower))) {
            self.shared.lease.store(0, atomic::Ordering::SeqCst);
            *self.shared.lead.lock() = None;
        }
        for action in rest {
            self.carry_out_one(action);
        }
    }

    fn carry_out_one(&mut self, action: raft::Action) {
        match action {
            raft::Action::Persist(_) => {}
            raft::Action::Send { to, message } => (self.outbox)(to, message),
            raft::Action::ProposalAppended { context, position } => {
                if let Some(reply) = self.accepted.remove(&context) {
                    self.proposals.insert(position.index, (position.term, reply));
                }
            }
            raft::Action::ProposalRejected { context, leader } => {
                if let Some(reply) = self.accepted.remove(&context) {
                    let _ = reply.send(Decision::NotLeader { leader });
                }
            }
            raft::Action::Apply(entries) => {
                for entry in entries {
                    self.apply(&entry);
                }
            }
            raft::Action::RestoreSnapshot(snapshot) => self.restore(&snapshot),
            raft::Action::ReadReady { context, index } => {
                if let Some(reply) = self.reads.remove(&context) {
                    let _ = reply.send(index);
                }
            }
            raft::Action::RoleChanged(role) => self.became(role),
        }
    }

    fn became(&mut self, role: raft::Role) {
        let term = self.node.term();
        spdlog::info!("role", kv: { role = format!("{role:?}").as_str(), term = term });
        match role {
            raft::Role::Leader => self.timeline.record(timeline::Kind::Leading { term }),
            raft::Role::Follower => self.timeline.record(timeline::Kind::Following { term }),
            raft::Role::Candidate => {}
        }
        if role != raft::Role::Leader {
            // Whether these commit is for the next leader to decide.
            for (_, (_, reply)) in std::mem::take(&mut self.proposals) {
                let _ = reply.send(Decision::Lost);
            }
        }
    }

    fn apply(&mut self, entry: &raft::Entry) {
        let raft::Position { term, index } = entry.position;
        let outcome = match &entry.payload {
            raft::Payload::Command(bytes) => self.apply_command(index, bytes),
            raft::Payload::Noop | raft::Payload::Members(_) => {
                self.shared.state.write().index = index;
                state::Outcome::Applied
            }
        };
        let led = self.node.role() == raft::Role::Leader && term == self.node.term();
        if led && matches!(entry.payload, raft::Payload::Noop) {
            // Only now does the state hold all that earlier leaders committed.
            *self.shared.lead.lock() = Some(lead::Leader::new(term, self.policy, self.clock.now()));
        }
        self.shared.applied.send_replace(index);
        if let Some((proposed, reply)) = self.proposals.remove(&index) {
            let decision = if proposed == term {
                Decision::Decided { index, outcome }
            } else {
                Decision::Lost
            };
            let _ = reply.send(decision);
        }
    }

    fn apply_command(&mut self, index: raft::Index, bytes: &[u8]) -> state::Outcome {
        self.logged += bytes.len();
        let Ok(command) = postcard::from_bytes::<state::Command>(bytes) else {
            spdlog::error!("skipped an entry of another version", kv: { index });
            self.shared.state.write().index = index;
            return state::Outcome::Undecodable;
        };
        let mut state = self.shared.state.write();
        let created = created(&state.view, &command.change);
        let before = state.view.catalog().map(|c| c.version);
        let outcome = state.apply(index, &command);
        let catalog = state.view.catalog().filter(|c| Some(c.version) != before);
        if let state::Change::View(change) = command.change {
            self.note(index, &change, &outcome);
            if outcome == state::Outcome::Applied {
                let change = peer::Change { index, log_time_ms: state.time, command: change };
                self.shared.changes.lock().keep(change, catalog);
                if let Some(leader) = self.shared.lead.lock().as_mut() {
                    for (name, limit) in &created {
                        leader.workspace_created(name, *limit, self.clock.now());
                    }
                }
            }
        }
        outcome
    }

    fn note(&self, index: raft::Index, change: &view::Command, outcome: &state::Outcome) {
        let kind = match outcome {
            state::Outcome::Refused(error) => {
                timeline::Kind::Refused { index, reason: error.to_string() }
            }
            _ => timeline::Kind::Committed { index, change: describe(change) },
        };
        self.timeline.record(kind);
    }

    fn restore(&mut self, snapshot: &raft::Snapshot) {
        let Ok(restored) = decode_state(snapshot) else {
            spdlog::error!("the leader's snapshot does not decode");
            return;
        };
        let index = snapshot.position.index;
        let mut state = self.shared.state.write();
        *state = restored;
        state.index = index;
        *self.shared.changes.lock() = Changes::new(index, &state.view);
        self.snapshot = index;
        self.shared.applied.send_replace(index);
    }

    /// Takes a snapshot after enough entries.
    fn compact(&mut self, actions: &mut Vec<raft::Action>) {
        let state = self.shared.state.read();
        let many = state.index >= self.snapshot + SNAPSHOT_ENTRIES;
        if !many && self.logged < SNAPSHOT_BYTES {
            return;
        }
        let Ok(data) = postcard::to_stdvec(&*state) else {
            return;
        };
        self.snapshot = state.index;
        self.logged = 0;
        let event = raft::Event::Compact { index: state.index, data };
        actions.extend(self.node.step(event, self.clock.now()));
    }

    fn publish(&self) {
        let lease = self.node.lease_until().map_or(0, |l| l.as_millis());
        let lease = u64::try_from(lease).unwrap_or(u64::MAX);
        self.shared.lease.store(lease, atomic::Ordering::SeqCst);
        *self.shared.status.lock() = Standing {
            role: Some(self.node.role()),
            leader: self.node.leader(),
            term: self.node.term(),
            commit: self.node.commit_index(),
            entries: self.node.log().len(),
            members: self.node.members().clone(),
        };
    }
}

/// Makes changes durable, however long the disk refuses them.
///
/// Until then this replica says nothing to anyone: its lease ends, another one
/// leads, and whoever waits for it here is told nothing that is not durable.
fn write(disk: &mut disk::Disk, changes: &[raft::DiskWrite], tail: &[raft::Entry]) {
    let mut refused = false;
    while let Err(error) = disk.write(changes, tail) {
        if !refused {
            spdlog::error!("lost the disk", kv: { reason = error.to_string().as_str() });
        }
        refused = true;
        std::thread::sleep(DISK_RETRY);
    }
    if refused {
        spdlog::info!("regained the disk");
    }
}

/// Returns the workspaces that a change would create, with rate and burst.
fn created(view: &view::View, change: &state::Change) -> Vec<(String, (u64, u64))> {
    match change {
        state::Change::View(view::Command::Apply(records)) => {
            let fresh = records.iter().filter(|r| view.record(&r.id()).is_none());
            let workspaces = fresh.filter_map(|r| match &r.body {
                Some(record::Body::Workspace(w)) => Some((r.name.clone(), (w.rate, w.burst))),
                _ => None,
            });
            workspaces.collect()
        }
        state::Change::View(view::Command::Configure(catalog)) => {
            let fresh = catalog.workspaces.iter().filter(|w| view.limit(&w.name).is_none());
            let limits =
                fresh.filter_map(|w| w.allowance.map(|a| (w.name.clone(), (a.rate, a.burst))));
            limits.collect()
        }
        _ => Vec::new(),
    }
}

/// Describes a change for the time line, without secrets.
fn describe(change: &view::Command) -> String {
    match change {
        view::Command::Apply(records) => {
            let names: Vec<_> =
                records.iter().map(|r| format!("{}@{}", r.id(), r.version)).collect();
            format!("records {}", names.join(" "))
        }
        view::Command::Configure(catalog) => format!("catalog version {}", catalog.version),
        view::Command::Amend(_) => "catalog amended".to_owned(),
        view::Command::Grant { id, scope, .. } => format!("grant {id} to {scope}"),
        view::Command::Withdraw { id } => format!("withdraw {id}"),
        view::Command::Announce { name, target, .. } => {
            format!("target {name} {:?} incarnation {}", target.state, target.incarnation)
        }
        view::Command::Leave { name } => format!("target {name} is to leave"),
        view::Command::Lapse { name, .. } => format!("target {name} lapsed"),
        view::Command::Forget { name, .. } => format!("target {name} forgotten"),
        view::Command::Order { target, verb, item, .. } => format!("{verb:?} {item} on {target}"),
        view::Command::Acknowledge { target, item, fence, ack, .. } => {
            format!("{ack:?} {item} on {target}, order {fence}")
        }
        view::Command::Drain { target, item, stop } => {
            format!("{} {item} on {target}", if *stop { "drain" } else { "resume" })
        }
        view::Command::Missing { target, item, .. } => format!("{item} is missing on {target}"),
        view::Command::Crash { alone, .. } => format!("crash with a request, alone: {alone}"),
        view::Command::Try { target, .. } => format!("suspect on {target}"),
        view::Command::Clear { .. } => "suspect cleared".into(),
        view::Command::Expire => "suspects expired".into(),
    }
}
