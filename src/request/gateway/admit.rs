//! Admission control: whether a request is sent to an engine or refused at
//! once.
//!
//! When engines receive more prompts than they can prefill, queues grow until
//! every response is late. A new request is therefore admitted only if its first
//! output is expected early enough. Otherwise it is refused at once, with the
//! time after which the prompts queued before it will have been prefilled.
//! Queueing it until its deadline instead would serve no more requests, and all
//! of them late.
//!
//! A request that continues a stream is different: its caller has paid for the
//! first events and loses them if it is refused. After gateways have restarted,
//! the callers of all their streams come back within a fraction of a second,
//! together with new requests, and may find only a few targets of the version
//! that began the stream. Such a request is admitted unless its own prompt can't
//! be processed before its caller leaves, and engines process it before the new
//! requests of the same priority. Callers have no more of these requests at a time
//! than streams that broke off, which the engines could run before.
//!
//! Alternatives: *the same rule for both* refuses more of the streams than of the
//! new requests, since a caller that has waited through the restart has less time
//! left. *Room kept free at each target* would stay unused except in the second
//! after a restart.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use hornbeamdock::request::{
//!     gateway::admit::{Arrival, decide},
//!     stage::Stage,
//! };
//!
//! let new = Arrival {
//!     stage: Stage::New,
//!     objective: Duration::from_millis(600),
//!     remaining: Duration::from_secs(3),
//!     estimate: Duration::from_millis(1_500),
//!     own_prefill: Duration::from_millis(80),
//! };
//! assert!(decide(&new).is_err());
//! assert!(decide(&Arrival { stage: Stage::Begun, ..new }).is_ok());
//! ```

use std::time;

use crate::request::stage::Stage;

/// Share of the time between objective and deadline that a request may spend in
/// an engine's queue. The rest is left for the output and for estimates that
/// are too low; longer queues delay other requests as well.
const ENGINE_QUEUE_SHARE: f64 = 0.1;

/// The same share for a request that waits for a target. It can be larger
/// because such a request is in no engine's queue and delays no other.
const TARGET_WAIT_SHARE: f64 = 0.5;

/// Upper bound of the time allowed beyond the objective, in multiples of the
/// objective. Callers with late deadlines leave well before them.
const MAX_EXTRA_OBJECTIVES: u32 = 2;

/// Lower bound of the time that a refused caller is told to wait.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// What decides whether a request is sent to the target that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Whether it continues a stream.
    pub stage: Stage,
    /// Delay of the first output that is aimed at, or zero if the route has none.
    pub objective: time::Duration,
    /// Time until the caller gives up.
    pub remaining: time::Duration,
    /// Estimated delay of the first output behind the requests that are at the target.
    pub estimate: time::Duration,
    /// Time that the target takes for this prompt alone.
    pub own_prefill: time::Duration,
}

/// The first output of a request is expected too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Late {
    /// Longest estimate with which it would be admitted.
    pub max_delay: time::Duration,
    /// How long the caller should wait before it sends the request again.
    pub retry_after: time::Duration,
}

/// Decides whether a request is admitted.
///
/// # Errors
///
/// Returns [`Late`] if it must be refused.
pub fn decide(arrival: &Arrival) -> Result<(), Late> {
    let Arrival { stage, objective, remaining, estimate, own_prefill } = *arrival;
    let (delay, max_delay) = match stage {
        Stage::New => (estimate, allowed_delay(objective, remaining, ENGINE_QUEUE_SHARE)),
        Stage::Begun => (own_prefill, remaining),
    };
    if delay <= max_delay {
        return Ok(());
    }
    Err(Late { max_delay, retry_after: retry_after(objective, estimate) })
}

/// Decides about a stream of which the whole response is expected to take `least_duration` even
/// at an idle target: it is refused at once if its caller leaves before the end. One that goes
/// on is not, as its caller has a part of it.
///
/// # Errors
///
/// Returns [`Late`] if it must be refused.
pub fn decide_end(
    stage: Stage,
    remaining: time::Duration,
    least_duration: Option<time::Duration>,
) -> Result<(), Late> {
    match (stage, least_duration) {
        (Stage::New, Some(least)) if least > remaining => {
            Err(Late { max_delay: remaining, retry_after: MIN_RETRY_AFTER })
        }
        _ => Ok(()),
    }
}

/// Returns how long a request may wait for a target that can take it. The
/// arguments are those of an [`Arrival`].
///
/// A request that continues a stream may wait longer, as its model may have to be loaded at a
/// target of the version that began it.
#[must_use]
pub fn max_target_wait(
    stage: Stage,
    objective: time::Duration,
    remaining: time::Duration,
) -> time::Duration {
    match stage {
        Stage::New => allowed_delay(objective, remaining, TARGET_WAIT_SHARE),
        Stage::Begun => {
            let objective = objective.min(remaining);
            objective + (remaining.saturating_sub(objective)).mul_f64(TARGET_WAIT_SHARE)
        }
    }
}

fn allowed_delay(
    objective: time::Duration,
    remaining: time::Duration,
    share: f64,
) -> time::Duration {
    if objective.is_zero() {
        return remaining;
    }
    let extra = remaining.saturating_sub(objective).mul_f64(share);
    objective.min(remaining) + extra.min(objective * MAX_EXTRA_OBJECTIVES)
}

/// Returns how long a refused caller should wait, if its first output is
/// estimated to take `estimate`: until the estimate has fallen to half of the
/// objective.
fn retry_after(objective: time::Duration, estimate: time::Duration) -> time::Duration {
    estimate.saturating_sub(objective / 2).max(MIN_RETRY_AFTER)
}
