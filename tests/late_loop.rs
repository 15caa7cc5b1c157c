//! Control replicas whose event loops are late, as under too many calls of gateways.

use std::{
    collections::BTreeMap,
    env, fs, net, process, thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use hornbeamdock::{
    process::control::{Control, Handle, Options},
    version::catalog::Catalog,
};
use tokio::sync::oneshot;

const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// By how much each event loop is late. Longer than a leader lease.
const LAG: Duration = Duration::from_millis(450);

/// Time limit for the first catalog, before the loops are late.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the loops are late.
const LATE_TIME: Duration = Duration::from_secs(6);

/// Time within which an operator gives up a replica and calls another.
const PATIENCE: Duration = Duration::from_secs(1);

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                $run;
            }
        )+
    };
}

cases! {
    reads_are_confirmed_while_event_loops_are_late => check_reads();
    catalogs_are_committed_while_event_loops_are_late => check_catalogs();
}

/// A replica on a thread of its own, whose event loop can be made late.
struct Replica {
    handle: Handle,
    begin_lag: Option<oneshot::Sender<()>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Replica {
    fn start(options: Options) -> Self {
        let (started, handle) = std::sync::mpsc::channel();
        let (begin_lag, lag_begins) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let control = Control::start(options).await.unwrap();
                started.send(control.handle()).unwrap();
                let late = tokio::spawn(be_late(lag_begins));
                let stop = async {
                    let _ = stopped.await;
                };
                control.run(stop).await.unwrap();
                late.abort();
            });
        });
        let handle = handle.recv().unwrap();
        Self { handle, begin_lag: Some(begin_lag), stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.stop.take().map(|stop| stop.send(()));
        self.thread.take().map(thread::JoinHandle::join);
    }
}

/// Occupies the event loop again and again.
async fn be_late(begins: oneshot::Receiver<()>) {
    if begins.await.is_err() {
        return;
    }
    loop {
        thread::sleep(LAG);
        tokio::task::yield_now().await;
    }
}

/// Three replicas with a first catalog, and a runtime for calls to them.
struct Group {
    replicas: Vec<Replica>,
    runtime: tokio::runtime::Runtime,
    folder: std::path::PathBuf,
}

impl Group {
    fn start(name: &str) -> Self {
        let folder = env::temp_dir().join(format!("hornbeamdock-late-{}-{name}", process::id()));
        let _ = fs::remove_dir_all(&folder);
        let listeners: Vec<_> =
            (0..3).map(|_| net::TcpListener::bind(("127.0.0.1", 0)).unwrap()).collect();
        let addresses = listeners.iter().map(|l| l.local_addr().unwrap());
        let peers: BTreeMap<_, _> = (1..).zip(addresses).collect();
        drop(listeners);
        let start = |(id, address): (&u64, &net::SocketAddr)| {
            Replica::start(Options {
                peers: peers.clone(),
                election_timeout: ELECTION_TIMEOUT,
                ..Options::new(*id, *address, &folder.join(id.to_string()), "secret")
            })
        };
        let replicas = peers.iter().map(start).collect();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let group = Self { replicas, runtime, folder };
        let started = Instant::now();
        while !group.configure(1, 0) {
            assert!(started.elapsed() < START_TIMEOUT, "no catalog was committed");
            thread::sleep(Duration::from_millis(50));
        }
        group
    }

    fn make_late(&mut self) {
        for replica in &mut self.replicas {
            replica.begin_lag.take().unwrap().send(()).unwrap();
        }
        thread::sleep(2 * LAG);
    }

    /// Commits a catalog through one of the replicas; returns whether that was acknowledged.
    fn configure(&self, version: u64, replica: usize) -> bool {
        let catalog = Catalog { version, ..Catalog::default() };
        let configure = self.replicas[replica].handle.configure(catalog);
        let answer =
            self.runtime.block_on(async { tokio::time::timeout(PATIENCE, configure).await });
        matches!(answer, Ok(Ok(())))
    }

    /// Reads the catalog through one of the replicas.
    fn read(&self, replica: usize) -> Option<u64> {
        let read = self.replicas[replica].handle.catalog();
        let answer = self.runtime.block_on(async { tokio::time::timeout(PATIENCE, read).await });
        answer.ok()?.ok()?.map(|catalog| catalog.version)
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.replicas.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn check_reads() {
    let mut group = Group::start("reads");
    group.make_late();
    let end = Instant::now() + LATE_TIME;
    let (mut read, mut asked) = (0, 0);
    while Instant::now() < end {
        asked += 1;
        read += usize::from(group.read(asked % 3) == Some(1));
        thread::sleep(Duration::from_millis(50));
    }
    // An election may fail some.
    expect_that!(read, ge(asked - asked / 5));
}

fn check_catalogs() {
    let mut group = Group::start("catalogs");
    group.make_late();
    let end = Instant::now() + LATE_TIME;
    let (mut version, mut acknowledged, mut sent) = (1, 0, 0);
    while Instant::now() < end {
        version += 1;
        sent += 1;
        acknowledged += usize::from(group.configure(version, sent % 3));
        thread::sleep(Duration::from_millis(50));
    }
    expect_that!(acknowledged, ge(sent - sent / 5));
}
