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

use std::time;

use super::pace;

/// Added for a target in another failure domain. It accounts for the cost of
/// traffic between domains more than for latency.
const OTHER_DOMAIN_DELAY_MS: f64 = 2.0;

/// Added for a target without an idle connection: a round trip, and the
/// target's work for a new connection.
const CONNECT_DELAY_MS: f64 = 4.0;

/// Added for a target in backoff, so that it is chosen only if there is no
/// other.
const BACKOFF_PENALTY_MS: f64 = 10_000.0;

/// Estimates this much above the lowest one are near enough to choose among at random, as part
/// of it.
const TIE_SHARE: f64 = 0.1;

/// The same, at least.
const TIE_MS: f64 = 3.0;

/// Least number of targets that are compared for a request. Many gateways that see the same idle
/// target in reports up to half a second old would fill it if each of them compared all.
const MIN_COMPARED: usize = 3;

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
    /// How fast it is.
    pub pace: pace::Pace,
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

/// What is expected of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Number of events, if it is known.
    pub events: Option<f64>,
    /// Time until the caller gives up, in ms.
    pub remaining_ms: f64,
    /// Random number, by which targets are drawn.
    pub draw: u64,
    /// Gateways that send requests at the same time.
    pub gateways: u32,
}

/// Returns the time that an engine of nominal speed takes to process `tokens` of a prompt.
#[must_use]
pub fn prefill_time(tokens: u32) -> time::Duration {
    let ms = f64::from(tokens) / pace::Pace::default().prefill_rate;
    time::Duration::from_secs_f64(ms / 1_000.0)
}

/// Returns the index of the best candidate and its estimated delay of the first
/// output in milliseconds, or `None` without candidates.
#[must_use]
pub fn pick(profile: &RequestProfile, candidates: &[Candidate]) -> Option<(usize, f64)> {
    let estimates = estimates(profile, preferred(profile, candidates), candidates);
    estimates.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the indices and estimated delays of the `count` best candidates, the best first. Once
/// the speeds of the targets are learned, those at which the response would end too late rank
/// behind others, and nearly equal ones are in random order. For a single one, the more gateways
/// there are the fewer targets are compared.
#[must_use]
pub fn rank(
    profile: &RequestProfile,
    outlook: &Outlook,
    candidates: &[Candidate],
    count: usize,
) -> Vec<(usize, f64)> {
    if candidates.iter().any(|c| c.pace.learned) {
        return rank_learned(profile, outlook, candidates, count);
    }
    if count == 1 {
        return pick(profile, candidates).into_iter().collect();
    }
    let estimates = estimates(profile, preferred(profile, candidates), candidates);
    let mut ranked: Vec<_> = estimates.collect();
    ranked.sort_by(|a, b| a.1.total_cmp(&b.1));
    ranked.truncate(count);
    ranked
}

fn rank_learned(
    profile: &RequestProfile,
    outlook: &Outlook,
    candidates: &[Candidate],
    count: usize,
) -> Vec<(usize, f64)> {
    let preferred = preferred(profile, candidates);
    let bound = draw_bound(outlook, candidates);
    let is_compared = |index: usize| {
        let candidate = &candidates[index];
        Some(index) == preferred
            || candidate.cached_tokens > 0
            || draw(outlook, index, candidate).is_some_and(|drawn| drawn <= bound)
    };
    let none_drawn = !(0..candidates.len()).any(|i| draw(outlook, i, &candidates[i]).is_some());
    let estimates = estimates(profile, preferred, candidates);
    let mut ranked: Vec<_> = estimates
        .filter(|(index, _)| count > 1 || none_drawn || is_compared(*index))
        .map(|(index, estimate)| {
            (estimate + excess(outlook, &candidates[index], estimate), index, estimate)
        })
        .collect();
    let least = ranked.iter().map(|(cost, ..)| *cost).fold(f64::INFINITY, f64::min);
    let tie = least + (least * TIE_SHARE).max(TIE_MS);
    // Nearly equal ones come first, in random order.
    for (cost, index, _) in &mut ranked {
        if *cost <= tie {
            *cost = -unit(scramble(outlook.draw, *index));
        }
    }
    if count == 1 {
        let best = ranked.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        return best.map(|(_, index, estimate)| (*index, *estimate)).into_iter().collect();
    }
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, index, estimate)| (index, estimate)).collect()
}

/// Returns the highest draw of the candidates that are compared.
fn draw_bound(outlook: &Outlook, candidates: &[Candidate]) -> u64 {
    let per_gateway = candidates.len() / usize::try_from(outlook.gateways.max(1)).unwrap_or(1);
    let compared = per_gateway.max(MIN_COMPARED);
    let drawn = candidates.iter().enumerate();
    let mut drawn: Vec<_> = drawn.filter_map(|(index, c)| draw(outlook, index, c)).collect();
    if drawn.len() <= compared {
        return u64::MAX;
    }
    *drawn.select_nth_unstable(compared - 1).1
}

/// Returns a random number for a candidate; `None` for one in backoff or without a free slot.
fn draw(outlook: &Outlook, index: usize, candidate: &Candidate) -> Option<u64> {
    let takes_more = !candidate.in_backoff && candidate.running < candidate.slots;
    takes_more.then(|| scramble(outlook.draw, index))
}

/// Returns by how many ms the response is expected to end too late.
fn excess(outlook: &Outlook, candidate: &Candidate, estimate: f64) -> f64 {
    let Some(events) = outlook.events else {
        return 0.0;
    };
    let end = candidate.pace.duration(estimate, events, candidate.running);
    (end - outlook.remaining_ms).max(0.0)
}

/// Returns a number that is random in `draw` and differs between indices.
fn scramble(draw: u64, index: usize) -> u64 {
    let mixed = (draw ^ index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Returns a number in 0 to 1 in the order of `number`.
#[expect(clippy::cast_precision_loss, reason = "only the order of magnitude matters")]
fn unit(number: u64) -> f64 {
    number as f64 / u64::MAX as f64
}

/// Returns the index and the estimated delay of each candidate.
fn estimates(
    profile: &RequestProfile,
    preferred: Option<usize>,
    candidates: &[Candidate],
) -> impl Iterator<Item = (usize, f64)> {
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
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&candidate.hash.to_ne_bytes());
        bytes[8..].copy_from_slice(&profile.shared_prefix.to_ne_bytes());
        xxhash_rust::xxh3::xxh3_64(&bytes)
    };
    candidates.iter().enumerate().max_by_key(|(_, c)| weight(c)).map(|(index, _)| index)
}

fn estimate(profile: &RequestProfile, candidate: &Candidate, cached_tokens: u32) -> f64 {
    let own_prefill = f64::from(profile.tokens.saturating_sub(cached_tokens));
    let tokens = f64::from(candidate.pending_prefill) + own_prefill;
    candidate.pace.first_event(tokens, candidate.running, candidate.slots) + base_delay(candidate)
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
