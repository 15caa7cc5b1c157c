//! Choice of a target for a request among those of a pool.

use std::{collections, sync, time};

use rand::seq::IndexedRandom as _;

use super::{Request, TargetInfo};

/// Targets drawn at random and compared by load.
const SAMPLED_TARGETS: usize = 3;

/// Number of groups that prefix hashes are divided into. The requests of a group
/// prefer the same target.
const PREFIX_BUCKETS: usize = 256;

/// How much higher the load of the preferred target may be than that of the
/// best sampled one, as a fraction of the width.
const MAX_AFFINITY_SKEW: f64 = 0.25;

/// Load up to which a target gets deferrable requests, as a fraction of the
/// width.
const DEFERRABLE_MAX_LOAD: f64 = 0.6;

/// Requests sent to a target beyond its width, as a fraction of the width. They
/// keep its batch full while responses are on the way.
const OVERCOMMIT: f64 = 0.1;

/// How long a target is not chosen after a failure.
const FAILURE_BACKOFF: time::Duration = time::Duration::from_secs(1);

/// What the gateway knows about one target.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) info: TargetInfo,
    /// Requests of this gateway running there.
    pub(super) local_requests: u32,
    /// Requests of other gateways there, by the latest report.
    pub(super) remote_requests: u32,
    /// The target is not chosen before this time.
    pub(super) backoff_until: time::Duration,
    /// Id of the request that must not share the target with others.
    pub(super) exclusive: Option<u64>,
}

impl TargetState {
    pub(super) fn new(info: TargetInfo) -> Self {
        Self {
            info,
            local_requests: 0,
            remote_requests: 0,
            backoff_until: time::Duration::ZERO,
            exclusive: None,
        }
    }

    /// Records the number of all requests on the target, reported while
    /// `local_requests` of them were from this gateway.
    pub(super) fn record_load(&mut self, total: u32) {
        self.remote_requests = total.saturating_sub(self.local_requests);
    }

    /// Excludes the target for a while after a failure.
    pub(super) fn back_off(&mut self, now: time::Duration) {
        self.backoff_until = now + FAILURE_BACKOFF;
    }

    /// Estimated load as a fraction of the width.
    fn load(&self) -> f64 {
        f64::from(self.local_requests + self.remote_requests) / f64::from(self.info.width.max(1))
    }

    fn accepts(&self, request: &Request, now: time::Duration) -> bool {
        let below_limit = self.local_requests == 0 && self.remote_requests == 0
            || self.load() < max_load(request);
        let exclusivity_allows =
            self.exclusive.is_none() && (!request.exclusive || self.local_requests == 0);
        let holds_adapter = request.adapter.as_ref().is_none_or(|a| self.info.adapters.contains(a));
        below_limit
            && exclusivity_allows
            && holds_adapter
            && now >= self.backoff_until
            && !request.avoid.contains(&self.info.name)
    }
}

/// Returns the load below which a target accepts a request.
fn max_load(request: &Request) -> f64 {
    if request.deferrable { DEFERRABLE_MAX_LOAD } else { 1.0 + OVERCOMMIT }
}

/// The targets of a pool, and the preferred target for each bucket of prefixes.
///
/// The preferred target is found by rendezvous hashing when a bucket is first
/// used, and is then looked up, so the cost of a choice does not grow with the
/// number of targets. When other targets come or go, most buckets keep their
/// target.
#[derive(Debug, Default)]
pub(super) struct PoolTargets {
    names: Vec<sync::Arc<str>>,
    preferred: Vec<Option<usize>>,
}

impl PoolTargets {
    pub(super) fn clear(&mut self) {
        self.names.clear();
        self.preferred.clear();
    }

    pub(super) fn push(&mut self, name: sync::Arc<str>) {
        self.names.push(name);
    }

    pub(super) fn names(&self) -> &[sync::Arc<str>] {
        &self.names
    }

    fn preferred(&mut self, prefix_hash: u64) -> Option<usize> {
        self.preferred.resize(PREFIX_BUCKETS, None);
        let bucket = prefix_hash % PREFIX_BUCKETS as u64;
        let preferred = &mut self.preferred[usize::try_from(bucket).unwrap_or(0)];
        if preferred.is_none() {
            let weight = |index: &usize| rendezvous_weight(bucket, &self.names[*index]);
            *preferred = (0..self.names.len()).max_by_key(weight);
        }
        *preferred
    }
}

/// Chooses a target that accepts a request, or `None` if there is none.
///
/// A few targets are sampled; the others are examined only if none of these
/// accepts the request.
pub(super) fn choose(
    targets: &collections::BTreeMap<sync::Arc<str>, TargetState>,
    pool_targets: &mut PoolTargets,
    request: &Request,
    now: time::Duration,
    rng: &mut rand_chacha::ChaCha8Rng,
) -> Option<sync::Arc<str>> {
    let preferred = request.prefix_hash.and_then(|prefix_hash| pool_targets.preferred(prefix_hash));
    let available = |name: &sync::Arc<str>| targets.get(name).filter(|t| t.accepts(request, now));
    let by_load = |a: &&TargetState, b: &&TargetState| a.load().total_cmp(&b.load());
    let sampled = pool_targets.names.sample(rng, SAMPLED_TARGETS);
    let best = sampled
        .filter_map(available)
        .min_by(by_load)
        .or_else(|| pool_targets.names.iter().filter_map(available).min_by(by_load))?;
    let preferred = preferred.and_then(|index| available(&pool_targets.names[index]));
    let chosen = preferred.filter(|t| t.load() <= best.load() + MAX_AFFINITY_SKEW).unwrap_or(best);
    Some(chosen.info.name.clone())
}

/// Returns the rendezvous weight of a target for a bucket of prefixes.
fn rendezvous_weight(bucket: u64, target: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), bucket)
}
