//! The grant holders of a gateway, in shards by workspace, and the charging of
//! requests to them.

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
        stage::Stage,
    },
};

use super::{clock, metrics};

/// Number of shards. Each has its own lock.
const SHARDS: usize = 16;

/// How long the owner may take to reply.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The charge of an admitted request, or the time after which to retry a refused
/// one; `None` if it can never be admitted.
type Admission = Result<holder::Charge, Option<time::Duration>>;

#[derive(Debug, Default)]
struct Shard {
    holders: collections::HashMap<String, holder::WorkspaceGrants>,
    /// By workspace, for holders created later.
    share_inputs: collections::HashMap<String, share::ShareInputs>,
    /// By request number.
    waiting: collections::HashMap<u64, tsync::oneshot::Sender<Admission>>,
}

/// The grant holders of all workspaces.
#[derive(Debug)]
pub(crate) struct Limits {
    shards: Vec<Mutex<Shard>>,
    hasher: hash::RandomState,
    control: sync::Arc<control::Client>,
    clock: sync::Arc<clock::Clock>,
    metrics: sync::Arc<metrics::Metrics>,
    next_request: AtomicU64,
}

/// Tokens charged for a request. Dropping the guard refunds the tokens that are
/// not in `used`: all of them before the request is sent, and none after that
/// until the target's answer gives the actual usage. Tokens used beyond those
/// charged are charged to the next request of the workspace at this gateway.
#[derive(Debug)]
pub(crate) struct ChargeGuard {
    limits: sync::Arc<Limits>,
    workspace: String,
    charge: holder::Charge,
    /// Tokens charged for this request itself. `charge` also includes the debt
    /// of earlier requests.
    own_tokens: u64,
    /// Tokens known to be used, or the most that may have been.
    pub(crate) used: u64,
}

impl ChargeGuard {
    /// Marks the request as about to be sent: all its tokens count as used.
    pub(crate) fn mark_sent(&mut self) {
        self.used = self.own_tokens;
    }
}

impl Limits {
    pub(crate) fn new(
        control: sync::Arc<control::Client>,
        clock: sync::Arc<clock::Clock>,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        let hasher = hash::RandomState::new();
        Self { shards, hasher, control, clock, metrics, next_request: AtomicU64::new(1) }
    }

    /// Returns the demand of a new request, which must start before `deadline`.
    pub(crate) fn demand(&self, tokens: u64, deadline: time::Duration) -> holder::Demand {
        holder::Demand {
            request: self.next_request.fetch_add(1, atomic::Ordering::Relaxed),
            tokens,
            deadline,
            denied_wait: holder::MAX_WAIT,
            stage: Stage::New,
        }
    }

    /// Charges a request, waiting for tokens if necessary.
    pub(crate) async fn charge(
        self: &sync::Arc<Self>,
        workspace: &str,
        demand: holder::Demand,
    ) -> Result<ChargeGuard, Refusal> {
        let holder::Demand { request, tokens, .. } = demand;
        let (sender, admission) = tsync::oneshot::channel();
        let now = self.clock.now();
        let actions = {
            let mut shard = self.shard(workspace).lock();
            shard.waiting.insert(request, sender);
            holder_of(&mut shard, workspace, now).submit_demand(demand, now)
        };
        let mut pending =
            PendingCharge { limits: self, workspace, request, admission, received: false };
        self.carry_out(workspace, actions);
        let admission = (&mut pending.admission).await;
        pending.received = true;
        match admission {
            Ok(Ok(charge)) => {
                let workspace = workspace.to_owned();
                Ok(ChargeGuard {
                    limits: self.clone(),
                    workspace,
                    charge,
                    own_tokens: tokens,
                    used: 0,
                })
            }
            Ok(Err(retry_after)) => {
                Err(Refusal::RateLimited { workspace: workspace.to_owned(), retry_after })
            }
            Err(_) => Err(Refusal::ControlUnavailable),
        }
    }

