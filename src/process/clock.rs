//! Clocks: monotonic time since the start of the process, and a hybrid logical
//! clock that orders events over all processes.
//!
//! The monotonic clock goes on while the machine is suspended. Otherwise a
//! replica that wakes up would believe in a lease that lapsed long ago.
//!
//! Deadlines and leases use only the monotonic clock. The hybrid clock follows
//! the wall clock and never runs behind a stamp that was received, so an event
//! that was caused by a message sorts after the sending of the message even if
//! the wall clocks disagree. No decision depends on it.

use std::time;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Furthest that a received stamp may run ahead of the own wall clock, in ms.
/// A stamp beyond it comes from a broken clock and is not followed.
const MAX_STAMP_LEAD_MS: u64 = 60_000;

/// A point of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Wall clock in ms since the Unix epoch, or a later one that was received.
    pub wall: u64,
    /// Orders stamps with the same wall clock.
    pub tick: u32,
}

/// The clocks of one process.
#[derive(Debug)]
pub struct Clock {
    start: time::Duration,
    last: Mutex<Stamp>,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts the monotonic clock at zero.
    #[must_use]
    pub fn new() -> Self {
        Self { start: since_boot(), last: Mutex::new(Stamp::default()) }
    }

    /// Returns the monotonic time since the start of the process.
    #[must_use]
    pub fn now(&self) -> time::Duration {
        since_boot().saturating_sub(self.start)
    }

    /// Returns a stamp later than every earlier one.
    pub fn stamp(&self) -> Stamp {
        let mut last = self.last.lock();
        *last = next_stamp(*last, wall_ms());
        *last
    }

    /// Follows a stamp that came with a message.
    pub fn observe(&self, stamp: Stamp) {
        let wall = wall_ms();
        if stamp.wall > wall + MAX_STAMP_LEAD_MS {
            return;
        }
        let mut last = self.last.lock();
        *last = next_stamp((*last).max(stamp), wall);
    }
}

/// Returns the time since the machine started, suspensions included.
fn since_boot() -> time::Duration {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(at.tv_nsec).unwrap_or(0);
    time::Duration::new(seconds, nanos)
}

/// Returns the wall clock in ms since the Unix epoch.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn next_stamp(last: Stamp, wall: u64) -> Stamp {
    if wall > last.wall {
        return Stamp { wall, tick: 0 };
    }
    Stamp { wall: last.wall, tick: last.tick + 1 }
}
