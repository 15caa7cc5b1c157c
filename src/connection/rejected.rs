//! The requests that a target rejected on one connection.
//!
//! A rejected request may be sent again, also to the same target. A faulty target may send
//! another copy of the rejection, later, where the next response is expected. On the same
//! connection nothing tells such a copy from the answer to the request when that is sent again:
//! both carry its id. If the copy was believed, a request that runs would count as not run. So
//! each connection remembers every request that was rejected on it, and none of them is sent on
//! it again. Remembering the latest one is not enough: other requests may be rejected on the
//! connection while the first one waits.
//!
//! Callers may reuse an id as well, so the connection keeps it for as long as it is open. Once
//! it has [`MAX_REJECTIONS`] of them, it is not reused at all, which bounds its memory.
//!
//! # Examples
//!
//! ```
//! use hornbeamdock::connection::rejected::RejectedIds;
//!
//! let mut rejected = RejectedIds::default();
//! rejected.record("request-1");
//! rejected.record("request-2");
//! assert!(!rejected.allows("request-1"));
//! assert!(rejected.allows("request-3"));
//! ```

use xxhash_rust::xxh3;

/// Maximum number of rejections on a connection that is reused.
pub const MAX_REJECTIONS: usize = 64;

/// Ids of the requests that the target rejected on one connection.
///
/// Only hashes are kept. Of two ids with the same hash, the other one is not sent on the
/// connection either, which does no harm.
#[derive(Clone, Debug, Default)]
pub struct RejectedIds {
    hashes: Vec<u64>,
}

impl RejectedIds {
    /// Records that the target rejected the request with this id.
    pub fn record(&mut self, id: &str) {
        if self.hashes.len() < MAX_REJECTIONS {
            self.hashes.push(hash(id));
        }
    }

    /// Returns whether the request with this id may be sent on the connection.
    #[must_use]
    pub fn allows(&self, id: &str) -> bool {
        // Most connections have seen no rejection.
        self.hashes.is_empty() || (!self.is_full() && !self.hashes.contains(&hash(id)))
    }

    /// Returns whether the connection can remember no further rejection.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REJECTIONS
    }
}

fn hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}
