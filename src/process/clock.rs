//! Clocks: monotonic time since the start of the process, and a hybrid logical
//! clock that orders the events of all processes.
//!
//! The monotonic clock includes the time while the machine is suspended. Otherwise a
//! replica could rely, after a resume, on a lease that has expired.
//!
//! Deadlines and leases use only the monotonic clock. The hybrid logical clock follows
//! the wall clock but never falls behind a timestamp that was received, so an event
//! caused by a message sorts after the sending of the message even if the wall clocks
//! differ. It only orders events; no decision depends on it.

use std::time;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Maximum lead of a received timestamp over the local wall clock, in ms. A timestamp
/// further ahead comes from a wrong clock and is ignored.
const MAX_STAMP_LEAD_MS: u64 = 60_000;

/// A timestamp of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Wall clock in ms since the Unix epoch, of this process or, if later, of a process
    /// whose timestamp was received.
    pub wall: u64,
    /// Orders timestamps with the same `wall`.
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
    /// Creates the clocks. The monotonic clock starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self { start: since_boot(), last: Mutex::new(Stamp::default()) }
    }

    /// Returns the monotonic time since the clock was created.
    #[must_use]
    pub fn now(&self) -> time::Duration {
        since_boot().saturating_sub(self.start)
    }

    /// Returns a new timestamp, later than all that were returned or accepted before.
    pub fn stamp(&self) -> Stamp {
        let mut last = self.last.lock();
        *last = next_stamp(*last, wall_ms());
        *last
    }

    /// Advances the hybrid logical clock to a received timestamp.
    pub fn observe(&self, stamp: Stamp) {
        let wall = wall_ms();
        if stamp.wall > wall + MAX_STAMP_LEAD_MS {
            return;
        }
        let mut last = self.last.lock();
        *last = next_stamp((*last).max(stamp), wall);
    }
}

/// Returns the time since the machine started, including the time while suspended.
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

/// Returns the timestamp after `last`, which follows the wall clock if that is later.
fn next_stamp(last: Stamp, wall: u64) -> Stamp {
    if wall > last.wall {
        return Stamp { wall, tick: 0 };
    }
    Stamp { wall: last.wall, tick: last.tick + 1 }
}
