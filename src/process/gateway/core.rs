//! What the parts of a gateway share.

use std::{
    collections,
    sync::{
        self,
        atomic::{self, AtomicBool, AtomicU64},
    },
    time,
};

use parking_lot::Mutex;
use tokio::sync as tsync;
use xxhash_rust::xxh32;

use crate::{
    connection::{control, dialect, peer, pool},
    process::{clock, limits, metrics},
    request::{
        gateway::{budget, fleet},
        limit::share,
    },
    version::{
        catalog::{self, table},
        census, directory, feed, placer, raft, traffic,
    },
};

use super::Options;

/// How long a stopping gateway goes on taking requests, so that the balancer
/// and callers with open connections look elsewhere first. What it takes later
/// than 3 s after the request to stop must end within the grace period, and a
/// long stream would not.
const NOTICE: time::Duration = time::Duration::from_millis(2_600);

/// Time between two looks at whether requests are running.
const LOOK: time::Duration = time::Duration::from_millis(50);

/// Time before the end of the grace period at which the process ends.
const SPARE: time::Duration = time::Duration::from_millis(250);

/// How long a further target for an adapter is waited for.
const SPREAD: time::Duration = time::Duration::from_secs(2);

/// The catalog in force with its indices, and the copy of the view that it
/// came with.
#[derive(Debug, Default)]
pub(super) struct Live {
    pub(super) feed: feed::Feed,
    /// Absent until a first catalog is known.
    pub(super) table: Option<sync::Arc<table::Table>>,
}

/// Shared state of one gateway.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) options: Options,
    pub(super) clock: sync::Arc<clock::Clock>,
    pub(super) control: sync::Arc<control::Control>,
    pub(super) limits: sync::Arc<limits::Limits>,
    pub(super) metrics: sync::Arc<metrics::Metrics>,
    pub(super) dialect: sync::Arc<dyn dialect::Dialect>,
    pub(super) pools: pool::Pools,
    pub(super) fleet: Mutex<fleet::Fleet>,
    budgets: Mutex<collections::HashMap<String, budget::Budget>>,
    /// Control replicas that settings name.
    pub(super) seeds: arc_swap::ArcSwap<Vec<raft::NodeId>>,
    live: arc_swap::ArcSwap<Live>,
    /// Turns true when connections are to end with their requests.
    pub(super) closing: tsync::watch::Sender<bool>,
    /// Counts changes of the fleet.
    changed: tsync::watch::Sender<u64>,
    /// Stands for this gateway in reports of traffic.
    pub(super) entry: census::EntryId,
    running: AtomicU64,
    stopping: AtomicBool,
}

impl Core {
    pub(super) fn new(
        options: Options,
        clock: sync::Arc<clock::Clock>,
        control: control::Control,
        metrics: metrics::Metrics,
        dialect: sync::Arc<dyn dialect::Dialect>,
    ) -> sync::Arc<Self> {
        let control = sync::Arc::new(control);
        let metrics = sync::Arc::new(metrics);
        let limits = limits::Limits::new(control.clone(), clock.clone(), metrics.clone());
        let (changed, _) = tsync::watch::channel(0);
        let (closing, _) = tsync::watch::channel(false);
        let seeds = options.control.keys().copied().collect();
        let entry = xxh32::xxh32(options.name.as_bytes(), 0);
        sync::Arc::new(Self {
            options,
            clock,
            control,
            limits: sync::Arc::new(limits),
            metrics,
            dialect,
            pools: pool::Pools::default(),
            fleet: Mutex::default(),
            budgets: Mutex::default(),
            seeds: arc_swap::ArcSwap::from_pointee(seeds),
            live: arc_swap::ArcSwap::default(),
            closing,
            changed,
            entry,
            running: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        })
    }

    pub(super) fn live(&self) -> sync::Arc<Live> {
        self.live.load_full()
    }

    /// Puts a new copy of the view in force.
    pub(super) fn install(&self, feed: feed::Feed) {
        let before = self.live();
        let table = match (feed.view().catalog(), &before.table) {
            (Some(catalog), Some(table)) if table.catalog().version == catalog.version => {
                Some(table.clone())
            }
            (Some(catalog), _) => {
                spdlog::info!("catalog in force", kv: {
                    version = catalog.version,
                    index = feed.index(),
                    routes = catalog.routes.len()
                });
                Some(sync::Arc::new(table::Table::new(catalog.clone())))
            }
            (None, _) => None,
        };
        self.live.store(sync::Arc::new(Live { feed, table }));
    }

