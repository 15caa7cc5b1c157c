//! State shared by the tasks of a gateway.

use std::{
    collections, net,
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
    connection::{buffer, control, dialect, peer, pool},
    process::{clock, limits, metrics},
    request::{
        gateway::{begun, budget, continuation, crash_log, fleet, reach, suspension},
        limit::{share, turn},
    },
    version::{
        catalog::{self, table},
        census, directory, feed, placer, raft, traffic,
    },
};

use super::{Options, body, excluded, intake, job::millis, places::PlaceClient};

/// How long a gateway still accepts requests after the stop signal, so that the
/// load balancer and callers with open connections have time to move to another
/// gateway. Must stay below 3 s: requests accepted later than that after the
/// signal must finish within the grace period, and a long stream would not.
const SHUTDOWN_DELAY: time::Duration = time::Duration::from_millis(2_600);

/// Time between two checks of whether requests are in flight.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time kept at the end of the grace period for the steps after the wait for
/// requests in flight.
const DRAIN_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Time before that at which the requests without a response get a final one.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(150);

/// How long to wait for an adapter to be loaded on a further target.
const SCALE_OUT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A successful synchronization with a control replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Synced {
    pub(super) replica: raft::NodeId,
    /// When it was begun.
    pub(super) at: time::Duration,
}

/// Configuration in force: the cached view, and the routing table built from its
/// catalog.
#[derive(Debug, Default)]
pub(super) struct Config {
    pub(super) cached_view: feed::CachedView,
    /// `None` until a first catalog is known.
    pub(super) table: Option<sync::Arc<table::Table>>,
}

/// Shared state of one gateway.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) options: Options,
    pub(super) clock: sync::Arc<clock::Clock>,
    pub(super) control: sync::Arc<control::Client>,
    pub(super) limits: sync::Arc<limits::Limits>,
    pub(super) metrics: sync::Arc<metrics::Metrics>,
    pub(super) dialect: sync::Arc<dyn dialect::Dialect>,
    pub(super) pools: pool::Pools,
    pub(super) response_budget: buffer::Budget,
    pub(super) bodies: intake::Bodies,
    /// Authenticates connections to other gateways.
    pub(super) identity: peer::Identity,
    pub(super) fleet: Mutex<fleet::TargetTable>,
    pub(super) reach: Mutex<reach::Reach>,
    /// Internal addresses of gateways that reach targets.
    pub(super) relays: Mutex<Vec<net::SocketAddr>>,
    pub(super) crash_log: Mutex<crash_log::CrashLog>,
    pub(super) local_turns: Mutex<turn::LocalTurns>,
    pub(super) places: PlaceClient,
    pub(super) begun_streams: Mutex<begun::BegunStreams>,
    /// Notified when there may be streams to report to the control replicas.
    pub(super) streams_begun: tsync::Notify,
    /// Notified when control replicas know of further streams.
    pub(super) streams_reported: tsync::Notify,
    /// The latest successful synchronization.
    pub(super) latest_sync: tsync::watch::Sender<Option<Synced>>,
    /// The latest attempt to synchronize that has ended, successful or not.
    pub(super) latest_attempt: tsync::watch::Sender<suspension::LatestAttempt>,
    /// When the latest one with a replica that is up to date was begun.
    pub(super) current_at: Mutex<Option<time::Duration>>,
    /// Notified when the next synchronization is needed at once.
    pub(super) sync_due: tsync::Notify,
    retry_budgets: Mutex<collections::HashMap<String, budget::Budget>>,
    /// Control replicas named in the settings.
    pub(super) seeds: arc_swap::ArcSwap<Vec<raft::NodeId>>,
    config: arc_swap::ArcSwap<Config>,
    /// Set to true when each connection must close after its current request.
    pub(super) close_connections: tsync::watch::Sender<bool>,
    /// Incremented to wake requests that wait for a change of the target table.
    fleet_changes: tsync::watch::Sender<u64>,
    /// Hash of the gateway's name: identifies it in traffic reports, also after a
    /// restart.
    pub(super) gateway_id: census::GatewayId,
    in_flight: AtomicU64,
    stopping: AtomicBool,
    /// Set when the gateway accepts no more connections, to the time by which each request
    /// gets its response.
    answer_by: tsync::watch::Sender<Option<time::Duration>>,
}

