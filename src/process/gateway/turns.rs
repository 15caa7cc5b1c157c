//! Turns at targets that state a limit of requests or are cold: from the leader, or from a
//! schedule of this gateway while no leader answers.

use std::time;

use crate::{
    connection::peer,
    request::{
        gateway::fleet::{Choice, Limited},
        limit::{
            cold,
            turn::{MAX_RESERVATION, TurnReply, TurnRequest},
        },
        refusal::{Ran, Refusal},
    },
};

use super::{
    choosing::FLEET_RECHECK_INTERVAL,
    core::Core,
    job::{Job, MIN_ATTEMPT_TIME, millis},
};

/// How long the leader may take to answer.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Incarnation in requests for turns at cold targets. Gateways that do not know yet that a target
/// has restarted take turns of the same schedule as those that do.
const ANY_INCARNATION: u64 = 0;

impl Core {
    async fn request_turn(&self, request: TurnRequest, is_cold: bool) -> TurnReply {
        if self.local_turns.lock().asks_leader(self.clock.now()) {
            let deadline = time::Instant::now() + REPLY_TIMEOUT;
            let call = peer::Call::RequestTurn(request.clone());
            if let Ok(peer::Reply::Turn(reply)) = self.control.call_leader(&call, deadline).await {
                self.local_turns.lock().record_answer();
                let outcome = match reply {
                    TurnReply::Granted { .. } => "granted",
                    TurnReply::Denied { .. } => "denied",
                };
                self.metrics.record_turn(outcome, is_cold);
                return reply;
            }
            self.local_turns.lock().record_silence(self.clock.now());
        }
        self.metrics.record_turn("local", is_cold);
        let spacing = if is_cold { cold::LOCAL_SPACING } else { 1 };
        let gateways = self.fleet.lock().gateway_counts().known.saturating_mul(spacing);
        self.local_turns.lock().request(request, gateways, self.clock.now())
    }

    /// Records that no turn is free for `wait`, and returns when the next one is.
    fn record_denied(
        &self,
        choice: &Choice,
        limited: Limited,
        wait: time::Duration,
    ) -> time::Duration {
        let now = self.clock.now();
        // A turn of this gateway's own schedule is lost unless it is reserved before its moment.
        let lead =
            if limited.is_cold { max_turn_wait(limited, wait) } else { time::Duration::ZERO };
        let mut fleet = self.fleet.lock();
        fleet.record_turn_denied(&choice.id, now + wait.saturating_sub(lead));
        if limited.is_cold && limited.has_alternative {
            fleet.record_cold_denied(&choice.id, now);
        }
        now + wait
    }

    /// Records what a target stated about its limit in a response.
    pub(super) fn record_limit(&self, choice: &Choice, interval: Option<time::Duration>) {
        let changed = {
            let mut fleet = self.fleet.lock();
            fleet.record_answer(&choice.id, self.clock.now());
            fleet.record_limit(choice, interval)
        };
        if changed {
            spdlog::info!("target changed the limit that it states", kv: {
                target = choice.id.as_str(),
                born = choice.incarnation,
                interval_ms = interval.map_or(0, millis)
            });
        }
    }
}

impl Job {
    /// Waits for a turn at the chosen target if that states a limit. Returns false if the
    /// target must be chosen again.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no turn is free before `wait_deadline`, as soon as that is
    /// known.
    pub(super) async fn take_turn(
        &mut self,
        choice: &Choice,
        wait_deadline: time::Duration,
    ) -> Result<bool, Refusal> {
        let Some(limited) = choice.limited else {
            return Ok(true);
        };
        if limited.needs_check {
            self.core.check_target(&self.service, choice).await;
            return Ok(false);
        }
        let now = self.core.clock.now();
        let last_start = wait_deadline.saturating_sub(MIN_ATTEMPT_TIME);
        if limited.next_turn > now {
            let wait = limited.next_turn.saturating_sub(now);
            if limited.next_turn > last_start {
                return Err(self.no_turn_refusal(&choice.id, wait));
            }
            // Another target may come up meanwhile.
            tokio::time::sleep(wait.min(FLEET_RECHECK_INTERVAL)).await;
            return Ok(false);
        }
        let max_wait = max_turn_wait(limited, last_start.saturating_sub(now));
        let request = TurnRequest {
            target: choice.id.clone(),
            incarnation: if limited.is_cold { ANY_INCARNATION } else { choice.incarnation },
            interval: limited.interval,
            max_wait,
        };
        match self.core.request_turn(request, limited.is_cold).await {
            TurnReply::Granted { wait } if wait.is_zero() => Ok(true),
            TurnReply::Granted { wait } => {
                tokio::time::sleep(wait).await;
                let now = self.core.clock.now();
                Ok(self.core.fleet.lock().still_takes_requests(choice, now))
            }
            TurnReply::Denied { wait } => {
                let next_turn = self.core.record_denied(choice, limited, wait);
                if !limited.has_alternative && next_turn > last_start {
                    return Err(self.no_turn_refusal(&choice.id, wait));
                }
                Ok(false)
            }
        }
    }

    /// Returns the refusal of a request for which no turn at the target is free for `wait`.
    fn no_turn_refusal(&self, target: &str, wait: time::Duration) -> Refusal {
        spdlog::info!("no turn in time at a target that states a limit or is cold", kv: {
            request = self.request.id.as_str(),
            target = target,
            wait_ms = millis(wait)
        });
        match self.attempts.ran() {
            Ran::No => Refusal::Overloaded { retry_after: wait },
            ran => Refusal::Timeout { ran },
        }
    }
}

/// Returns how long a request waits for its turn at most. It goes to another target at once
/// if there is one.
fn max_turn_wait(limited: Limited, time_left: time::Duration) -> time::Duration {
    let max_reservation = if limited.is_cold { cold::MAX_RESERVATION } else { MAX_RESERVATION };
    if limited.has_alternative { time::Duration::ZERO } else { time_left.min(max_reservation) }
}