    /// Takes in what a replica told about targets and traffic.
    pub(super) fn hear(
        &self,
        announced: Vec<directory::AnnouncedTarget>,
        report: &traffic::Report,
        gateways: fleet::Gateways,
    ) {
        let moved = !announced.is_empty();
        {
            let mut fleet = self.fleet.lock();
            for target in &announced {
                spdlog::info!("target changed", kv: {
                    target = target.id.as_str(),
                    presence = format!("{:?}", target.presence).as_str(),
                    born = target.incarnation,
                    seq = target.seq
                });
            }
            fleet.announce(announced);
            fleet.report(report, gateways);
        }
        if moved {
            self.wake();
        }
    }

    /// Works out what may be spent for each workspace while no owner answers.
    pub(super) fn share_limits(&self) {
        let live = self.live();
        let Some(table) = &live.table else {
            return;
        };
        let own: collections::HashMap<_, _> = self.limits.spending().into_iter().collect();
        let fleet = self.fleet.lock();
        let basis_of = |workspace: &catalog::Workspace| {
            let allowance = workspace.allowance?;
            let own = own.get(&workspace.name).copied().unwrap_or(0.0);
            let basis = share::Basis {
                rate: whole(allowance.rate),
                burst: whole(allowance.burst),
                gateways: fleet.gateways().all,
                heard: fleet.gateways().heard,
                own,
                total: own + fleet.spends(&workspace.name),
                seed: u64::from(self.entry),
            };
            Some((workspace.name.clone(), basis))
        };
        let bases = table.catalog().workspaces.iter().filter_map(basis_of).collect();
        drop(fleet);
        self.limits.set_shares(bases);
    }

    /// Wakes requests that wait for a change of the fleet.
    pub(super) fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(super) fn changes(&self) -> tsync::watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Asks the leader for a target that holds something.
    pub(super) async fn want(
        &self,
        want: &directory::Requirement,
        lacking: &[String],
        beside: &[String],
        limit: time::Duration,
    ) -> placer::Availability {
        let deadline = time::Instant::now() + limit;
        let call = peer::Call::Want {
            want: want.clone(),
            lacking: lacking.to_vec(),
            beside: beside.to_vec(),
            patience: limit,
        };
        match self.control.lead(&call, deadline).await {
            Ok(peer::Reply::Found(found)) => found,
            _ => placer::Availability::Nowhere,
        }
    }

    /// Has an adapter made resident at a further target, because those that
    /// hold it have too much to do. Asked for once in a while only.
    pub(super) fn spread(self: &sync::Arc<Self>, want: &directory::Requirement) {
        let now = self.clock.now();
        let holders = {
            let mut fleet = self.fleet.lock();
            if !fleet.may_spread(want, now) {
                return;
            }
            fleet.holders(want, now)
        };
        let (core, want) = (self.clone(), want.clone());
        tokio::spawn(async move {
            if let placer::Availability::At(id) = core.want(&want, &[], &holders, SPREAD).await {
                core.fleet.lock().word(&id, &want, true, core.clock.now());
                core.wake();
            }
        });
    }

    /// Notes a request to a service in its retry budget.
    pub(super) fn first_try(&self, service: &str) {
        let now = self.clock.now();
        let mut budgets = self.budgets.lock();
        budgets.entry(service.to_owned()).or_default().request(&self.options.retries, now);
    }

    /// Takes a retry from the budget of a service.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let gateways = self.fleet.lock().gateways().all;
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.to_owned()).or_default();
        let taken = budget.take(&self.options.retries, gateways, now);
        if taken {
            self.metrics.retried();
        }
        taken
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    /// Returns true if new callers are welcome.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.live().table.is_some() && !self.fleet.lock().is_empty()
    }

    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::SeqCst);
        spdlog::info!("stopping", kv: { running = self.running.load(atomic::Ordering::SeqCst) });
    }

    /// Waits until connections should be closed as soon as they are idle.
    pub(super) async fn noticed(&self) {
        tokio::time::sleep(NOTICE.min(self.options.grace / 2)).await;
    }

    /// Waits until no request is running, for `left` at the longest.
    pub(super) async fn drained(&self, left: time::Duration) {
        let end = self.clock.now() + left.saturating_sub(SPARE);
        while self.running.load(atomic::Ordering::SeqCst) > 0 && self.clock.now() < end {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Counts a request while the returned guard lives.
    pub(super) fn enter(self: &sync::Arc<Self>) -> Running {
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        Running { core: self.clone() }
    }
}

#[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
fn whole(number: u64) -> f64 {
    number as f64
}

/// A request that is being served.
#[derive(Debug)]
pub(super) struct Running {
    core: sync::Arc<Core>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.core.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