    /// Returns the tokens per second requested lately, by workspace.
    pub(crate) fn requested_rates(&self) -> Vec<(String, f64)> {
        let now = self.clock.now();
        let mut rates = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock();
            let holders = shard.holders.iter_mut();
            rates.extend(holders.map(|(name, holder)| (name.clone(), holder.requested_rate(now))));
        }
        rates
    }

    /// Sets, for all workspaces that have a limit, what this gateway may spend
    /// while no owner replies. Applies to present holders and to those created
    /// later.
    pub(crate) fn set_shares(&self, inputs: Vec<(String, share::ShareInputs)>) {
        let now = self.clock.now();
        for shard in &self.shards {
            shard.lock().share_inputs.clear();
        }
        for (workspace, inputs) in inputs {
            let mut shard = self.shard(&workspace).lock();
            if let Some(holder) = shard.holders.get_mut(&workspace) {
                holder.set_share(&inputs, now);
            }
            shard.share_inputs.insert(workspace, inputs);
        }
    }

    /// Advances all holders to the present time and drops the idle ones.
    pub(crate) fn tick(self: &sync::Arc<Self>) {
        let now = self.clock.now();
        for shard in &self.shards {
            let mut pending = Vec::new();
            {
                let mut shard = shard.lock();
                for (workspace, holder) in &mut shard.holders {
                    pending.push((workspace.clone(), holder.tick(now)));
                }
                shard.holders.retain(|_, holder| !holder.is_idle());
            }
            for (workspace, actions) in pending {
                self.carry_out(&workspace, actions);
            }
        }
    }

    /// Returns all grants to the owner. Called when the process ends.
    pub(crate) async fn close(&self) {
        let mut requests = Vec::new();
        for shard in &self.shards {
            requests.extend(shard.lock().holders.values_mut().map(holder::WorkspaceGrants::close));
        }
        for request in requests {
            let deadline = time::Instant::now() + REPLY_TIMEOUT;
            // A grant that can't be returned expires at the owner.
            let _ = self.control.call_leader(&peer::Call::RequestGrant(request), deadline).await;
        }
    }

    fn shard(&self, workspace: &str) -> &Mutex<Shard> {
        let hash = self.hasher.hash_one(workspace);
        let index = usize::try_from(hash % SHARDS as u64).unwrap_or(0);
        &self.shards[index]
    }

    fn carry_out(self: &sync::Arc<Self>, workspace: &str, actions: Vec<holder::Action>) {
        for action in actions {
            match action {
                holder::Action::Admit { request, charge } => {
                    self.deliver(workspace, request, Ok(charge));
                }
                holder::Action::Refuse { request, retry_after } => {
                    self.deliver(workspace, request, Err(retry_after));
                }
                holder::Action::Send(request) => {
                    let (limits, workspace) = (self.clone(), workspace.to_owned());
                    tokio::spawn(async move { limits.send(&workspace, request).await });
                }
            }
        }
    }

    /// Hands an admission to the request that waits for it.
    fn deliver(&self, workspace: &str, request: u64, admission: Admission) {
        let mut shard = self.shard(workspace).lock();
        let sender = shard.waiting.remove(&request);
        let undelivered = match sender {
            Some(sender) => sender.send(admission).err(),
            None => Some(admission),
        };
        // The request was dropped after the holder had admitted it.
        if let Some(Ok(charge)) = undelivered {
            let tokens = charge.tokens();
            holder_of(&mut shard, workspace, self.clock.now()).refund(&charge, tokens);
        }
    }

    /// Sends a grant request to the owner and hands the reply to the holder.
    async fn send(self: &sync::Arc<Self>, workspace: &str, request: limit::GrantRequest) {
        let sent = self.clock.now();
        let needs_tokens = request.required > 0;
        let deadline = time::Instant::now() + REPLY_TIMEOUT;
        let reply = self.control.call_leader(&peer::Call::RequestGrant(request), deadline).await;
        let now = self.clock.now();
        let actions = {
            let mut shard = self.shard(workspace).lock();
            let holder = holder_of(&mut shard, workspace, now);
            if let Ok(peer::Reply::Grant(reply)) = reply {
                holder.handle_reply(reply, sent, needs_tokens, now)
            } else {
                holder.handle_no_reply(needs_tokens);
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
) -> &'s mut holder::WorkspaceGrants {
    let Shard { holders, share_inputs, .. } = shard;
    holders.entry(workspace.to_owned()).or_insert_with(|| {
        let mut holder = holder::WorkspaceGrants::new(workspace, now);
        if let Some(inputs) = share_inputs.get(workspace) {
            holder.set_share(inputs, now);
        }
        holder
    })
}

/// A request that waits for its admission. Dropping it cancels the request.
struct PendingCharge<'l> {
    limits: &'l Limits,
    workspace: &'l str,
    request: u64,
    admission: tsync::oneshot::Receiver<Admission>,
    received: bool,
}

impl Drop for PendingCharge<'_> {
    fn drop(&mut self) {
        if self.received {
            return;
        }
        let mut shard = self.limits.shard(self.workspace).lock();
        shard.waiting.remove(&self.request);
        let holder = holder_of(&mut shard, self.workspace, self.limits.clock.now());
        holder.cancel(self.request);
        // The admission may have been sent but not received.
        if let Ok(Ok(charge)) = self.admission.try_recv() {
            holder.refund(&charge, charge.tokens());
        }
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        let charged = self.own_tokens;
        self.limits.metrics.record_tokens(&self.workspace, self.used);
        let now = self.limits.clock.now();
        let mut shard = self.limits.shard(&self.workspace).lock();
        let holder = holder_of(&mut shard, &self.workspace, now);
        if self.used <= charged {
            holder.refund(&self.charge, charged - self.used);
        } else {
            holder.add_debt(self.used - charged);
        }
    }
}
