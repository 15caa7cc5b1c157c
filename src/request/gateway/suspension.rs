//! Whether this process may have been suspended, so that what it knows is out of date.
//!
//! A gateway asks control replicas for changes several times a second, and goes on with what it
//! knows if none answers. A process that was suspended knows as little as one that is cut off, but
//! the replicas may answer it at once: a failure domain that was evacuated meanwhile must get
//! nothing from it. So a request waits until the end of the first attempt that was begun since, whether
//! that succeeds or not. The load is that of requests which arrived during a suspension of seconds;
//! otherwise an attempt has always been begun lately.
//!
//! Alternatives: *refuse requests while the view is old* would refuse all at a gateway that is cut
//! off. *Measure how late timers fire* tells the same only after the timer has run, which may be
//! later than a request.

use std::time;

/// Time since the begin of the latest attempt that has ended, from which on the process may have
/// been suspended. While no replica answers, up to 2.1 s pass from the begin of one attempt to
/// the end of the next.
pub const MAX_ATTEMPT_AGE: time::Duration = time::Duration::from_secs(3);

/// Begin of the latest attempt to synchronize that has ended.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::request::gateway::suspension::LatestAttempt;
///
/// let mut attempt = LatestAttempt::default();
/// attempt.record_end(Duration::from_secs(10));
/// assert!(!attempt.is_overdue(Duration::from_secs(11)));
/// assert!(attempt.is_overdue(Duration::from_secs(16)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatestAttempt {
    began_at: time::Duration,
}

impl LatestAttempt {
    /// Records the end of an attempt that was begun at `began_at`.
    pub fn record_end(&mut self, began_at: time::Duration) {
        self.began_at = self.began_at.max(began_at);
    }

    /// Returns true if a request must wait for the end of a further attempt.
    #[must_use]
    pub fn is_overdue(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.began_at) >= MAX_ATTEMPT_AGE
    }
}
