//! Turns at targets that state a limit of requests: from the leader, or from a schedule of
//! this gateway while no leader answers.

use std::time;

use crate::{
    connection::peer,
    request::{
        gateway::fleet::{Choice, Limited},
        limit::turn::{MAX_RESERVATION, TurnReply, TurnRequest},
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

impl Core {
    async fn request_turn(&self, request: TurnRequest) -> TurnReply {
        if self.local_turns.lock().asks_leader(self.clock.now()) {
            let deadline = time::Instant::now() + REPLY_TIMEOUT;
            let call = peer::Call::RequestTurn(request.clone());
            if let Ok(peer::Reply::Turn(reply)) = self.control.call_leader(&call, deadline).await {
                self.local_turns.lock().record_answer();
                self.metrics.record_turn(match reply {
                    TurnReply::Granted { .. } => "granted",
                    TurnReply::Denied { .. } => "denied",
                });
                return reply;
            }
            self.local_turns.lock().record_silence(self.clock.now());
        }
        self.metrics.record_turn("local");
        let gateways = self.fleet.lock().gateway_counts().known;
        self.local_turns.lock().request(request, gateways, self.clock.now())
    }

    /// Records what a target stated about its limit in a response.
    pub(super) fn record_limit(&self, choice: &Choice, interval: Option<time::Duration>) {
        if self.fleet.lock().record_limit(choice, interval) {
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
            incarnation: choice.incarnation,
            interval: limited.interval,
            max_wait,
        };
        match self.core.request_turn(request).await {
            TurnReply::Granted { wait } if wait.is_zero() => Ok(true),
            TurnReply::Granted { wait } => {
                tokio::time::sleep(wait).await;
                let now = self.core.clock.now();
                Ok(self.core.fleet.lock().still_takes_requests(choice, now))
            }
            TurnReply::Denied { wait } => {
                let next_turn = self.core.clock.now() + wait;
                self.core.fleet.lock().record_turn_denied(&choice.id, next_turn);
                if !limited.has_alternative && next_turn > last_start {
                    return Err(self.no_turn_refusal(&choice.id, wait));
                }
                Ok(false)
            }
        }
    }

    /// Returns the refusal of a request for which no turn at the target is free for `wait`.
    fn no_turn_refusal(&self, target: &str, wait: time::Duration) -> Refusal {
        spdlog::info!("no turn in time at a target that states a limit", kv: {
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
    if limited.has_alternative { time::Duration::ZERO } else { time_left.min(MAX_RESERVATION) }
}
