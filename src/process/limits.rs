//! The holders of a process that charges requests, in shards by workspace.

use std::{
    collections,
    hash::{self, BuildHasher as _},
    sync::{
        self,
        atomic::{self, AtomicU64},
    },
    time,
};

use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::{
    connection::{control, peer},
    request::{
        limit::{self, holder, share},
        refusal::Refusal,
    },
};

use super::{clock, metrics};

/// Shards, each under its own lock.
const SHARDS: usize = 16;

/// How long the owner may take to answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

type Admission = Result<holder::Charge, Option<time::Duration>>;

#[derive(Debug, Default)]
struct Shard {
    holders: collections::HashMap<String, holder::Holder>,
    /// What holders may spend without an owner is worked out from.
    bases: collections::HashMap<String, share::Basis>,
    waiting: collections::HashMap<u64, tsync::oneshot::Sender<Admission>>,
}

/// The holders of all workspaces.
#[derive(Debug)]
pub(crate) struct Limits {
    shards: Vec<Mutex<Shard>>,
    hasher: hash::RandomState,
    control: sync::Arc<control::Control>,
    clock: sync::Arc<clock::Clock>,
    metrics: sync::Arc<metrics::Metrics>,
    next: AtomicU64,
}

/// Tokens charged for a request. What is not used is refunded when this is
/// dropped with the request: all of it until the request is sent, and nothing
/// from then on until the target's answer tells more.
#[derive(Debug)]
pub(crate) struct Charged {
    limits: sync::Arc<Limits>,
    workspace: String,
    charge: holder::Charge,
    /// Tokens charged for this request itself; the charge may hold more, for
    /// what an earlier one owed.
    own: u64,
    /// Tokens known to be used, or used in the worst case.
    pub(crate) used: u64,
}

impl Charged {
    /// Notes that the request is about to be sent.
    pub(crate) fn sent(&mut self) {
        self.used = self.own;
    }
}

impl Limits {
    pub(crate) fn new(
        control: sync::Arc<control::Control>,
        clock: sync::Arc<clock::Clock>,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        let hasher = hash::RandomState::new();
        Self { shards, hasher, control, clock, metrics, next: AtomicU64::new(1) }
    }

