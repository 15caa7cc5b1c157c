//! Choice of a target by the estimated delay of the first output.
//!
//! The target with the lowest estimate is chosen. The estimate assumes that
//! engines are limited by prefill: a request waits for the prefill of the
//! prompts sent before it, and the part of its own prompt that the engine has
//! cached costs nothing.
//!
//! Many gateways choose at the same time, and each knows the load caused by the
//! others only from delayed reports. So that they agree without communication,
//! all of them expect a shared prefix to be cached at the same target, which is
//! found by rendezvous hashing. A request goes to another target as soon as the
//! shorter queue there saves more time than the cached prefix.

use std::{hash::Hasher as _, time};

/// Prefill throughput of an engine.
const PREFILL_TOKENS_PER_MS: f64 = 25.0;

/// Added for each request in progress at the target: a larger batch makes each
/// decoding step slower.
const DELAY_PER_RUNNING_MS: f64 = 0.25;

/// Time until a slot of a full target becomes free, for each request beyond its
/// slots.
const DELAY_PER_WAITING_MS: f64 = 25.0;

/// Added for a target in another failure domain. It accounts for the cost of
/// traffic between domains more than for latency.
const OTHER_DOMAIN_DELAY_MS: f64 = 2.0;

/// Added for a target without an idle connection: a round trip, and the
/// target's work for a new connection.
const CONNECT_DELAY_MS: f64 = 4.0;

/// Added for a target in backoff, so that it is chosen only if there is no
/// other.
const BACKOFF_PENALTY_MS: f64 = 10_000.0;

/// What is known about one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Hash of the target's id, the same at every gateway.
    pub hash: u64,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Requests sent to it by all gateways and not yet finished.
    pub running: u32,
    /// Prompt tokens sent to it that are not yet processed.
    pub pending_prefill: u32,
    /// Leading tokens of this prompt that it is expected to have cached.
    pub cached_tokens: u32,
    /// Whether it is in another failure domain than this gateway.
    pub other_domain: bool,
    /// Whether this gateway has no idle connection to it.
    pub needs_connection: bool,
    /// Whether it is in backoff after recent failures.
    pub in_backoff: bool,
}

/// What is known about the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Length of its prompt; zero for plain services.
    pub tokens: u32,
    /// Tokens of the prefix that other prompts may share.
    pub shared_tokens: u32,
    /// Hash of that prefix.
    pub shared_prefix: u64,
}

/// Returns the time that an engine takes to process `tokens` of a prompt.
#[must_use]
pub fn prefill_time(tokens: u32) -> time::Duration {
    time::Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1_000.0)
}

/// Returns the index of the best candidate and its estimated delay of the first
/// output in milliseconds, or `None` without candidates.
#[must_use]
pub fn pick(profile: &RequestProfile, candidates: &[Candidate]) -> Option<(usize, f64)> {
    estimates(profile, candidates).min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the indices and estimated delays of the `count` best candidates, the best first.
#[must_use]
pub fn rank(profile: &RequestProfile, candidates: &[Candidate], count: usize) -> Vec<(usize, f64)> {
    if count == 1 {
        return pick(profile, candidates).into_iter().collect();
    }
    let mut ranked: Vec<_> = estimates(profile, candidates).collect();
    ranked.sort_by(|a, b| a.1.total_cmp(&b.1));
    ranked.truncate(count);
    ranked
}

/// Returns the index and the estimated delay of each candidate.
fn estimates(
    profile: &RequestProfile,
    candidates: &[Candidate],
) -> impl Iterator<Item = (usize, f64)> {
    let preferred = preferred(profile, candidates);
    candidates.iter().enumerate().map(move |(index, candidate)| {
        let cached_tokens = if Some(index) == preferred {
            candidate.cached_tokens.max(profile.shared_tokens)
        } else {
            candidate.cached_tokens
        };
        (index, estimate(profile, candidate, cached_tokens))
    })
}

/// Returns the index of the candidate that all gateways expect to have the
/// shared prefix cached.
fn preferred(profile: &RequestProfile, candidates: &[Candidate]) -> Option<usize> {
    if profile.shared_tokens == 0 {
        return None;
    }
    let weight = |candidate: &Candidate| {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        hasher.write_u64(candidate.hash);
        hasher.write_u64(profile.shared_prefix);
        hasher.digest()
    };
    candidates.iter().enumerate().max_by_key(|(_, c)| weight(c)).map(|(index, _)| index)
}

fn estimate(profile: &RequestProfile, candidate: &Candidate, cached_tokens: u32) -> f64 {
    let own_prefill = f64::from(profile.tokens.saturating_sub(cached_tokens));
    let waiting = candidate.running.saturating_add(1).saturating_sub(candidate.slots);
    let mut delay = (f64::from(candidate.pending_prefill) + own_prefill) / PREFILL_TOKENS_PER_MS;
    delay += f64::from(candidate.running) * DELAY_PER_RUNNING_MS;
    delay += f64::from(waiting) * DELAY_PER_WAITING_MS;
    delay + base_delay(candidate)
}

/// Returns the part of the delay of the first output that does not depend on the requests at a
/// candidate, in milliseconds.
#[must_use]
pub fn base_delay(candidate: &Candidate) -> f64 {
    let parts = [
        (candidate.other_domain, OTHER_DOMAIN_DELAY_MS),
        (candidate.needs_connection, CONNECT_DELAY_MS),
        (candidate.in_backoff, BACKOFF_PENALTY_MS),
    ];
    parts.iter().filter(|(applies, _)| *applies).map(|(_, delay)| delay).sum()
}
