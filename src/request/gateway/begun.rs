//! The resumable streams that a gateway has sent to targets, as it tells control replicas.
//!
//! Streams are reported in batches: the next one is sent when the one before is answered,
//! so that many streams cost few calls. Those that are still alive are reported again when
//! the gateway goes to a replica that may not know them, as after a restart of all replicas.

use std::{collections, time};

use crate::version::origin::{BegunStream, Origin, StreamId};

/// Most streams in one batch.
const MAX_BATCH: usize = 256;

/// Most streams kept to be reported again. Beyond it the oldest is dropped.
const MAX_STREAMS: usize = 4_096;

#[derive(Clone, Debug)]
struct Stream {
    /// Counts the streams of this gateway, from 1.
    number: u64,
    id: StreamId,
    origin: Origin,
    until: time::Duration,
}

/// Streams to report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The streams, in the order in which they were sent to targets.
    pub streams: Vec<BegunStream>,
    /// Number of the last of them.
    last: u64,
}

/// Streams of one gateway, oldest first.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::{
///     request::gateway::begun::BegunStreams,
///     version::origin::{Origin, StreamId},
/// };
///
/// let origin = Origin { service: "adviser".into(), software: "v1.2".into() };
/// let mut begun = BegunStreams::default();
/// begun.record(StreamId::of("lilies", "r-1"), origin, Duration::from_secs(5));
/// let batch = begun.next_batch(Duration::ZERO);
/// assert_eq!(batch.streams.len(), 1);
/// begun.record_reported(&batch);
/// assert!(begun.next_batch(Duration::ZERO).streams.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct BegunStreams {
    streams: collections::VecDeque<Stream>,
    /// Number of the latest stream.
    last: u64,
    /// Number of the latest stream that is reported.
    reported: u64,
    /// Run of the control replica that this gateway synchronizes with.
    replica_run: Option<u64>,
}

impl BegunStreams {
    /// Records that a stream is sent to a target. Its caller may continue it until `until`.
    /// Returns the number of the record.
    pub fn record(&mut self, id: StreamId, origin: Origin, until: time::Duration) -> u64 {
        if self.streams.len() == MAX_STREAMS {
            self.streams.pop_front();
        }
        self.last += 1;
        self.streams.push_back(Stream { number: self.last, id, origin, until });
        self.last
    }

    /// Returns true if the record with this number is reported.
    #[must_use]
    pub fn is_reported(&self, number: u64) -> bool {
        number <= self.reported
    }

    /// Has all streams reported again if `run` is another run of a control replica than
    /// the one before, and then returns true.
    pub fn set_replica_run(&mut self, run: u64) -> bool {
        let changed = self.replica_run.replace(run).is_some_and(|before| before != run);
        if changed {
            self.reported = 0;
        }
        changed
    }

    /// Returns the next streams to report; none if all are reported.
    pub fn next_batch(&mut self, now: time::Duration) -> Batch {
        while self.streams.front().is_some_and(|s| now >= s.until) {
            self.streams.pop_front();
        }
        let first = self.streams.partition_point(|s| s.number <= self.reported);
        let due: Vec<_> = self.streams.range(first..).take(MAX_BATCH).collect();
        let begun = due.iter().map(|s| BegunStream {
            id: s.id,
            origin: s.origin.clone(),
            lifetime: s.until.saturating_sub(now),
        });
        Batch { streams: begun.collect(), last: due.last().map_or(self.reported, |s| s.number) }
    }

    /// Records that a control replica knows the streams of a batch.
    pub fn record_reported(&mut self, batch: &Batch) {
        self.reported = batch.last;
    }
}
