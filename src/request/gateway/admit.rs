//! Admission control: whether a request is sent to an engine or refused at
//! once.
//!
//! When engines receive more prompts than they can prefill, queues grow until
//! every response is late. A request is therefore admitted only if its first
//! output is expected early enough. Otherwise it is refused at once, with the
//! time after which the prompts queued before it will have been prefilled.
//! Queueing it until its deadline instead would serve no more requests, and all
//! of them late.

use std::time;

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

/// Returns the longest estimated delay of the first output with which a request
/// is admitted.
///
/// `objective` is the delay aimed at, or zero if the route has none;
/// `remaining` is the time until the caller gives up.
#[must_use]
pub fn max_first_output_delay(
    objective: time::Duration,
    remaining: time::Duration,
) -> time::Duration {
    allowed_delay(objective, remaining, ENGINE_QUEUE_SHARE)
}

/// Returns how long a request may wait for a target that can take it. The
/// arguments are those of [`max_first_output_delay`].
#[must_use]
pub fn max_target_wait(objective: time::Duration, remaining: time::Duration) -> time::Duration {
    allowed_delay(objective, remaining, TARGET_WAIT_SHARE)
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
#[must_use]
pub fn retry_after(objective: time::Duration, estimate: time::Duration) -> time::Duration {
    estimate.saturating_sub(objective / 2).max(MIN_RETRY_AFTER)
}
