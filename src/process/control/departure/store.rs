//! The thread that writes the file of departures.
//!
//! A sync takes from under a millisecond to seconds, and departures of a whole service arrive
//! together. So all that has arrived during one sync shares the next one. The thread of the log
//! is another one: neither waits for the writes of the other.

use std::{
    io,
    sync::{
        Arc,
        atomic::{self, AtomicUsize},
        mpsc,
    },
    thread,
};

use tokio::sync as tsync;

use crate::{
    process::{
        control::soft::SoftState,
        disk::{self, DepartureFile},
        metrics,
    },
    version::directory::Departure,
};

/// Maximum number of requests that wait for the disk. Further ones fail at once.
const MAX_QUEUED: usize = 4_096;

/// Maximum number of requests that share one sync, after the one that the thread waited for.
const MAX_BATCH: usize = 1_024;

/// What the thread is to do.
enum Request {
    /// Store a departure, and tell whether it is on disk.
    Store { departure: Departure, done: tsync::oneshot::Sender<bool> },
    /// Store departures that nobody waits for.
    StoreLater(Vec<Departure>),
    /// Forget the departures that this state no longer has. It is read when the thread gets there:
    /// a departure gets into the state before it is stored, so none that is stored meanwhile is
    /// taken for a forgotten one.
    ForgetOld(Arc<SoftState>),
}

/// A handle to the thread, which ends when all handles are dropped.
#[derive(Clone, Debug)]
pub(in crate::process::control) struct DepartureStore {
    requests: mpsc::SyncSender<Request>,
    /// Number of departures in the file.
    stored: Arc<AtomicUsize>,
}

impl DepartureStore {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not start it.
    pub(in crate::process::control) fn start(
        file: DepartureFile,
        metrics: Arc<metrics::Replica>,
    ) -> io::Result<Self> {
        let (requests, receiver) = mpsc::sync_channel(MAX_QUEUED);
        let stored = Arc::new(AtomicUsize::new(file.departures().count()));
        let writer = Writer { file, metrics, stored: stored.clone(), failing: false };
        thread::Builder::new().name("departures".into()).spawn(move || writer.run(&receiver))?;
        Ok(Self { requests, stored })
    }

    /// Stores a departure, and returns whether it is on disk. There is no time limit.
    pub(super) async fn store(&self, departure: Departure) -> bool {
        let (done, stored) = tsync::oneshot::channel();
        // If the queue is full, the sender of the result is dropped.
        let _ = self.requests.try_send(Request::Store { departure, done });
        stored.await.unwrap_or(false)
    }

    /// Stores departures that this replica knows and did not have to confirm. They are passed
    /// again if this fails.
    pub(in crate::process::control) fn store_later(&self, departures: &[Departure]) {
        if !departures.is_empty() {
            let _ = self.requests.try_send(Request::StoreLater(departures.to_vec()));
        }
    }

    /// Forgets the departures that are no longer known, if the file holds many of them.
    pub(in crate::process::control) fn forget_old(&self, soft_state: &Arc<SoftState>) {
        let stored = self.stored.load(atomic::Ordering::Relaxed);
        if disk::is_mostly_forgotten(stored, soft_state.departure_count()) {
            // Tried again if the queue is full.
            let _ = self.requests.try_send(Request::ForgetOld(soft_state.clone()));
        }
    }
}

/// State of the thread.
struct Writer {
    file: DepartureFile,
    metrics: Arc<metrics::Replica>,
    stored: Arc<AtomicUsize>,
    /// Whether the latest write failed.
    failing: bool,
}

impl Writer {
    fn run(mut self, requests: &mpsc::Receiver<Request>) {
        while let Ok(first) = requests.recv() {
            let batch = std::iter::once(first).chain(requests.try_iter().take(MAX_BATCH));
            self.handle(batch.collect());
            let count = self.file.departures().count();
            self.stored.store(count, atomic::Ordering::Relaxed);
        }
    }

    fn handle(&mut self, batch: Vec<Request>) {
        let mut departures = Vec::new();
        let mut waiting = Vec::new();
        let mut soft_state = None;
        for request in batch {
            match request {
                Request::Store { departure, done } => {
                    departures.push(departure.clone());
                    waiting.push((departure, done));
                }
                Request::StoreLater(later) => departures.extend(later),
                Request::ForgetOld(state) => soft_state = Some(state),
            }
        }
        departures.retain(|d| DepartureFile::accepts(d) && !self.file.contains(d));
        if !departures.is_empty() {
            let result = self.file.store(&departures);
            self.record(result);
        }
        for (departure, done) in waiting {
            // The caller may have given up.
            let _ = done.send(self.file.contains(&departure));
        }
        if let Some(soft_state) = soft_state {
            let known = soft_state.departures();
            let result = self.file.retain(|departure| known.contains(departure));
            self.record(result);
        }
    }

    /// Counts a write, and logs when writes begin to fail and when they succeed again.
    fn record(&mut self, result: Result<(), disk::Error>) {
        self.metrics.record_departure_write(if result.is_ok() { "synced" } else { "failed" });
        match result {
            Err(error) if !self.failing => {
                spdlog::error!("departures not stored; other replicas must store them", kv: {
                    reason = error.to_string().as_str()
                });
                self.failing = true;
            }
            Ok(()) if self.failing => {
                spdlog::info!("departures are stored again");
                self.failing = false;
            }
            _ => {}
        }
    }
}
