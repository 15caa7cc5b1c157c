//! A replica with its log and its disk: what those who follow it are sent, and
//! what the log takes.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::{
    connection::peer::Update,
    process::{
        clock::Clock,
        replica::{Decision, Ended, Options, Replica},
        timeline::Timeline,
    },
    version::{
        catalog::{Catalog, Effect, Route, Service, Share},
        feed::CachedView,
        lead::Policy,
        raft::Config,
        state::{Change, Outcome},
        view::Command,
    },
};

/// Bytes of an operator's text, and catalogs that are given.
const TEXT: usize = 100_000;
const CATALOGS: u64 = 120;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A group of one replica, with a folder of its own.
struct Alone {
    replica: Replica,
    _ended: Ended,
    folder: PathBuf,
}

impl Alone {
    fn start() -> Self {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("hornbeamdock-replica-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let clock = Arc::new(Clock::new());
        let election_timeout = Duration::from_millis(100);
        let raft = Config {
            id: 1,
            store: 0,
            peers: vec![1],
            may_bootstrap: true,
            max_voters: 1,
            election_timeout,
            heartbeat_interval: election_timeout / 10,
            seed: 1,
        };
        let (replica, ended) = Replica::start(Options {
            raft,
            folder: folder.clone(),
            lead: Policy::default(),
            outbox: Box::new(|_, _| {}),
            clock: clock.clone(),
            timeline: Arc::new(Timeline::new("test", clock)),
        })
        .expect("it starts");
        Self { replica, _ended: ended, folder }
    }

    async fn configure(&self, version: u64) {
        let document = vec![b'x'; TEXT];
        let catalog = Catalog { version, document, ..Catalog::default() };
        self.decide(Change::View(Command::Configure(Arc::new(catalog)))).await;
    }

    async fn decide(&self, change: Change) {
        for _ in 0..200 {
            let decision = self.replica.propose(change.clone()).await;
            if matches!(decision, Decision::Decided { outcome: Outcome::Applied, .. }) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("it was not decided: {change:?}");
    }
}

impl Drop for Alone {
    fn drop(&mut self) {
        // A folder that stays behind is in the system's own place for such.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn catalogs(update: &Update) -> Vec<Arc<Catalog>> {
    match update {
        Update::Full { view, .. } => view.catalog().cloned().into_iter().collect(),
        Update::Delta { changes, .. } => {
            let catalogs = changes.iter().filter_map(|c| match &c.command {
                Command::Configure(catalog) => Some(catalog.clone()),
                _ => None,
            });
            catalogs.collect()
        }
    }
}

/// Whoever missed many catalogs is sent the newest one only, without the
/// operator's text. Whoever reads the state finds the text.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_get_one_catalog_without_its_text() {
    let alone = Alone::start();
    for version in 1..=10 {
        alone.configure(version).await;
    }
    // One that is not newer is acknowledged and changes nothing.
    alone.configure(3).await;
    let update = alone.replica.poll(0).await.expect("it leads");
    let sent = catalogs(&update);
    expect_that!(sent.len(), eq(1));
    expect_that!(sent[0].version, eq(10));
    expect_that!(sent[0].document.len(), eq(0));
    let kept = alone.replica.look(|state| state.view.catalog().map(|c| c.document.len()));
    expect_that!(kept, some(eq(TEXT)));
}

/// A follower that misses some catalogs now and then has the newest one after each
/// poll, and gets little beyond what has changed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_get_patches() {
    let alone = Alone::start();
    let mut feed = CachedView::default();
    for version in 1..=60 {
        alone.decide(many_routes(version)).await;
        if version % 7 == 3 || version % 5 == 0 {
            continue;
        }
        let update = alone.replica.poll(feed.index()).await.expect("it leads");
        let size = postcard::to_stdvec(&update).expect("it encodes").len();
        if version > 1 {
            expect_that!(size, lt(2_000), "version {version}");
        }
        update.apply_to(&mut feed, Duration::from_secs(version));
        let held = feed.view().catalog().expect("it has one");
        expect_that!(held.version, eq(version));
        let sorted = |catalog: &Catalog| {
            let mut routes = catalog.routes.clone();
            routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
            routes
        };
        let own = alone.replica.look(|state| state.view.catalog().map(|c| sorted(c)));
        expect_that!(Some(sorted(held)), eq(&own), "version {version}");
    }
}

/// Four hundred routes, of which one is added, one goes and one changes with each
/// version.
fn many_routes(version: u64) -> Change {
    let route = |n: u64| Route {
        name: format!("route-{n}"),
        host: "shop.example".into(),
        prefix: format!("/{n}/"),
        effect: Effect::Idempotent,
        timeout: Duration::from_secs(1 + u64::from(n == version + 200) * version),
        objective: Duration::from_millis(100),
        priority: 1,
        shares: vec![Share { service: "app".into(), weight: 1 }],
        tries: 2,
        open: true,
        modelled: false,
        resumable: false,
    };
    let app =
        Service { name: "app".into(), health: "/health".into(), connections: 10, engine: None };
    let catalog = Catalog {
        version,
        routes: (version..version + 400).map(route).collect(),
        services: vec![app],
        ..Catalog::default()
    };
    Change::View(Command::Configure(Arc::new(catalog)))
}

/// The log is cut by its bytes, long before it holds many entries.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_of_large_entries_is_cut() {
    let alone = Alone::start();
    for version in 1..=CATALOGS {
        alone.configure(version).await;
    }
    expect_that!(alone.replica.status().entries, lt(60));
    let update = alone.replica.poll(0).await.expect("it leads");
    expect_that!(catalogs(&update)[0].version, eq(CATALOGS));
}
