//! Whether a request is taken at all.
//!
//! It answers the load of engines that get more prompts than they can read. All
//! that they take then waits longer and longer, until nothing is in time. A
//! request is therefore taken only if its first output can be expected early
//! enough, and is refused at once otherwise, with the time after which the
//! engines will have read what is before it. The alternative, to keep it until
//! its deadline, serves no more requests and all of them late.

use std::time;

/// Part of the time between the objective and the deadline that a request may
/// spend in an engine's queue. The rest is for the output itself, and for
/// estimates that are too low; what waits longer makes others late as well.
const ENGINE_QUEUE_SHARE: f64 = 0.1;

/// The same for a request that waits for a target, which makes nobody late.
const TARGET_WAIT_SHARE: f64 = 0.5;

/// Most of that time, in objectives: callers leave well before a late deadline.
const MAX_EXTRA_OBJECTIVES: u32 = 2;

/// Least time to tell a refused caller to stay away.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// Returns the longest time to the first output for which a request is taken.
/// `objective` is when it should come, zero if nothing is said of that; `left` is
/// when the caller gives up.
#[must_use]
pub fn max_first_output_delay(
    objective: time::Duration,
    remaining: time::Duration,
) -> time::Duration {
    allowed_delay(objective, remaining, ENGINE_QUEUE_SHARE)
}

/// Returns how long a request waits for a target that can take it.
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

/// Returns when to come back if the first output would take the time `estimate`:
/// when a request would be answered within its objective.
#[must_use]
pub fn retry_after(objective: time::Duration, estimate: time::Duration) -> time::Duration {
    estimate.saturating_sub(objective / 2).max(MIN_RETRY_AFTER)
}
