//! Carries out what the placer of a leading replica decides.

use std::{
    collections, net,
    sync::{
        self,
        atomic::{self, AtomicU64},
    },
    time,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::{
    connection::{dialect, peer, pool},
    version::{
        catalog,
        placer::{self, Action, Order, Outcome, Placer, TargetReport},
    },
};

use super::handle::Handle;

/// Time between two turns of the placer.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How long a target may take to answer. It answers orders and questions without
/// regard to its requests, and is left alone while an answer is waited for.
const TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Longest answer of a target, in bytes.
const ANSWER: usize = 1 << 20;

/// Those who wait for a model or adapter, by the numbers of their wants.
type Waiting = Mutex<collections::HashMap<u64, tsync::oneshot::Sender<placer::Availability>>>;

/// Runs the placer while this replica leads.
#[derive(Debug)]
pub(super) struct Placing {
    handle: Handle,
    engines: sync::Arc<dyn dialect::EngineDialect>,
    /// Name under which this replica gives orders.
    name: String,
    pools: pool::Pools,
    waiting: Waiting,
    next: AtomicU64,
}

impl Placing {
    pub(super) fn new(
        handle: Handle,
        engines: sync::Arc<dyn dialect::EngineDialect>,
    ) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            name: format!("replica-{:x}", handle.id),
            handle,
            engines,
            pools: pool::Pools::default(),
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
        })
    }

    pub(super) async fn run(self: sync::Arc<Self>) {
        let mut interval = tokio::time::interval(INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let handle = &self.handle;
            let actions = self.decide(|placer, catalog, now| {
                handle.soft.look(|directory, traffic, at| {
                    placer.tick(directory, &traffic.total(at), catalog, now)
                })
            });
            self.carry_out(actions.unwrap_or_default());
            self.pools.close_expired(handle.soft.now());
        }
    }

    /// Answers a want, or returns `None` if this replica does not lead.
    pub(super) async fn want(
        self: &sync::Arc<Self>,
        asked: placer::PlacementRequest,
        lacking: Vec<String>,
    ) -> Option<peer::Reply> {
        let id = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, found) = tsync::oneshot::channel();
        self.waiting.lock().insert(id, sender);
        let actions =
            self.decide(|placer, catalog, now| placer.request(id, asked, &lacking, catalog, now));
        let Some(actions) = actions else {
            self.waiting.lock().remove(&id);
            return None;
        };
        self.carry_out(actions);
        let found = found.await.ok()?;
        self.handle.metrics.record_placement_request(found.name());
        Some(peer::Reply::Placement(found))
    }

    /// Lets the placer decide, if this replica can prove that it leads.
    fn decide(
        &self,
        with: impl FnOnce(&mut Placer, &catalog::Catalog, time::Duration) -> Vec<Action>,
    ) -> Option<Vec<Action>> {
        let decided = self.handle.replica.lead(|leader, state, now| {
            let catalog = state.view.catalog().cloned()?;
            Some(with(leader.placer_mut(), &catalog, now))
        });
        if decided.is_none() {
            // Another replica leads, and whoever waits here should ask there.
            self.waiting.lock().clear();
        }
        decided.flatten()
    }

    fn carry_out(self: &sync::Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::QueryTarget { target, address } => {
                    tokio::spawn(self.clone().ask(target, address));
                }
                Action::SendOrder(order) => {
                    tokio::spawn(self.clone().order(order));
                }
                Action::PublishHoldings(note) => {
                    let gossip = peer::Gossip::HoldingsUpdated(note);
                    self.handle.soft.hear(self.handle.id, gossip.clone());
                    self.handle.tell(&gossip);
                }
                Action::Answer { id, availability } => {
                    let waiting = self.waiting.lock().remove(&id);
                    // Whoever waited may have gone away.
                    let _ = waiting.map(|w| w.send(availability));
                }
            }
        }
    }

    async fn ask(self: sync::Arc<Self>, target: String, address: net::SocketAddr) {
        let request = self.engines.query_request(address);
        let reported = match self.call(address, request).await {
            Called::Answered(status, body) => self.engines.parse_report(status, &body),
            Called::NotSent | Called::Unknown => None,
        };
        log_report(&target, reported.as_ref());
        let actions = self.decide(|placer, _, now| placer.handle_report(&target, reported, now));
        self.carry_out(actions.unwrap_or_default());
    }

    async fn order(self: sync::Arc<Self>, order: Order) {
        let request = self.engines.order_request(&order, &self.name);
        let sent = self.handle.soft.now();
        let outcome = match self.call(order.address, request).await {
            Called::Answered(status, _) => self.engines.parse_outcome(status),
            Called::NotSent => Outcome::Refused,
            Called::Unknown => Outcome::Unknown,
        };
        spdlog::info!("order", kv: {
            target = order.target.as_str(),
            op = order.op.name(),
            model = order.model.as_str(),
            adapter = order.adapter.as_deref().unwrap_or_default(),
            expected = order.expected.unwrap_or(0),
            fence = order.fence,
            outcome = outcome.name()
        });
        let took = self.handle.soft.now().saturating_sub(sent);
        self.handle.metrics.record_order(order.op.name(), outcome.name(), took.as_secs_f64());
        let actions = self
            .decide(|placer, catalog, now| placer.handle_outcome(&order, outcome, catalog, now));
        self.carry_out(actions.unwrap_or_default());
    }

    /// Calls a target once.
    async fn call(&self, address: net::SocketAddr, request: http::Request<Full<Bytes>>) -> Called {
        let now = self.handle.soft.now();
        let calling = async {
            let (answer, lease) = match self.pools.send(address, request, true, now).await {
                Ok(sent) => sent,
                Err(pool::Error::NotSent { .. }) => return Called::NotSent,
                Err(pool::Error::Incomplete { .. }) => return Called::Unknown,
            };
            let status = answer.status();
            let Ok(body) = Limited::new(answer.into_body(), ANSWER).collect().await else {
                return Called::Unknown;
            };
            self.pools.release(lease, self.handle.soft.now());
            Called::Answered(status, body.to_bytes())
        };
        tokio::time::timeout(TIMEOUT, calling).await.unwrap_or(Called::Unknown)
    }
}

/// What came of calling a target.
enum Called {
    Answered(http::StatusCode, Bytes),
    NotSent,
    Unknown,
}

fn log_report(target: &str, reported: Option<&TargetReport>) {
    let accepted = reported.map_or(-1, |r| i64::try_from(r.accepted).unwrap_or(i64::MAX));
    let models = reported.map_or(0, |r| r.holdings.len());
    spdlog::info!("target reported", kv: { target = target, accepted = accepted, models = models });
}
