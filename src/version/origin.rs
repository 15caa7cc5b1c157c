//! Where streams began: the service and the software version of the target that sent their
//! first events.
//!
//! A caller whose connection breaks continues its stream by another request, mostly at
//! another gateway, and names only the request that began it. What targets of two software
//! versions write does not fit together, so that gateway must know the version, also if the
//! first one is gone. Gateways therefore tell a control replica of each resumable stream
//! when they send it to a target, and replicas tell one another.
//!
//! This is soft state. A replica that restarts has none of it; the others have, and
//! gateways repeat what they began. A stream that no replica knows is not continued.
//!
//! Alternatives: a choice of the version by a hash of the request would need no messages,
//! but gateways know different targets at a time. The replicated log would also outlast a
//! restart of all replicas; it costs a synchronization with a disk for each stream.

use std::{collections, sync, time};

use serde::{Deserialize, Serialize};

/// Time between two removals of the streams that have ended.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Most streams kept, about 100 bytes each. Further ones are not recorded.
const MAX_STREAMS: usize = 500_000;

/// Identifies a stream within the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId(u128);

impl StreamId {
    /// Computes the id of the stream that a request began. Gateways of different builds
    /// must agree on the result.
    #[must_use]
    pub fn of(workspace: &str, request: &str) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(workspace.as_bytes());
        hash.update(&[0]);
        hash.update(request.as_bytes());
        Self(hash.digest128())
    }
}

/// Targets that can continue a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the service.
    pub service: String,
    /// Version of the targets' software.
    pub software: String,
}

/// A stream that a gateway has sent to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStream {
    /// The stream.
    pub id: StreamId,
    /// Where it was sent.
    pub origin: Origin,
    /// How long its caller may continue it.
    pub lifetime: time::Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: sync::Arc<Origin>,
    until: time::Duration,
}

/// The streams that a control replica knows.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::version::origin::{BegunStream, Origin, Origins, StreamId};
///
/// let id = StreamId::of("lilies", "r-1");
/// let origin = Origin { service: "adviser".into(), software: "v1.2".into() };
/// let lifetime = Duration::from_secs(5);
/// let mut origins = Origins::default();
/// origins.record(vec![BegunStream { id, origin: origin.clone(), lifetime }], Duration::ZERO);
/// assert_eq!(origins.get(id, Duration::from_secs(4)), Some(&origin));
/// assert_eq!(origins.get(id, Duration::from_secs(6)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Origins {
    streams: collections::HashMap<StreamId, Entry>,
    /// Each origin once, shared by the entries of its streams.
    known: collections::HashSet<sync::Arc<Origin>>,
    next_sweep: time::Duration,
}

impl Origins {
    /// Records streams. The latest record of a stream counts: its request may have been
    /// sent to another target before any event arrived.
    pub fn record(&mut self, begun: Vec<BegunStream>, now: time::Duration) {
        self.sweep(now);
        for BegunStream { id, origin, lifetime } in begun {
            if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&id) {
                continue;
            }
            let entry = Entry { origin: self.share(origin), until: now + lifetime };
            self.streams.insert(id, entry);
        }
    }

    /// Returns where a stream began, if that is known and its lifetime has not passed.
    #[must_use]
    pub fn get(&self, id: StreamId, now: time::Duration) -> Option<&Origin> {
        self.streams.get(&id).filter(|e| now < e.until).map(|e| &*e.origin)
    }

    /// Returns the number of streams kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns true if no stream is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn share(&mut self, origin: Origin) -> sync::Arc<Origin> {
        if let Some(known) = self.known.get(&origin) {
            return known.clone();
        }
        let origin = sync::Arc::new(origin);
        self.known.insert(origin.clone());
        origin
    }

    fn sweep(&mut self, now: time::Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.streams.retain(|_, e| now < e.until);
        self.known.retain(|origin| sync::Arc::strong_count(origin) > 1);
    }
}