    /// Charges a request, waiting for tokens for a while if need be; no longer
    /// than `patience` once the owner has said that they are not there.
    pub(crate) async fn charge(
        self: &sync::Arc<Self>,
        workspace: &str,
        tokens: u64,
        deadline: time::Duration,
        patience: Option<time::Duration>,
    ) -> Result<Charged, Refusal> {
        let request = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, admission) = tsync::oneshot::channel();
        let now = self.clock.now();
        let actions = {
            let mut shard = self.shard(workspace).lock();
            shard.waiting.insert(request, sender);
            let holder = holder_of(&mut shard, workspace, now);
            match patience {
                Some(p) => holder.charge_within(request, tokens, deadline, p, now),
                None => holder.charge(request, tokens, deadline, now),
            }
        };
        let mut waiting = Waiting { limits: self, workspace, request, admission, taken: false };
        self.carry_out(workspace, actions);
        let admission = (&mut waiting.admission).await;
        waiting.taken = true;
        match admission {
            Ok(Ok(charge)) => {
                let workspace = workspace.to_owned();
                Ok(Charged { limits: self.clone(), workspace, charge, own: tokens, used: 0 })
            }
            Ok(Err(retry_after)) => {
                Err(Refusal::RateLimited { workspace: workspace.to_owned(), retry_after })
            }
            Err(_) => Err(Refusal::ControlUnavailable),
        }
    }

    /// Returns what each workspace asked for lately, in tokens per second.
    pub(crate) fn spending(&self) -> Vec<(String, f64)> {
        let now = self.clock.now();
        let mut spending = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock();
            let holders = shard.holders.iter_mut();
            spending.extend(holders.map(|(name, holder)| (name.clone(), holder.spending(now))));
        }
        spending
    }

    /// Sets what may be spent while no owner answers, for all workspaces that have
    /// a limit. It holds for holders that begin later, too.
    pub(crate) fn set_shares(&self, bases: Vec<(String, share::Basis)>) {
        let now = self.clock.now();
        for shard in &self.shards {
            shard.lock().bases.clear();
        }
        for (workspace, basis) in bases {
            let mut shard = self.shard(&workspace).lock();
            if let Some(holder) = shard.holders.get_mut(&workspace) {
                holder.set_share(&basis, now);
            }
            shard.bases.insert(workspace, basis);
        }
    }

    /// Lets time pass for all holders.
    pub(crate) fn tick(self: &sync::Arc<Self>) {
        let now = self.clock.now();
        for shard in &self.shards {
            let mut due = Vec::new();
            {
                let mut shard = shard.lock();
                for (workspace, holder) in &mut shard.holders {
                    due.push((workspace.clone(), holder.tick(now)));
                }
                shard.holders.retain(|_, w| !w.is_idle());
            }
            for (workspace, actions) in due {
                self.carry_out(&workspace, actions);
            }
        }
    }

    /// Returns what is held, at the end of the process.
    pub(crate) async fn close(&self) {
        let mut asks = Vec::new();
        for shard in &self.shards {
            asks.extend(shard.lock().holders.values_mut().map(holder::Holder::close));
        }
        for ask in asks {
            let deadline = time::Instant::now() + TIMEOUT;
            // What can't be returned lapses.
            let _ = self.control.lead(&peer::Call::Ask(ask), deadline).await;
        }
    }

    fn shard(&self, workspace: &str) -> &Mutex<Shard> {
        let hash = self.hasher.hash_one(workspace);
        let at = usize::try_from(hash % SHARDS as u64).unwrap_or(0);
        &self.shards[at]
    }

    fn carry_out(self: &sync::Arc<Self>, workspace: &str, actions: Vec<holder::Action>) {
        for action in actions {
            match action {
                holder::Action::Admit { request, charge } => {
                    self.answer(workspace, request, Ok(charge));
                }
                holder::Action::Refuse { request, wait } => {
                    self.answer(workspace, request, Err(wait));
                }
                holder::Action::Ask(ask) => {
                    let (limits, workspace) = (self.clone(), workspace.to_owned());
                    tokio::spawn(async move { limits.ask(&workspace, ask).await });
                }
            }
        }
    }

    fn answer(&self, workspace: &str, request: u64, admission: Admission) {
        let mut shard = self.shard(workspace).lock();
        let sender = shard.waiting.remove(&request);
        let unclaimed = match sender {
            Some(sender) => sender.send(admission).err(),
            None => Some(admission),
        };
        // The caller went away between its admission and this answer.
        if let Some(Ok(charge)) = unclaimed {
            let tokens = charge.tokens();
            holder_of(&mut shard, workspace, self.clock.now()).refund(&charge, tokens);
        }
    }

    async fn ask(self: &sync::Arc<Self>, workspace: &str, ask: limit::Ask) {
        let sent = self.clock.now();
        let wanted = ask.need > 0;
        let deadline = time::Instant::now() + TIMEOUT;
        let reply = self.control.lead(&peer::Call::Ask(ask), deadline).await;
        let now = self.clock.now();
        let actions = {
            let mut shard = self.shard(workspace).lock();
            let holder = holder_of(&mut shard, workspace, now);
            if let Ok(peer::Reply::Limit(reply)) = reply {
                holder.replied(reply, sent, wanted, now)
            } else {
                holder.lost(wanted);
                Vec::new()
            }
        };
        self.carry_out(workspace, actions);
    }
}

fn holder_of<'s>(
    shard: &'s mut Shard,
    workspace: &str,
    now: time::Duration,
) -> &'s mut holder::Holder {
    let Shard { holders, bases, .. } = shard;
    holders.entry(workspace.to_owned()).or_insert_with(|| {
        let mut holder = holder::Holder::new(workspace, now);
        if let Some(basis) = bases.get(workspace) {
            holder.set_share(basis, now);
        }
        holder
    })
}

/// A request that waits for tokens, given up if its caller goes away.
struct Waiting<'l> {
    limits: &'l Limits,
    workspace: &'l str,
    request: u64,
    admission: tsync::oneshot::Receiver<Admission>,
    /// Whether the admission was received.
    taken: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let mut shard = self.limits.shard(self.workspace).lock();
        shard.waiting.remove(&self.request);
        let holder = holder_of(&mut shard, self.workspace, self.limits.clock.now());
        holder.cancel(self.request);
        // The admission may have been sent and never received.
        if let Ok(Ok(charge)) = self.admission.try_recv() {
            holder.refund(&charge, charge.tokens());
        }
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        let charged = self.own;
        self.limits.metrics.record_tokens(&self.workspace, self.used);
        let now = self.limits.clock.now();
        let mut shard = self.limits.shard(&self.workspace).lock();
        let holder = holder_of(&mut shard, &self.workspace, now);
        if self.used <= charged {
            holder.refund(&self.charge, charged - self.used);
        } else {
            holder.owe(self.used - charged);
        }
    }
}
