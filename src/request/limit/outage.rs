//! Whether a gateway asks the leader, or decides by itself for a while.

use std::time;

/// How long a gateway does not ask the leader after that left a request unanswered.
pub const SILENT_TIME: time::Duration = time::Duration::from_secs(1);

/// Whether the leader left a request unanswered lately. Each request that waits for it in
/// vain loses time, so only one in [`SILENT_TIME`] does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// The leader is not asked before this moment.
    ask_from: time::Duration,
}

impl Outage {
    /// Returns true if the leader is to be asked.
    #[must_use]
    pub fn asks_leader(&self, now: time::Duration) -> bool {
        now >= self.ask_from
    }

    /// Records that the leader left a request unanswered.
    pub fn record_silence(&mut self, now: time::Duration) {
        self.ask_from = now + SILENT_TIME;
    }
}
