//! Counts the gateways, to split common limits into shares.
//!
//! What all gateways share, such as the retries that a budget allows on top of a
//! fraction of the requests, is split by their number. A control replica that is
//! cut off gets reports from only some gateways. If only those counted, each of
//! them would get a larger share while the others keep theirs. A gateway
//! therefore counts for a while after its latest report.
//!
//! A gateway keeps its id over restarts, so it is not counted twice after it was
//! killed or when it reports to another replica.

use std::{collections, time};

/// Identifies a gateway over its restarts.
pub type GatewayId = u32;

/// A gateway is reporting until its latest report is this old: several times the
/// interval of its reports.
const REPORTING_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How long a gateway counts after its latest report. Network partitions are
/// usually shorter.
const RETENTION: time::Duration = time::Duration::from_mins(1);

/// The gateways that reported within a minute before the latest
/// [`observe`](Self::observe).
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use hornbeamdock::version::census;
///
/// let mut gateways = census::GatewayRegistry::default();
/// gateways.observe(&[1, 2, 3, 4], time::Duration::ZERO);
/// gateways.observe(&[2], time::Duration::from_secs(5));
/// assert_eq!(gateways.known(), 4);
/// assert_eq!(gateways.non_reporting_fraction(time::Duration::from_secs(5)), 0.75);
/// ```
#[derive(Clone, Debug, Default)]
pub struct GatewayRegistry {
    last_reported: collections::BTreeMap<GatewayId, time::Duration>,
}

impl GatewayRegistry {
    /// Records that these gateways reported at `now`, and forgets those whose
    /// retention has ended.
    pub fn observe(&mut self, gateways: &[GatewayId], now: time::Duration) {
        self.last_reported.extend(gateways.iter().map(|id| (*id, now)));
        self.last_reported.retain(|_, at| now < *at + RETENTION);
    }

    /// Returns the number of gateways as of the latest [`observe`](Self::observe),
    /// including those that are not reporting.
    #[must_use]
    pub fn known(&self) -> u32 {
        u32::try_from(self.last_reported.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many gateways are reporting at `now`.
    #[must_use]
    pub fn reporting(&self, now: time::Duration) -> u32 {
        let reporting =
            self.last_reported.values().filter(|at| now < **at + REPORTING_TIMEOUT).count();
        u32::try_from(reporting).unwrap_or(u32::MAX)
    }

    /// Returns the fraction of the known gateways that are not reporting at `now`;
    /// 0 if none are known.
    #[must_use]
    pub fn non_reporting_fraction(&self, now: time::Duration) -> f64 {
        let known = self.known();
        let non_reporting = known - self.reporting(now);
        if known == 0 { 0.0 } else { f64::from(non_reporting) / f64::from(known) }
    }
}
