//! The choice of a target.
//!
//! Every candidate gets an estimate, in milliseconds, of the time until the
//! request's first output there, and the lowest one is taken. The load it
//! answers is that of engines whose bottleneck is reading prompts: what waits
//! to be read goes before the request, and what the engine has read before
//! costs nothing.
//!
//! Many gateways choose at the same time on reports that lag. All of them
//! expect the beginnings of prompts at the same target, the *home* of the
//! prompt, so that they agree without talking; load moves a request away from
//! its home as soon as that is worth more than the saved reading.

use std::hash::Hasher as _;

/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 25.0;

/// Added time per request that runs beside it, in ms: a larger batch makes each
/// step slower.
const DELAY_PER_RUNNING_MS: f64 = 0.25;

/// Time until a place becomes free at a full target, per request that waits, in
/// ms.
const DELAY_PER_WAITING_MS: f64 = 25.0;

/// Added time for a target in another failure domain, in ms. It stands for the
/// cost of bytes between domains more than for the way.
const OTHER_DOMAIN_DELAY_MS: f64 = 2.0;

/// Added time for a target without an idle connection, in ms: a round trip, and
/// the target's work for a new connection.
const CONNECT_DELAY_MS: f64 = 4.0;

/// Added time for a target that failed lately, in ms: it is chosen only where
/// there is no other.
const BACKOFF_PENALTY_MS: f64 = 10_000.0;

/// What is known about one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// A number for the target that is the same at every gateway.
    pub hash: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests there.
    pub running: u32,
    /// Prompt tokens there that are not yet read.
    pub pending_prefill: u32,
    /// Tokens of this prompt that it has read before, by this gateway's memory.
    pub cached_tokens: u32,
    /// Whether it is in another failure domain.
    pub other_domain: bool,
    /// Whether no idle connection to it is open.
    pub needs_connection: bool,
    /// Whether it failed lately.
    pub in_backoff: bool,
}

/// What is known about the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Tokens of its prompt; zero for plain services.
    pub tokens: u32,
    /// Tokens of it that other prompts share.
    pub shared_tokens: u32,
    /// Names the shared beginning.
    pub shared_prefix: u64,
}

/// Returns the position of the best candidate and the estimated time until the
/// first output there, in ms; `None` without candidates.
#[must_use]
pub fn pick(profile: &RequestProfile, candidates: &[Candidate]) -> Option<(usize, f64)> {
    let preferred = preferred(profile, candidates);
    let estimates = candidates.iter().enumerate().map(|(index, candidate)| {
        let cached_tokens = if Some(index) == preferred {
            candidate.cached_tokens.max(profile.shared_tokens)
        } else {
            candidate.cached_tokens
        };
        (index, estimate(profile, candidate, cached_tokens))
    });
    estimates.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the candidate that every gateway expects the beginning at.
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
    let pending_prefill = candidate.pending_prefill + profile.tokens.saturating_sub(cached_tokens);
    let waiting = (candidate.running + 1).saturating_sub(candidate.slots);
    let mut delay = f64::from(pending_prefill) / PREFILL_TOKENS_PER_MS;
    delay += f64::from(candidate.running) * DELAY_PER_RUNNING_MS;
    delay += f64::from(waiting) * DELAY_PER_WAITING_MS;
    if candidate.other_domain {
        delay += OTHER_DOMAIN_DELAY_MS;
    }
    if candidate.needs_connection {
        delay += CONNECT_DELAY_MS;
    }
    if candidate.in_backoff {
        delay += BACKOFF_PENALTY_MS;
    }
    delay
}
