//! The retry budget of a process: a token bucket that bounds the load added by
//! retries.
//!
//! Retries help when single targets fail and hurt when all are overloaded. Each
//! attempt earns a fraction of a retry, so that retries stay a bounded share of
//! the load when most targets fail. A slow refill by time lets a process with
//! little traffic retry, too.

use std::time;

/// Earned by each attempt, in thousandths of a retry.
const EARNED_PER_ATTEMPT: u64 = 200;

/// Earned per second whatever the traffic, in thousandths of a retry.
const EARNED_PER_SECOND: u64 = 1_000;

/// Largest balance, in thousandths of a retry.
const MAX_BALANCE: u64 = 20_000;

/// Cost of a retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// Upper bound of the attempts of one request, the first included.
pub const MAX_ATTEMPTS: usize = 4;

/// A token bucket for retries.
#[derive(Debug)]
pub struct Budget {
    /// In thousandths of a retry.
    balance: u64,
    refilled: time::Duration,
}

impl Budget {
    /// Creates a budget with the largest balance.
    #[must_use]
    pub fn new(now: time::Duration) -> Self {
        Self { balance: MAX_BALANCE, refilled: now }
    }

    /// Credits an attempt that is about to be sent, the first of a request or a
    /// retry.
    pub fn record_attempt(&mut self) {
        self.balance = (self.balance + EARNED_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false if the balance is too
    /// low.
    pub fn take(&mut self, now: time::Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled).as_millis();
        self.refilled = now;
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let earned = elapsed.saturating_mul(EARNED_PER_SECOND) / 1_000;
        self.balance = self.balance.saturating_add(earned).min(MAX_BALANCE);
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}
