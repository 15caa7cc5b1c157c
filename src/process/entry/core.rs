//! State shared by the tasks of an entry process.

use std::{
    sync::{
        self,
        atomic::{self, AtomicBool, AtomicU64},
    },
    time,
};

use parking_lot::Mutex;
use rand::RngExt as _;
use tokio::sync as tsync;

use crate::{
    connection::{buffer, control, peer},
    process::{clock, limits, metrics, timeline},
    request::retry,
    version::{claim, feed, key, raft, record, state, view},
};

use super::{Options, dispatch::Dispatcher, relay, report::PendingReport};

/// How long to wait until a proposal is committed and applied.
pub(super) const PROPOSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long to wait until the cached view contains a change that was made here.
const VIEW_WAIT: time::Duration = time::Duration::from_secs(1);

/// Configuration in force: the cached view, and the routes sorted for lookup.
#[derive(Debug, Default)]
pub(super) struct Config {
    pub(super) cached_view: feed::CachedView,
    /// Names and routes, the longest path first.
    pub(super) routes: Vec<(String, record::Route)>,
}

/// Shared state of one entry process.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) options: Options,
    pub(super) clock: sync::Arc<clock::Clock>,
    pub(super) timeline: sync::Arc<timeline::Timeline>,
    pub(super) control: sync::Arc<control::Client>,
    pub(super) metrics: sync::Arc<metrics::Metrics>,
    pub(super) limits: sync::Arc<limits::Limits>,
    pub(super) dispatcher: Dispatcher,
    pub(super) pending_report: PendingReport,
    pub(super) target_clients: relay::TargetClients,
    pub(super) response_budget: buffer::Budget,
    pub(super) retry_budget: Mutex<retry::Budget>,
    config: arc_swap::ArcSwap<Config>,
    /// Notified to poll for changes of the view at once.
    pub(super) poll_requested: tsync::Notify,
    /// Index of the cached view.
    view_index: tsync::watch::Sender<raft::Index>,
    /// [`claim::Session`] of this process, which holds the claims of the requests that
    /// it runs.
    session: AtomicU64,
    next_number: AtomicU64,
    stopping: AtomicBool,
    /// Whether the view was stale when this was last recorded in the time line.
    recorded_stale: AtomicBool,
}

impl Core {
    pub(super) fn new(
        options: Options,
        clock: sync::Arc<clock::Clock>,
        timeline: sync::Arc<timeline::Timeline>,
        control: sync::Arc<control::Client>,
        metrics: metrics::Metrics,
    ) -> sync::Arc<Self> {
        let now = clock.now();
        let metrics = sync::Arc::new(metrics);
        let limits = limits::Limits::new(control.clone(), clock.clone(), metrics.clone());
        let (view_index, _) = tsync::watch::channel(0);
        sync::Arc::new(Self {
            options,
            timeline,
            control,
            metrics,
            limits: sync::Arc::new(limits),
            dispatcher: Dispatcher::new(rand::rng().random()),
            pending_report: PendingReport::default(),
            target_clients: relay::TargetClients::new(),
            response_budget: buffer::Budget::new(relay::RESPONSE_BUDGET_BYTES),
            retry_budget: Mutex::new(retry::Budget::new(now)),
            config: arc_swap::ArcSwap::default(),
            poll_requested: tsync::Notify::new(),
            view_index,
            session: AtomicU64::new(rand::rng().random()),
            next_number: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            recorded_stale: AtomicBool::new(true),
            clock,
        })
    }

    /// Returns the configuration, fresh or not.
    pub(super) fn config(&self) -> sync::Arc<Config> {
        self.config.load_full()
    }

    /// Returns the configuration if the cached view is fresh, else `None`.
    pub(super) fn fresh_config(&self) -> Option<sync::Arc<Config>> {
        let config = self.config();
        config.cached_view.is_fresh(self.clock.now()).then_some(config)
    }

    /// Puts a new cached view in force.
    pub(super) fn update_config(self: &sync::Arc<Self>, cached_view: feed::CachedView) {
        let previous = self.config();
        let index = cached_view.index();
        let index_changed = previous.cached_view.index() != index;
        let mut routes: Vec<_> =
            cached_view.view().routes().map(|(n, r)| (n.to_owned(), r.clone())).collect();
        routes.sort_by_key(|(_, r)| std::cmp::Reverse(r.path.len()));
        if previous.cached_view.supplemented_at() != cached_view.supplemented_at() {
            let before = previous.view().evacuations();
            self.metrics.record_evacuations(before, cached_view.view().evacuations());
        }
        self.config.store(sync::Arc::new(Config { cached_view, routes }));
        if index_changed {
            self.timeline.record(timeline::Kind::InForce { index });
            self.dispatcher.configure(self);
            self.view_index.send_replace(index);
        }
        self.record_freshness();
    }

    /// Returns a receiver that is notified of each change of the view.
    pub(super) fn watch_view(&self) -> tsync::watch::Receiver<raft::Index> {
        self.view_index.subscribe()
    }