impl Core {
    pub(super) fn new(
        options: Options,
        identity: peer::Identity,
        control: control::Client,
        metrics: metrics::Metrics,
        dialect: sync::Arc<dyn dialect::Dialect>,
    ) -> sync::Arc<Self> {
        let clock = identity.clock.clone();
        let control = sync::Arc::new(control);
        let metrics = sync::Arc::new(metrics);
        let limits = limits::Limits::new(control.clone(), clock.clone(), metrics.clone());
        let (fleet_changes, _) = tsync::watch::channel(0);
        let (close_connections, _) = tsync::watch::channel(false);
        let seeds = options.control_replicas.keys().copied().collect();
        let pools = pool::Pools::from_address(options.internal.map(|a| a.ip()));
        let gateway_id = xxh32::xxh32(options.name.as_bytes(), 0);
        let mut fleet = fleet::TargetTable::default();
        fleet.set_regions(options.regions.clone());
        fleet.set_cold_bounds(options.cold_bounds);
        fleet.paces().set_seed(u64::from(gateway_id));
        sync::Arc::new(Self {
            options,
            clock,
            control,
            limits: sync::Arc::new(limits),
            metrics,
            dialect,
            pools,
            response_budget: buffer::Budget::new(body::BUFFERED_BUDGET_BYTES),
            bodies: intake::Bodies::new(),
            identity,
            fleet: Mutex::new(fleet),
            reach: Mutex::default(),
            relays: Mutex::default(),
            crash_log: Mutex::default(),
            local_turns: Mutex::new(turn::LocalTurns::new(u64::from(gateway_id))),
            places: PlaceClient::new(),
            begun_streams: Mutex::default(),
            streams_begun: tsync::Notify::new(),
            streams_reported: tsync::Notify::new(),
            latest_sync: tsync::watch::Sender::default(),
            latest_attempt: tsync::watch::Sender::default(),
            current_at: Mutex::default(),
            sync_due: tsync::Notify::new(),
            retry_budgets: Mutex::default(),
            seeds: arc_swap::ArcSwap::from_pointee(seeds),
            config: arc_swap::ArcSwap::default(),
            close_connections,
            fleet_changes,
            gateway_id,
            in_flight: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            answer_by: tsync::watch::Sender::default(),
        })
    }

    pub(super) fn config(&self) -> sync::Arc<Config> {
        self.config.load_full()
    }

    /// Puts a new cached view in force. The routing table is rebuilt only if the
    /// catalog changed.
    pub(super) fn update_config(&self, cached_view: feed::CachedView) {
        // Before a first catalog lets requests through.
        excluded::update(self, cached_view.view().evacuations());
        let previous = self.config();
        self.update_cold(&previous.cached_view, &cached_view);
        let table = match (cached_view.view().catalog(), &previous.table) {
            (Some(catalog), Some(table)) if table.is_of(catalog) => Some(table.clone()),
            (Some(catalog), _) => {
                spdlog::info!("new catalog in force", kv: {
                    version = catalog.version,
                    index = cached_view.index(),
                    routes = catalog.routes.len()
                });
                Some(sync::Arc::new(table::Table::new(catalog.clone())))
            }
            (None, _) => None,
        };
        if cached_view.supplemented_at() != previous.cached_view.supplemented_at() {
            log_evacuations(&cached_view);
            let before = previous.cached_view.view().evacuations();
            self.metrics.record_evacuations(before, cached_view.view().evacuations());
        }
        self.config.store(sync::Arc::new(Config { cached_view, table }));
    }

    /// Applies changes of targets and the traffic of other gateways, as received
    /// from a control replica. `is_current` tells whether that has all changes of the view.
    pub(super) fn update_fleet(
        &self,
        announced: Vec<directory::AnnouncedTarget>,
        report: &traffic::Report,
        gateways: fleet::GatewayCounts,
        is_current: bool,
    ) {
        let changed = {
            let mut fleet = self.fleet.lock();
            let now = self.clock.now();
            fleet.record_cold(&announced, now);
            let mut changed = fleet.apply_announcements(announced);
            changed.extend(fleet.apply_departures(&report.leaving, now));
            if is_current {
                changed.extend(fleet.settle_disputes(now));
            }
            fleet.record_contact(now);
            fleet.apply_report(report, gateways);
            fleet.paces().apply(&report.paces, now);
            if !changed.is_empty() {
                fleet.record_software(now);
            }
            changed
        };
        for target in &changed {
            spdlog::info!("target announcement changed", kv: {
                target = target.id.as_str(),
                presence = format!("{:?}", target.presence).as_str(),
                software = target.software.as_str(),
                born = target.incarnation,
                seq = target.seq
            });
        }
        if !changed.is_empty() {
            self.notify_fleet_change();
        }
    }

