//! The choice of a target among those of a pool.

use std::{collections, sync, time};

use rand::seq::IndexedRandom as _;

use super::{Request, TargetInfo};

/// Candidates compared at random.
const SAMPLED_TARGETS: usize = 3;

/// Groups of prefixes that prefer the same target.
const PREFIX_BUCKETS: usize = 256;

/// Load, as a share of the width, by which affinity may exceed the best.
const MAX_AFFINITY_SKEW: f64 = 0.25;

/// Share of the width up to which deferrable requests use a target.
const DEFERRABLE_MAX_LOAD: f64 = 0.6;

/// Requests beyond the width that a target is given, as a share of the width.
/// They keep its batch full while answers travel.
const OVERCOMMIT: f64 = 0.1;

/// How long a target that failed is not chosen.
const FAILURE_BACKOFF: time::Duration = time::Duration::from_secs(1);

/// What the entry knows of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) info: TargetInfo,
    /// Requests that this entry has there.
    pub(super) local_requests: u32,
    /// Requests of other entries there, from the latest report.
    pub(super) remote_requests: u32,
    /// Not to be chosen before this.
    pub(super) backoff_until: time::Duration,
    /// Request that has the target to itself.
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

    /// Takes in a report of all requests there, made while this entry had `own`
    /// of them there.
    pub(super) fn record_load(&mut self, total: u32) {
        self.remote_requests = total.saturating_sub(self.local_requests);
    }

    /// Leaves a target alone for a while after a failure.
    pub(super) fn back_off(&mut self, now: time::Duration) {
        self.backoff_until = now + FAILURE_BACKOFF;
    }

    /// Estimated load as a share of the width.
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

/// Returns the load up to which a request may go to a target.
fn max_load(request: &Request) -> f64 {
    if request.deferrable { DEFERRABLE_MAX_LOAD } else { 1.0 + OVERCOMMIT }
}

/// The targets of a pool, and which of them each prefix prefers.
///
/// Prefixes fall into [`BUCKETS`]. The preferred target of a bucket is found by
/// rendezvous hashing when it is first asked for, so a choice does not cost more
/// with more targets, and a bucket keeps its target when others come and go.
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

/// Chooses a target with room for a request, or `None` if there is none.
///
/// A few targets are compared at random; only if none of them has room are all
/// looked at.
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

/// Weight of a target for a bucket of prefixes.
fn rendezvous_weight(bucket: u64, target: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), bucket)
}
