//! A replica with its log and disk: the updates that gateways poll from it, and the
//! size of its log.

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
        disk::{Disk, Opened},
        replica::{Ended, Options, ProposalResult, Replica},
        timeline::Timeline,
    },
    version::{
        catalog::{Catalog, Route, RouteKind, Service, WeightedService},
        feed::CachedView,
        lead::Policy,
        raft::{Config, DiskWrite, Entry, Payload, Position},
        state::{Change, Outcome},
        view::Command,
    },
};

/// Size of the operator's document in a catalog, in bytes.
const DOCUMENT_BYTES: usize = 100_000;

/// Number of catalogs that are committed to make the log grow. With their documents
/// they are larger than the limit at which a replica takes a snapshot.
const CATALOG_COUNT: u64 = 120;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A group of one replica, with its own data folder.
struct SingleReplica {
    replica: Replica,
    _ended: Ended,
    data_folder: PathBuf,
}

impl SingleReplica {
    fn start() -> Self {
        Self::start_in(new_folder())
    }

    fn start_in(data_folder: PathBuf) -> Self {
        let clock = Arc::new(Clock::new());
        let election_timeout = Duration::from_millis(100);
        let raft = Config {
            id: 1,
            store_id: 0,
            peers: vec![1],
            may_bootstrap: true,
            max_voters: 1,
            election_timeout,
            heartbeat_interval: election_timeout / 10,
            seed: 1,
        };
        let (replica, ended) = Replica::start(Options {
            raft,
            data_folder: data_folder.clone(),
            leader_policy: Policy::default(),
            outbox: Box::new(|_, _| {}),
            clock: clock.clone(),
            timeline: Arc::new(Timeline::new("test", clock)),
        })
        .expect("the replica starts");
        Self { replica, _ended: ended, data_folder }
    }

    async fn configure(&self, version: u64) {
        let document = vec![b'x'; DOCUMENT_BYTES];
        let catalog = Catalog { version, document, ..Catalog::default() };
        self.commit(Change::View(Command::PutCatalog(Arc::new(catalog)))).await;
    }

    /// Proposes a change until it is committed; at first the replica does not lead.
    async fn commit(&self, change: Change) {
        for _ in 0..200 {
            let result = self.replica.propose(change.clone()).await;
            if matches!(result, ProposalResult::Committed { outcome: Outcome::Applied, .. }) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("not committed after 200 proposals: {change:?}");
    }
}

fn new_folder() -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::SeqCst);
    let name = format!("hornbeamdock-replica-{}-{number}", std::process::id());
    std::env::temp_dir().join(name)
}

impl Drop for SingleReplica {
    fn drop(&mut self) {
        // If this fails, the folder stays in the system's folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.data_folder);
    }
}

/// Returns the whole catalogs in an update, without patches.
fn catalogs(update: &Update) -> Vec<Arc<Catalog>> {
    match update {
        Update::Full { view, .. } => view.catalog().cloned().into_iter().collect(),
        Update::Delta { changes, .. } => {
            let catalogs = changes.iter().filter_map(|c| match &c.command {
                Command::PutCatalog(catalog) => Some(catalog.clone()),
                _ => None,
            });
            catalogs.collect()
        }
    }
}

/// A gateway that missed many catalogs gets only the newest one, without the
/// operator's document. The replica itself keeps the document.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poll_returns_only_the_newest_catalog_without_its_document() {
    let single = SingleReplica::start();
    for version in 1..=10 {
        single.configure(version).await;
    }
    // A catalog that is not newer is committed without effect.
    single.configure(3).await;
    let update = single.replica.poll(0).await.expect("the replica leads");
    let polled = catalogs(&update);
    expect_that!(polled.len(), eq(1));
    expect_that!(polled[0].version, eq(10));
    expect_that!(polled[0].document.len(), eq(0));
    let kept = single.replica.read_state(|state| state.view.catalog().map(|c| c.document.len()));
    expect_that!(kept, some(eq(DOCUMENT_BYTES)));
}

