//! Runs the placer of the leading replica and executes its actions.

use std::{
    collections, net,
    sync::{
        self,
        atomic::{self, AtomicU64},
    },
    time,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::{
    connection::{buffer, carried, dialect, peer, pool},
    version::{
        catalog,
        placer::{self, Action, Op, Order, Outcome, Placer, TargetReport},
    },
};

use super::{handle::Handle, work::Work};

/// Time between two calls of [`Placer::tick`].
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time limit for a target to answer a query or an order. Targets answer both
/// regardless of their request load. The placer sends a target no further order
/// before the answer or the time-out.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Maximum size of a target's response body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Memory for the bodies that are being read, in bytes.
const RESPONSE_BUDGET_BYTES: usize = 16 << 20;

/// How long orders to a target use new connections after it sent an answer that may have
/// belonged to an earlier call. Others would be answered like that again.
const DOUBT_TTL: time::Duration = time::Duration::from_mins(1);

/// Placement requests that are not answered yet, by id.
type PendingRequests =
    Mutex<collections::HashMap<u64, tsync::oneshot::Sender<placer::Availability>>>;

/// Runs the placer while this replica leads.
#[derive(Debug)]
pub(super) struct PlacerLoop {
    handle: Handle,
    engines: sync::Arc<dyn dialect::EngineDialect>,
    /// Name of this replica in its orders.
    name: String,
    pools: pool::Pools,
    response_budget: buffer::Budget,
    /// Targets whose orders use new connections, and until when.
    doubtful: Mutex<collections::HashMap<net::SocketAddr, time::Duration>>,
    pending: PendingRequests,
    next_id: AtomicU64,
}

impl PlacerLoop {
    pub(super) fn new(
        handle: Handle,
        engines: sync::Arc<dyn dialect::EngineDialect>,
    ) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            name: format!("replica-{:x}", handle.id),
            handle,
            engines,
            pools: pool::Pools::default(),
            response_budget: buffer::Budget::new(RESPONSE_BUDGET_BYTES),
            doubtful: Mutex::default(),
            pending: Mutex::default(),
            next_id: AtomicU64::new(1),
        })
    }

    pub(super) async fn run(self: sync::Arc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let handle = &self.handle;
            let actions = self.with_placer(Work::PlacementTick, |placer, catalog, now| {
                handle.soft_state.read(|directory, traffic, at| {
                    placer.tick(directory, &traffic.total(at), catalog, now)
                })
            });
            self.execute(actions.unwrap_or_default());
            let now = handle.soft_state.now();
            self.pools.close_expired(now);
            self.doubtful.lock().retain(|_, until| now < *until);
        }
    }

    /// Answers a placement request of a gateway. Returns `None` if
    /// [`Self::with_placer`] does, or if this replica stops leading before the
    /// answer. `missing_at` lists the targets that answered the gateway that they
    /// lack the model or adapter.
    pub(super) async fn answer_placement_request(
        self: &sync::Arc<Self>,
        request: placer::PlacementRequest,
        missing_at: Vec<String>,
    ) -> Option<peer::Reply> {
        let request_id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, availability) = tsync::oneshot::channel();
        self.pending.lock().insert(request_id, sender);
        let actions = self.with_placer(Work::PlacementRequest, |placer, catalog, now| {
            placer.handle_placement_request(request_id, request, &missing_at, catalog, now)
        });
        let Some(actions) = actions else {
            self.pending.lock().remove(&request_id);
            return None;
        };
        self.execute(actions);
        let availability = availability.await.ok()?;
        self.handle.metrics.record_placement_request(availability.name());
        Some(peer::Reply::Placement(availability))
    }

    /// Calls the placer with the catalog in force and the time. `work` tells what the
    /// call is recorded as. Returns `None` if
    /// this replica does not hold the leader lease, has not yet applied the entries
    /// of earlier leaders, or no catalog is in force.
    fn with_placer(
        &self,
        work: Work,
        call: impl FnOnce(&mut Placer, &catalog::Catalog, time::Duration) -> Vec<Action>,
    ) -> Option<Vec<Action>> {
        let actions = self.handle.as_leader(work, |leader, state, now| {
            let catalog = state.view.catalog().cloned()?;
            let evacuations = state.view.evacuations().domains();
            leader.placer_mut().set_evacuated(evacuations.map(|(domain, _)| domain), now);
            Some(call(leader.placer_mut(), &catalog, now))
        });
        if actions.is_none() {
            // This replica does not lead, or no longer. Dropping the senders answers
            // the pending calls with `NotLeader`, so that the gateways ask the leader.
            self.pending.lock().clear();
        }
        actions.flatten()
    }

    fn execute(self: &sync::Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::QueryTarget { target, address } => {
                    tokio::spawn(self.clone().query(target, address));
                }
                Action::SendOrder(order) => {
                    tokio::spawn(self.clone().send_order(order));
                }
                Action::PublishHoldings(update) => {
                    let gossip = peer::Gossip::HoldingsUpdated(update);
                    // Soft state, such as the directory, is not in the Raft log.
                    self.handle.soft_state.apply_gossip(self.handle.id, gossip.clone());
                    self.handle.broadcast(&gossip);
                }
                Action::Answer { id, availability } => {
                    let pending = self.pending.lock().remove(&id);
                    // Sending fails if the gateway has disconnected.
                    let _ = pending.map(|p| p.send(availability));
                }
            }
        }
    }

    async fn query(self: sync::Arc<Self>, target: String, address: net::SocketAddr) {
        let request = self.engines.query_request(address);
        let report = match self.call(address, request, carried::Call::Query).await {
            CallResult::Response { status, body, .. } => self.engines.parse_report(status, &body),
            CallResult::NotSent | CallResult::Unknown => None,
        };
        log_report(&target, report.as_ref());
        let actions = self.with_placer(Work::TargetReport, |placer, _, now| {
            placer.handle_report(&target, report, now)
        });
        self.execute(actions.unwrap_or_default());
    }

    async fn send_order(self: sync::Arc<Self>, order: Order) {
        let request = self.engines.order_request(&order, &self.name);
        let sent_at = self.handle.soft_state.now();
        let call = match order.op {
            Op::Load => carried::Call::Load,
            Op::Unload => carried::Call::Unload,
        };
        let (outcome, reused) = match self.call(order.address, request, call).await {
            CallResult::Response { status, reused, .. } => {
                (self.engines.parse_outcome(status), Some(reused))
            }
            CallResult::NotSent => (Outcome::Refused, None),
            CallResult::Unknown => (Outcome::Unknown, None),
        };
        spdlog::info!("outcome of an order to a target", kv: {
            target = order.target.as_str(),
            op = order.op.name(),
            model = order.model.as_str(),
            adapter = order.adapter.as_deref().unwrap_or_default(),
            expected = order.expected_accepted.unwrap_or(0),
            fence = order.fence,
            outcome = outcome.name(),
            connection = connection_name(reused)
        });
        let latency = self.handle.soft_state.now().saturating_sub(sent_at);
        self.handle.metrics.record_order(order.op.name(), outcome.name(), latency.as_secs_f64());
        let actions = self.with_placer(Work::OrderOutcome, |placer, catalog, now| {
            placer.handle_outcome(&order, outcome, catalog, now)
        });
        self.execute(actions.unwrap_or_default());
    }

    /// Sends a request on a connection that may carry the call.
    async fn send(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
        call: carried::Call,
    ) -> Result<(http::Response<Incoming>, pool::Lease), pool::Error> {
        let is_order = call != carried::Call::Query;
        if is_order && self.doubtful.lock().contains_key(&address) {
            let opened = self.pools.open(address).await?;
            return self.pools.send_on(address, opened, request).await;
        }
        let reusing = pool::Reusing { id: "", run_once: true, call: Some(call), direct: true };
        self.pools.send(address, request, reusing, self.handle.soft_state.now()).await
    }

    /// Sends a request to a target, without a retry.
    async fn call(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
        call: carried::Call,
    ) -> CallResult {
        let exchange = async {
            let sent = self.send(address, request, call).await;
            let (response, mut lease) = match sent {
                Ok(sent) => sent,
                Err(pool::Error::NotSent { .. }) => return CallResult::NotSent,
                Err(pool::Error::Incomplete { .. }) => return CallResult::Unknown,
            };
            let status = response.status();
            let body = response.into_body();
            let Ok(body) = self.response_budget.read(body, MAX_BODY_BYTES).await else {
                return CallResult::Unknown;
            };
            let answer = self.engines.classify_answer(status, &body);
            if !lease.settle(call, answer) {
                self.record_unproven(address, call, status);
                return CallResult::Unknown;
            }
            let reused = lease.is_reused();
            self.pools.release(lease, self.handle.soft_state.now());
            CallResult::Response { status, body, reused }
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap_or(CallResult::Unknown)
    }

    /// Records an answer that may belong to another call than the one for which it was read.
    fn record_unproven(
        &self,
        address: net::SocketAddr,
        call: carried::Call,
        status: http::StatusCode,
    ) {
        spdlog::warn!("answer of a target may belong to another call", kv: {
            address = address.to_string().as_str(),
            call = call.name(),
            status = status.as_u16()
        });
        if call != carried::Call::Query {
            let until = self.handle.soft_state.now() + DOUBT_TTL;
            self.doubtful.lock().insert(address, until);
        }
    }
}

/// Result of a call to a target.
enum CallResult {
    Response {
        status: http::StatusCode,
        body: Bytes,
        /// Whether the connection carried earlier calls.
        reused: bool,
    },
    /// No byte was sent.
    NotSent,
    /// There is no complete response that belongs to the call; the target may have handled
    /// the request.
    Unknown,
}

/// Returns how the connection of an order is named in the log.
fn connection_name(reused: Option<bool>) -> &'static str {
    match reused {
        Some(true) => "reused",
        Some(false) => "new",
        None => "unknown",
    }
}

/// Logs the report of a target. If it did not answer, `accepted` is -1 and
/// `models` is 0.
fn log_report(target: &str, report: Option<&TargetReport>) {
    let accepted = report.map_or(-1, |r| i64::try_from(r.accepted).unwrap_or(i64::MAX));
    let models = report.map_or(0, |r| r.holdings.len());
    spdlog::info!("target queried", kv: { target = target, accepted = accepted, models = models });
}
