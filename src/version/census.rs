//! The number of gateways, including those that a control replica has not heard
//! lately.
//!
//! What all gateways share, such as the slack of a retry budget, is split by
//! their number. A replica that is cut off hears only some gateways. If only
//! those counted, each of them would get a larger part while the others keep
//! theirs. A gateway therefore counts for a while after it was last heard.
//!
//! A gateway keeps its id over restarts, so it is not counted twice after it was
//! killed or when it reports to another replica.

use std::{collections, time};

/// Identifies a gateway over its restarts.
pub type GatewayId = u32;

/// A gateway that was not heard for this long is absent: several times the
/// interval of its reports.
const ABSENT_AFTER: time::Duration = time::Duration::from_secs(2);

/// How long a gateway counts after it was last heard. Network partitions are
/// usually shorter.
const RETENTION: time::Duration = time::Duration::from_mins(1);

/// The gateways heard within the last minute.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use hornbeamdock::version::census;
///
/// let mut census = census::Census::default();
/// census.observe(&[1, 2, 3, 4], time::Duration::ZERO);
/// census.observe(&[2], time::Duration::from_secs(5));
/// assert_eq!(census.known(), 4);
/// assert_eq!(census.absent_fraction(time::Duration::from_secs(5)), 0.75);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Census {
    last_heard: collections::BTreeMap<GatewayId, time::Duration>,
}

impl Census {
    /// Records that these gateways are heard at `now`, and forgets those whose
    /// retention has ended.
    pub fn observe(&mut self, gateways: &[GatewayId], now: time::Duration) {
        self.last_heard.extend(gateways.iter().map(|id| (*id, now)));
        self.last_heard.retain(|_, at| now < *at + RETENTION);
    }

    /// Returns the number of gateways, absent ones included.
    #[must_use]
    pub fn known(&self) -> u32 {
        u32::try_from(self.last_heard.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many gateways are not absent at `now`.
    #[must_use]
    pub fn present(&self, now: time::Duration) -> u32 {
        let present = self.last_heard.values().filter(|at| now < **at + ABSENT_AFTER).count();
        u32::try_from(present).unwrap_or(u32::MAX)
    }

    /// Returns the fraction of the gateways that are absent at `now`; 0 if none
    /// are known.
    #[must_use]
    pub fn absent_fraction(&self, now: time::Duration) -> f64 {
        let known = self.known();
        let absent = known - self.present(now);
        if known == 0 { 0.0 } else { f64::from(absent) / f64::from(known) }
    }
}
