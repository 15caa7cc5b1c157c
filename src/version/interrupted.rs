//! Requests that ended with their gateway, and will be sent again.
//!
//! When gateways lose power or are killed, their requests vanish from the reports. Callers
//! whose streams were running notice that seconds later and then continue them, where the
//! same adapter is needed on a target of the same version. Until then the adapter has no
//! request and would be the first to be evicted, for new requests that come back sooner. The
//! demand of such a gateway therefore counts as running for as long as its callers may
//! take to come back.

use std::time;

use super::traffic::{Demand, Report};

/// Longest time from the last report of a gateway until its callers have come back.
pub(super) const RETURN_TIME: time::Duration = time::Duration::from_secs(5);

/// Running requests of gateways that ended, which their callers may send again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::version::{interrupted::Interrupted, traffic::{Demand, Report}};
///
/// let demand = Demand {
///     service: "adviser".into(),
///     model: "lilies".into(),
///     adapter: Some("ponds".into()),
///     work: 900,
///     waiting: 1,
///     running: 2,
/// };
/// let mut interrupted = Interrupted::default();
/// interrupted.record(&Report { demands: vec![demand], ..Report::default() }, Duration::ZERO);
/// let kept = interrupted.live(Duration::from_secs(3)).next().unwrap();
/// assert_eq!((kept.running, kept.waiting, kept.work), (2, 0, 0));
/// assert_eq!(interrupted.live(Duration::from_secs(6)).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Interrupted {
    /// Each with the time until which it counts.
    demands: Vec<(Demand, time::Duration)>,
}

impl Interrupted {
    /// Records the last report of a gateway that has ended, which arrived at `at`.
    pub fn record(&mut self, report: &Report, at: time::Duration) {
        let running = report.demands.iter().filter(|d| d.running > 0);
        let until = at + RETURN_TIME;
        self.demands.extend(running.map(|d| (Demand { work: 0, waiting: 0, ..d.clone() }, until)));
    }

    /// Returns whether all demands count at `now`.
    pub(super) fn is_current(&self, now: time::Duration) -> bool {
        self.demands.iter().all(|(_, until)| now < *until)
    }

    /// Forgets the demands that no longer count, and returns them.
    pub(super) fn take_expired(&mut self, now: time::Duration) -> Vec<Demand> {
        let expired = self.demands.extract_if(.., |(_, until)| now >= *until);
        expired.map(|(demand, _)| demand).collect()
    }

    /// Returns the demands that count at `now`, with running requests only.
    pub fn live(&self, now: time::Duration) -> impl Iterator<Item = &Demand> {
        self.demands.iter().filter(move |(_, until)| now < *until).map(|(demand, _)| demand)
    }
}
