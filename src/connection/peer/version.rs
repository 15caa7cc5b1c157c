//! The versions of the message format, and which one two processes use.
//!
//! Each side names the range of versions that it speaks, and both use the highest common
//! one. Builds before version 4 name only their own version and accept no other, so a process
//! offers version 3 in the place that they read, and the range behind it, which they do not
//! read. A process that was turned away by one of version 2 offers that the next time.
//!
//! | version | adds |
//! |---|---|
//! | 2 | |
//! | 3 | software versions of targets, origins of streams, tunnels through gateways |
//! | 4 | ranges of versions, places at brittle targets, answers to unknown calls |
//! | 5 | replicas that tell the others that they are about to stop |
//! | 6 | tunnels that mark the end of the target's bytes |
//! | 7 | evacuations, later fields of the catalog, placement within domains, differences, batches |
//! | 8 | departures that are confirmed once they are on disk |

use serde::{Deserialize, Serialize};

/// Oldest version that this build speaks.
pub const OLDEST: u32 = 2;

/// Latest version that this build speaks.
pub const LATEST: u32 = 8;

/// The version that is offered to a process of which nothing is known.
pub(super) const DEFAULT_OFFER: u32 = 3;

/// A range of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Range {
    /// Oldest version.
    pub oldest: u32,
    /// Latest version.
    pub latest: u32,
}

impl Range {
    /// The versions that this build speaks.
    pub const OWN: Self = Self { oldest: OLDEST, latest: LATEST };

    /// Returns the range of a process that names one version only.
    #[must_use]
    pub fn single(version: u32) -> Self {
        Self { oldest: version, latest: version }
    }

    /// Returns the highest version that is in both ranges.
    ///
    /// # Examples
    ///
    /// ```
    /// use hornbeamdock::connection::peer::version::Range;
    ///
    /// let newer = Range { oldest: 4, latest: 6 };
    /// assert_eq!(newer.common(Range { oldest: 2, latest: 5 }), Some(5));
    /// assert_eq!(newer.common(Range::single(3)), None);
    /// ```
    #[must_use]
    pub fn common(self, other: Self) -> Option<u32> {
        let highest = self.latest.min(other.latest);
        (highest >= self.oldest.max(other.oldest)).then_some(highest)
    }
}

/// Returns what to offer next to a process that was offered `offered` and answered with
/// version `answered` and no range, if that may succeed.
#[must_use]
pub fn next_offer(offered: u32, answered: u32) -> Option<u32> {
    Range::OWN.common(Range::single(answered)).filter(|version| *version != offered)
}