/// A gateway that misses some catalogs between its polls holds the newest one after
/// each poll. Each update is small, because it contains a patch instead of the whole
/// catalog.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn polls_return_patches_of_the_catalog() {
    let single = SingleReplica::start();
    let mut cached = CachedView::default();
    for version in 1..=60 {
        single.commit(many_routes(version)).await;
        if version % 7 == 3 || version % 5 == 0 {
            continue;
        }
        let update = single.replica.poll(cached.index()).await.expect("the replica leads");
        let size = postcard::to_stdvec(&update).expect("the update encodes").len();
        if version > 1 {
            expect_that!(size, lt(2_000), "version {version}");
        }
        update.apply_to(&mut cached, Duration::from_secs(version));
        let held = cached.view().catalog().expect("the cached view has a catalog");
        expect_that!(held.version, eq(version));
        let sorted = |catalog: &Catalog| {
            let mut routes = catalog.routes.clone();
            routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
            routes
        };
        let own = single.replica.read_state(|state| state.view.catalog().map(|c| sorted(c)));
        expect_that!(Some(sorted(held)), eq(&own), "version {version}");
    }
}

/// Returns a command with a catalog of 400 routes. Each version adds one route,
/// removes one and changes one.
fn many_routes(version: u64) -> Change {
    let route = |n: u64| Route {
        name: format!("route-{n}"),
        host: "shop.example".into(),
        prefix: format!("/{n}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1 + u64::from(n == version + 200) * version),
        latency_objective: Duration::from_millis(100),
        priority: 1,
        split: vec![WeightedService { service: "app".into(), weight: 1 }],
        max_attempts: 2,
        public: true,
        names_model: false,
        resumable: false,
        gap_objective: std::time::Duration::ZERO,
        homes: Vec::new(),
    };
    let app = Service {
        name: "app".into(),
        health_path: "/health".into(),
        max_connections: 10,
        engine: None,
        warm_up: None,
    };
    let catalog = Catalog {
        version,
        routes: (version..version + 400).map(route).collect(),
        services: vec![app],
        ..Catalog::default()
    };
    Change::View(Command::PutCatalog(Arc::new(catalog)))
}

/// A log of large entries is compacted when it reaches its limit in bytes, long
/// before its limit in entries.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_of_large_entries_is_compacted() {
    let single = SingleReplica::start();
    for version in 1..=CATALOG_COUNT {
        single.configure(version).await;
    }
    expect_that!(single.replica.status().entries, lt(60));
    let update = single.replica.poll(0).await.expect("the replica leads");
    expect_that!(catalogs(&update)[0].version, eq(CATALOG_COUNT));
}

/// Copies the data folder of a replica that has committed a catalog, and appends an entry that
/// this build can't decode, as a later build may have committed.
async fn folder_with_an_entry_of_a_later_build() -> PathBuf {
    let data_folder = new_folder();
    let single = SingleReplica::start();
    single.configure(1).await;
    std::fs::create_dir_all(&data_folder).expect("the folder is created");
    for file in std::fs::read_dir(&single.data_folder).expect("the folder is read").flatten() {
        std::fs::copy(file.path(), data_folder.join(file.file_name())).expect("the file is copied");
    }
    let Opened { mut disk, restored, .. } = Disk::open(&data_folder).expect("the folder opens");
    let last = restored.entries.last().expect("the log has entries").position;
    let position = Position { term: last.term, index: last.index + 1 };
    let entry = Entry { position, payload: Payload::Command(vec![1, 250, 250]) };
    disk.write(&[DiskWrite::Append(vec![entry])], &[]).expect("the write succeeds");
    data_folder
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_that_cannot_decode_a_committed_entry_does_not_skip_it() {
    let stalled = SingleReplica::start_in(folder_with_an_entry_of_a_later_build().await);
    for _ in 0..250 {
        if stalled.replica.status().role == "stalled" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let status = stalled.replica.status();
    expect_that!(status.role, eq("stalled"));
    expect_that!(status.applied, lt(status.commit));
    expect_that!(stalled.replica.leader(), none());
    let catalog = Change::View(Command::PutCatalog(Arc::new(Catalog::default())));
    let proposed = stalled.replica.propose(catalog).await;
    expect_that!(matches!(proposed, ProposalResult::NotLeader { .. }), eq(true));
    let polled = tokio::time::timeout(Duration::from_secs(2), stalled.replica.poll(0)).await;
    expect_that!(polled.is_ok_and(|update| update.is_none()), eq(true));
}
