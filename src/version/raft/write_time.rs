//! How long durable writes take.
//!
//! A replica handles and sends nothing while it writes. On slow disks the first message
//! of a new leader arrives only after several writes. If voters campaigned before, no
//! leader would last.

use std::time;

/// Writes in sequence between the campaign of a replica and its first message as leader,
/// with one more under way on any of the replicas.
const WRITES_PER_ELECTION: u32 = 4;

/// Maximum of the prolonged timeout, in election timeouts.
const MAX_PROLONGATION: u32 = 6;

/// Recent time of a durable write. Slow writes count from the second in a row on, faster ones
/// gradually: a single one that hung tells nothing about the next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteTime {
    recent: time::Duration,
    last: time::Duration,
}

impl WriteTime {
    /// Records that a write took this long.
    pub(super) fn record(&mut self, took: time::Duration) {
        self.recent = took.min(self.last).max(self.recent / 2);
        self.last = took;
    }

    /// Returns `timeout`, prolonged to the time of the writes of an election.
    pub(super) fn prolong(self, timeout: time::Duration) -> time::Duration {
        let writes = self.recent.saturating_mul(WRITES_PER_ELECTION);
        timeout.max(writes.min(timeout * MAX_PROLONGATION))
    }
}
