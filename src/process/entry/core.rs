//! What the parts of an entry share.

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
    connection::{control, peer},
    process::{clock, limits, metrics, timeline},
    request::retry,
    version::{claim, feed, key, raft, record, state, view},
};

use super::{Options, dispatch::Dispatch, relay, report::Reports};

/// How long an entry waits for a proposal to be decided.
pub(super) const PROPOSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A copy of the view with what is derived from it.
#[derive(Debug, Default)]
pub(super) struct Live {
    pub(super) feed: feed::CachedView,
    /// Routes, the longest path first.
    pub(super) routes: Vec<(String, record::Route)>,
}

/// Shared state of one entry.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) options: Options,
    pub(super) clock: sync::Arc<clock::Clock>,
    pub(super) timeline: sync::Arc<timeline::Timeline>,
    pub(super) control: sync::Arc<control::Client>,
    pub(super) metrics: sync::Arc<metrics::Metrics>,
    pub(super) limits: sync::Arc<limits::Limits>,
    pub(super) dispatch: Dispatch,
    pub(super) reports: Reports,
    pub(super) clients: relay::Clients,
    pub(super) retries: Mutex<retry::Budget>,
    live: arc_swap::ArcSwap<Live>,
    changed: tsync::watch::Sender<raft::Index>,
    session: AtomicU64,
    next: AtomicU64,
    stopping: AtomicBool,
    fenced: AtomicBool,
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
        let (changed, _) = tsync::watch::channel(0);
        sync::Arc::new(Self {
            options,
            timeline,
            control,
            metrics,
            limits: sync::Arc::new(limits),
            dispatch: Dispatch::new(rand::rng().random()),
            reports: Reports::default(),
            clients: relay::Clients::new(),
            retries: Mutex::new(retry::Budget::new(now)),
            live: arc_swap::ArcSwap::default(),
            changed,
            session: AtomicU64::new(rand::rng().random()),
            next: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            fenced: AtomicBool::new(true),
            clock,
        })
    }

    /// Returns the present copy of the view.
    pub(super) fn live(&self) -> sync::Arc<Live> {
        self.live.load_full()
    }

    /// Returns the present copy of the view if it may be trusted.
    pub(super) fn fresh(&self) -> Option<sync::Arc<Live>> {
        let live = self.live();
        live.feed.is_fresh(self.clock.now()).then_some(live)
    }

    /// Puts a new copy of the view in force.
    pub(super) fn install(self: &sync::Arc<Self>, feed: feed::CachedView) {
        let before = self.live();
        let index = feed.index();
        let moved = before.feed.index() != index;
        let mut routes: Vec<_> =
            feed.view().routes().map(|(n, r)| (n.to_owned(), r.clone())).collect();
        routes.sort_by_key(|(_, r)| std::cmp::Reverse(r.path.len()));
        self.live.store(sync::Arc::new(Live { feed, routes }));
        if moved {
            self.timeline.record(timeline::Kind::InForce { index });
            self.dispatch.configure(self);
            self.changed.send_replace(index);
        }
        self.watch_freshness();
    }

    /// Returns a receiver that wakes up with every change of the view.
    pub(super) fn changes(&self) -> tsync::watch::Receiver<raft::Index> {
        self.changed.subscribe()
    }

    /// Notes on the time line when the view turns stale or fresh.
    pub(super) fn watch_freshness(&self) {
        let stale = self.fresh().is_none();
        if self.fenced.swap(stale, atomic::Ordering::SeqCst) != stale {
            let kind = if stale { timeline::Kind::Fenced } else { timeline::Kind::Unfenced };
            self.timeline.record(kind);
        }
    }

    /// Returns a number that no other request of this process has.
    pub(super) fn number(&self) -> u64 {
        self.next.fetch_add(1, atomic::Ordering::Relaxed)
    }

    pub(super) fn session(&self) -> claim::Session {
        claim::Session(self.session.load(atomic::Ordering::SeqCst))
    }

    /// Starts a new session after the present one was ended by the leader.
    pub(super) fn renew_session(&self, ended: claim::Session) {
        let fresh = rand::rng().random();
        // If another task has renewed it already, that one stands.
        let _ = self.session.compare_exchange(
            ended.0,
            fresh,
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

    /// Returns what an entry must not lose when it ends: tokens and its
    /// session.
    pub(super) async fn release_all(self: &sync::Arc<Self>) {
        self.limits.close().await;
        // If this is lost the session ends by its timeout.
        let _ = self.propose(state::Change::End(self.session())).await;
    }

    /// Has a change replicated.
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

    /// Has an idempotent change replicated, asking again while its outcome is
    /// not known.
    pub(super) async fn propose_again(
        &self,
        change: &state::Change,
    ) -> Result<(raft::Index, state::Outcome), control::Error> {
        let deadline = time::Instant::now() + PROPOSE_TIMEOUT;
        loop {
            let result = self.propose(change.clone()).await;
            if result.is_ok() || time::Instant::now() >= deadline {
                return result;
            }
            tokio::time::sleep(TRY_AGAIN).await;
        }
    }

    /// Changes the view in the background.
    pub(super) fn tell(self: &sync::Arc<Self>, command: view::Command) {
        let core = self.clone();
        tokio::spawn(async move {
            // What is told here only improves later decisions.
            let _ = core.propose(state::Change::View(command)).await;
        });
    }
}

/// Pause before an idempotent change is proposed again.
const TRY_AGAIN: time::Duration = time::Duration::from_millis(100);

impl Live {
    pub(super) fn view(&self) -> &view::View {
        self.feed.view()
    }

    /// Finds the route with the longest path that is a prefix of `path` and
    /// ends at a segment.
    pub(super) fn route(&self, path: &str) -> Option<&(String, record::Route)> {
        self.routes.iter().find(|(_, route)| {
            path.strip_prefix(route.path.as_str()).is_some_and(|rest| {
                rest.is_empty() || rest.starts_with('/') || route.path.ends_with('/')
            })
        })
    }

    pub(super) fn scope(&self, presented: &key::Presented) -> Option<&key::Scope> {
        self.view().scope(presented)
    }
}
