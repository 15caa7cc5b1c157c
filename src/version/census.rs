//! How many entries there are, including those that can't be heard just now.
//!
//! What all entries share, such as the slack of a retry budget, is split by
//! their number. Replicas that are cut off hear only some of them, and a number
//! that fell with what is heard would give each of the few a larger part while
//! the others keep theirs. An entry is therefore remembered for a while.
//!
//! Entries keep their ids over a restart, so that one that was killed and one
//! that turned to another replica are not counted twice.

use std::{collections, time};

/// Stands for an entry, over its restarts.
pub type EntryId = u32;

/// An entry that was not heard for this long is away: several exchanges.
const AWAY: time::Duration = time::Duration::from_secs(2);

/// How long an entry that is away counts: longer than cuts last as a rule.
const MEMORY: time::Duration = time::Duration::from_mins(1);

/// The entries heard lately.
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
/// assert_eq!(census.size(), 4);
/// assert_eq!(census.absent(time::Duration::from_secs(5)), 0.75);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Census {
    /// When each was last heard.
    heard: collections::BTreeMap<EntryId, time::Duration>,
}

impl Census {
    /// Takes in which entries are heard at `now`.
    pub fn observe(&mut self, entries: &[EntryId], now: time::Duration) {
        self.heard.extend(entries.iter().map(|id| (*id, now)));
        self.heard.retain(|_, at| now < *at + MEMORY);
    }

    /// Returns how many entries there are.
    #[must_use]
    pub fn size(&self) -> u32 {
        u32::try_from(self.heard.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many entries are heard at `now`.
    #[must_use]
    pub fn present(&self, now: time::Duration) -> u32 {
        let present = self.heard.values().filter(|at| now < **at + AWAY).count();
        u32::try_from(present).unwrap_or(u32::MAX)
    }

    /// Returns which part of the entries is away at `now`.
    #[must_use]
    pub fn absent(&self, now: time::Duration) -> f64 {
        let size = self.size();
        let away = size - self.present(now);
        if size == 0 { 0.0 } else { f64::from(away) / f64::from(size) }
    }
}