    /// Records what a target states in a response about the requests that it still wants.
    pub(super) fn record_notice(&self, choice: &fleet::Choice, head: &http::response::Parts) {
        let now = self.clock.now();
        if let Some(pause) = self.dialect.stated_pause(head) {
            self.fleet.lock().record_pause(choice, pause, now);
            spdlog::info!("target wants no requests for a while", kv: {
                target = choice.id.as_str(),
                born = choice.incarnation,
                pause_ms = millis(pause)
            });
        }
        if self.dialect.states_leaving(head) && self.fleet.lock().record_leaving(choice, now) {
            spdlog::info!("target states that it is leaving", kv: {
                target = choice.id.as_str(),
                born = choice.incarnation
            });
        }
    }

    /// Recomputes this gateway's share of each workspace's rate limit, which it may
    /// use while the owner of the limit can't be reached.
    pub(super) fn update_fallback_limits(&self) {
        let config = self.config();
        let Some(table) = &config.table else {
            return;
        };
        let requested_rates: collections::HashMap<_, _> =
            self.limits.requested_rates().into_iter().collect();
        let fleet = self.fleet.lock();
        let inputs_of = |workspace: &catalog::Workspace| {
            let rate_limit = workspace.rate_limit?;
            let own_rate = requested_rates.get(&workspace.name).copied().unwrap_or(0.0);
            let inputs = share::ShareInputs {
                rate: to_f64(rate_limit.rate),
                burst: to_f64(rate_limit.burst),
                gateways: fleet.gateway_counts().known,
                reporting: fleet.gateway_counts().reporting,
                own_rate,
                total_rate: own_rate + fleet.other_token_rate(&workspace.name),
                seed: u64::from(self.gateway_id),
            };
            Some((workspace.name.clone(), inputs))
        };
        let share_inputs = table.catalog().workspaces.iter().filter_map(inputs_of).collect();
        drop(fleet);
        self.limits.set_shares(share_inputs);
    }

    /// Waits until a replica has told which targets there are, for at most `timeout`, and
    /// returns when replicas last did.
    pub(super) async fn catch_up(&self, timeout: time::Duration) -> continuation::Contact {
        let called_at = self.clock.now();
        let mut latest_sync = self.latest_sync.subscribe();
        self.sync_due.notify_one();
        let caught_up = latest_sync.wait_for(|sync| sync.is_some_and(|s| s.at >= called_at));
        // After a timeout the contact is an earlier one.
        let _ = tokio::time::timeout(timeout, caught_up).await;
        let replied_at = self.latest_sync.borrow().map(|sync| sync.at);
        continuation::Contact { replied_at, current_at: *self.current_at.lock() }
    }

    /// Wakes requests that wait for a change of the target table.
    pub(super) fn notify_fleet_change(&self) {
        self.fleet_changes.send_modify(|count| *count += 1);
    }

    pub(super) fn watch_fleet(&self) -> tsync::watch::Receiver<u64> {
        self.fleet_changes.subscribe()
    }

    /// Asks the leader for a target that holds a model or adapter. The result is
    /// `Nowhere` if the call fails or is not answered in time.
    ///
    /// `lacking` are targets that answered that they lack the model or adapter.
    pub(super) async fn request_placement(
        &self,
        request: placer::PlacementRequest,
        lacking: &[String],
    ) -> placer::Availability {
        let deadline = time::Instant::now() + request.max_wait;
        let call = peer::Call::placement(request, lacking.to_vec());
        match self.control.call_leader(&call, deadline).await {
            Ok(peer::Reply::Placement(found)) => found,
            _ => placer::Availability::Nowhere,
        }
    }

