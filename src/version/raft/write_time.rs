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

/// Recent time of a durable write. Slow writes count at once, faster ones gradually.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteTime(time::Duration);

impl WriteTime {
    /// Records that a write took this long.
    pub(super) fn record(&mut self, took: time::Duration) {
        self.0 = took.max(self.0 / 2);
    }

    /// Returns `timeout`, prolonged to the time of the writes of an election.
    pub(super) fn prolong(self, timeout: time::Duration) -> time::Duration {
        let writes = self.0.saturating_mul(WRITES_PER_ELECTION);
        timeout.max(writes.min(timeout * MAX_PROLONGATION))
    }
}
