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
const READ_RATE: f64 = 25.0;

/// Added time per request that runs beside it, in ms: a larger batch makes each
/// step slower.
const BESIDE: f64 = 0.25;

/// Time until a place becomes free at a full target, per request that waits, in
/// ms.
const TURN: f64 = 25.0;

/// Added time for a target in another failure domain, in ms. It stands for the
/// cost of bytes between domains more than for the way.
const AWAY: f64 = 2.0;

/// Added time for a target without an idle connection, in ms: a round trip, and
/// the target's work for a new connection.
const CONNECT: f64 = 4.0;

/// Added time for a target that failed lately, in ms: it is chosen only where
/// there is no other.
const SHUNNED: f64 = 10_000.0;

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
    pub unread: u32,
    /// Tokens of this prompt that it has read before, by this gateway's memory.
    pub kept: u32,
    /// Whether it is in another failure domain.
    pub away: bool,
    /// Whether no idle connection to it is open.
    pub unconnected: bool,
    /// Whether it failed lately.
    pub shunned: bool,
}

/// What is known about the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Tokens of its prompt; zero for plain services.
    pub tokens: u32,
    /// Tokens of it that other prompts share.
    pub shared: u32,
    /// Names the shared beginning.
    pub beginning: u64,
}

/// Returns the position of the best candidate and the estimated time until the
/// first output there, in ms; `None` without candidates.
#[must_use]
pub fn pick(ask: &Ask, candidates: &[Candidate]) -> Option<(usize, f64)> {
    let home = home(ask, candidates);
    let estimates = candidates.iter().enumerate().map(|(at, candidate)| {
        let kept = if Some(at) == home { candidate.kept.max(ask.shared) } else { candidate.kept };
        (at, estimate(ask, candidate, kept))
    });
    estimates.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the candidate that every gateway expects the beginning at.
fn home(ask: &Ask, candidates: &[Candidate]) -> Option<usize> {
    if ask.shared == 0 {
        return None;
    }
    let weigh = |candidate: &Candidate| {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        hasher.write_u64(candidate.hash);
        hasher.write_u64(ask.beginning);
        hasher.digest()
    };
    candidates.iter().enumerate().max_by_key(|(_, c)| weigh(c)).map(|(at, _)| at)
}

fn estimate(ask: &Ask, candidate: &Candidate, kept: u32) -> f64 {
    let unread = candidate.unread + ask.tokens.saturating_sub(kept);
    let beyond = (candidate.running + 1).saturating_sub(candidate.slots);
    let mut time = f64::from(unread) / READ_RATE;
    time += f64::from(candidate.running) * BESIDE;
    time += f64::from(beyond) * TURN;
    if candidate.away {
        time += AWAY;
    }
    if candidate.unconnected {
        time += CONNECT;
    }
    if candidate.shunned {
        time += SHUNNED;
    }
    time
}