    /// Has an adapter loaded on a further target because those that hold it are
    /// overloaded, in one of `domains` if these are not empty. The target table limits how often
    /// this is requested for an adapter.
    pub(super) fn scale_out(
        self: &sync::Arc<Self>,
        requirement: &directory::Requirement,
        domains: Vec<String>,
    ) {
        let now = self.clock.now();
        let holders = {
            let mut fleet = self.fleet.lock();
            if !fleet.try_begin_scale_out(requirement, now) {
                return;
            }
            fleet.holders(requirement, now)
        };
        let (core, requirement) = (self.clone(), requirement.clone());
        let request = placer::PlacementRequest {
            requirement: requirement.clone(),
            software: None,
            domains,
            exclude: holders,
            max_wait: SCALE_OUT_TIMEOUT,
        };
        tokio::spawn(async move {
            if let placer::Availability::At(id) = core.request_placement(request, &[]).await {
                core.fleet.lock().override_holding(&id, &requirement, true, core.clock.now());
                core.notify_fleet_change();
            }
        });
    }

    /// Counts a request to a service in its retry budget.
    pub(super) fn record_request(&self, service: &str) {
        let now = self.clock.now();
        let mut retry_budgets = self.retry_budgets.lock();
        retry_budgets
            .entry(service.to_owned())
            .or_default()
            .record_request(&self.options.retry_bounds, now);
    }

    /// Takes a retry from the budget of a service; returns false if none is left.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let gateways = self.fleet.lock().gateway_counts().known;
        let mut retry_budgets = self.retry_budgets.lock();
        let budget = retry_budgets.entry(service.to_owned()).or_default();
        let taken = budget.take(&self.options.retry_bounds, gateways, now);
        if taken {
            self.metrics.record_retry();
        }
        taken
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    /// Returns true if the gateway is not stopping, knows a catalog and at least one
    /// target, and can reach targets by itself or through another gateway.
    pub(super) fn is_ready(&self) -> bool {
        let reaches_targets = !self.relays.lock().is_empty() || !self.is_cut_off();
        !self.is_stopping()
            && self.config().table.is_some()
            && !self.fleet.lock().is_empty()
            && reaches_targets
    }

    /// Returns the address at which this gateway connects others to targets, if it can.
    pub(super) fn relay_address(&self) -> Option<net::SocketAddr> {
        let able = !self.is_stopping() && !self.is_cut_off();
        self.options.internal.filter(|_| able)
    }

    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::SeqCst);
        spdlog::info!("gateway stopping", kv: {
            running = self.in_flight.load(atomic::Ordering::SeqCst)
        });
    }

    /// Waits from the stop signal until connections should be closed once idle.
    pub(super) async fn shutdown_delay(&self) {
        tokio::time::sleep(SHUTDOWN_DELAY.min(self.options.grace / 2)).await;
    }

    /// Returns true if a request with this deadline might not finish in the grace period. It
    /// may be accepted before no more connections are.
    pub(super) fn ends_before(&self, deadline: time::Duration) -> bool {
        self.answer_by.borrow().is_some_and(|answer_by| deadline > answer_by)
    }

    /// Completes at the end of the grace period, when requests without a response get a final
    /// one.
    pub(super) async fn grace_over(&self) {
        let mut answer_by = self.answer_by.subscribe();
        // The sender lives as long as this.
        let Ok(Some(end)) = answer_by.wait_for(Option::is_some).await.map(|end| *end) else {
            return;
        };
        tokio::time::sleep(end.saturating_sub(self.clock.now())).await;
    }

    /// Waits until no request is in flight, at most until [`DRAIN_MARGIN`] before
    /// `timeout` ends.
    pub(super) async fn drain(&self, timeout: time::Duration) {
        let end = self.clock.now() + timeout.saturating_sub(DRAIN_MARGIN);
        self.answer_by.send_replace(Some(end.saturating_sub(ANSWER_MARGIN)));
        while self.in_flight.load(atomic::Ordering::SeqCst) > 0 && self.clock.now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(super) fn track_request(self: &sync::Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        InFlight { core: self.clone() }
    }
}

/// Logs the failure domains being evacuated, after a change of them or of later fields of the
/// catalog.
fn log_evacuations(cached_view: &feed::CachedView) {
    let domains: Vec<_> = cached_view.view().evacuations().domains().map(|(d, _)| d).collect();
    spdlog::info!("evacuations in force", kv: {
        domains = domains.join(" ").as_str(),
        changed_at = cached_view.supplemented_at(),
        index = cached_view.index()
    });
}

#[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}

/// Guard that counts a request as in flight.
#[derive(Debug)]
pub(super) struct InFlight {
    core: sync::Arc<Core>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.core.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
