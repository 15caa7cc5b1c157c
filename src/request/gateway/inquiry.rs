//! When a request that no known target can take asks the leader for one.
//!
//! Every change of the targets wakes all waiting requests. If each of them then asked
//! the leader, its load would grow with the changes and with the requests that wait,
//! which is when it has least time for them. A request therefore asks again only when
//! the answer may have changed.

use std::time;

use crate::version::placer::Availability;

use super::fleet::Unavailable;

/// Shortest time between two questions about the same lack.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Questions of one request to the leader.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::{
///     request::gateway::{fleet::Unavailable, inquiry::Inquiry},
///     version::placer::Availability,
/// };
///
/// let mut inquiry = Inquiry::default();
/// let lack = Unavailable::ModelNotResident;
/// assert!(inquiry.is_due(lack, Duration::ZERO));
/// inquiry.record(lack, &Availability::Nowhere, Duration::ZERO);
/// assert!(!inquiry.is_due(lack, Duration::from_millis(50)));
/// assert!(inquiry.is_due(Unavailable::AdapterNotResident, Duration::from_millis(50)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Inquiry {
    /// What was lacking at the latest question, and when to ask about it again.
    latest: Option<(Unavailable, time::Duration)>,
}

impl Inquiry {
    /// Returns true if the leader is to be asked at `now`, for a request that can't be
    /// sent because of `lack`.
    #[must_use]
    pub fn is_due(&self, lack: Unavailable, now: time::Duration) -> bool {
        matches!(lack, Unavailable::ModelNotResident | Unavailable::AdapterNotResident)
            && self.latest.is_none_or(|(latest, next)| lack != latest || now >= next)
    }

    /// Records the answer of the leader, or [`Availability::Nowhere`] if there was none.
    pub fn record(&mut self, lack: Unavailable, answer: &Availability, now: time::Duration) {
        let interval = match answer {
            Availability::Soon(after) => MIN_INTERVAL.max(*after),
            Availability::At(_) | Availability::Nowhere => MIN_INTERVAL,
        };
        self.latest = Some((lack, now + interval));
    }
}
