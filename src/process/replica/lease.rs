//! Log of the times in which this replica leads without a lease.
//!
//! Such a leader confirms no reads and grants nothing, although its role does not change. It
//! happens when heartbeats or their replies are late.

use std::time;

/// Shortest time without a lease that is logged. An election takes less.
const MIN_LOGGED: time::Duration = time::Duration::from_millis(200);

/// Since when this replica leads without a lease.
#[derive(Debug, Default)]
pub(super) struct LeaseLog {
    without_since: Option<time::Duration>,
    logged: bool,
}

impl LeaseLog {
    /// Records whether this replica leads and holds the lease at `now`. To be called many
    /// times a second.
    pub(super) fn record(&mut self, leads: bool, has_lease: bool, now: time::Duration) {
        if leads && !has_lease {
            self.record_missing(now);
            return;
        }
        let since = self.without_since.take();
        if let Some(since) = since.filter(|_| self.logged) {
            self.logged = false;
            spdlog::info!("leader without a lease: ended", kv: {
                leads = leads,
                lasted_ms = millis(now.saturating_sub(since))
            });
        }
    }

    fn record_missing(&mut self, now: time::Duration) {
        let since = *self.without_since.get_or_insert(now);
        if !self.logged && now >= since + MIN_LOGGED {
            self.logged = true;
            spdlog::warn!("leader without a lease: no quorum has replied in time", kv: {
                for_ms = millis(now.saturating_sub(since))
            });
        }
    }
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