    /// Polls at once, and waits until the cached view has reached `index`, for at most
    /// [`VIEW_WAIT`]. A caller who changed something then finds it changed here.
    pub(super) async fn wait_for_view(&self, index: raft::Index) {
        let mut view_index = self.watch_view();
        self.poll_requested.notify_one();
        // After a time-out the change comes into force as at the other entry processes.
        let _ = tokio::time::timeout(VIEW_WAIT, view_index.wait_for(|i| *i >= index)).await;
    }

    /// Records in the time line whether the view has become stale or fresh.
    pub(super) fn record_freshness(&self) {
        let stale = self.fresh_config().is_none();
        if self.recorded_stale.swap(stale, atomic::Ordering::SeqCst) != stale {
            let kind = if stale { timeline::Kind::Fenced } else { timeline::Kind::Unfenced };
            self.timeline.record(kind);
        }
    }

    /// Returns a number that is unique within the process. Numbers identify requests
    /// and claim attempts.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, atomic::Ordering::Relaxed)
    }

    pub(super) fn session(&self) -> claim::Session {
        claim::Session(self.session.load(atomic::Ordering::SeqCst))
    }

    /// Replaces the session `ended`, which the leader has ended, by a new one.
    pub(super) fn renew_session(&self, ended: claim::Session) {
        let renewed = rand::rng().random();
        // If another task has already replaced it, that task's session is kept.
        let _ = self.session.compare_exchange(
            ended.0,
            renewed,
            atomic::Ordering::SeqCst,
            atomic::Ordering::SeqCst,
        );
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::SeqCst);
        self.timeline.record(timeline::Kind::Stopping);
    }

    /// Returns unused tokens to the leader and ends the session. Called when the
    /// process ends.
    pub(super) async fn close(self: &sync::Arc<Self>) {
        self.limits.close().await;
        // If this is lost, the leader ends the session after a timeout.
        let _ = self.propose(state::Change::EndSession(self.session())).await;
    }

    /// Proposes a change to the leader; returns its log index and outcome once it is
    /// committed and applied. The change may still be committed after
    /// [`control::Error::Lost`].
    pub(super) async fn propose(
        &self,
        change: state::Change,
    ) -> Result<(raft::Index, state::Outcome), control::Error> {
        let deadline = time::Instant::now() + PROPOSE_TIMEOUT;
        match self.control.call_leader(&peer::Call::Propose(change), deadline).await? {
            peer::Reply::Committed { index, outcome } => Ok((index, outcome)),
            _ => Err(control::Error::OutcomeUnknown),
        }
    }

    /// Proposes an idempotent change, repeatedly if necessary, until its outcome is known.
    /// No further attempt starts after [`PROPOSE_TIMEOUT`].
    pub(super) async fn propose_with_retry(
        &self,
        change: &state::Change,
    ) -> Result<(raft::Index, state::Outcome), control::Error> {
        let deadline = time::Instant::now() + PROPOSE_TIMEOUT;
        loop {
            let result = self.propose(change.clone()).await;
            if result.is_ok() || time::Instant::now() >= deadline {
                return result;
            }
            tokio::time::sleep(PROPOSE_RETRY_DELAY).await;
        }
    }

    /// Returns a log index that includes every change committed before this call, from the first
    /// replica that can prove it; `None` if none can.
    pub(super) async fn caught_up_at(&self) -> Option<raft::Index> {
        let call = peer::Call::Poll { index: self.config().cached_view.index() };
        for replica in self.control.replicas() {
            let reply = self.control.call(replica, call.clone(), CATCH_UP_TIMEOUT).await;
            if let Ok(peer::Reply::Update(update)) = reply {
                return Some(update.index());
            }
        }
        None
    }

    /// Proposes a change of the view without waiting for its outcome.
    pub(super) fn propose_in_background(self: &sync::Arc<Self>, command: view::Command) {
        let core = self.clone();
        tokio::spawn(async move {
            // Losing the change is acceptable: it only improves later decisions.
            let _ = core.propose(state::Change::View(command)).await;
        });
    }
}

/// How long one replica may take to prove that it is up to date.
const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Delay before an idempotent change is proposed again.
const PROPOSE_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

impl Config {
    pub(super) fn view(&self) -> &view::View {
        self.cached_view.view()
    }

    /// Finds the route with the longest path that is a prefix of `path` and ends at
    /// the end of a segment.
    pub(super) fn find_route(&self, path: &str) -> Option<&(String, record::Route)> {
        self.routes.iter().find(|(_, route)| {
            path.strip_prefix(route.path.as_str()).is_some_and(|remainder| {
                remainder.is_empty() || remainder.starts_with('/') || route.path.ends_with('/')
            })
        })
    }

    /// Returns the scope of a valid key, see [`view::View::authorize`].
    pub(super) fn authorize(&self, presented: &key::Presented) -> Option<&key::Scope> {
        self.view().authorize(presented)
    }
}
