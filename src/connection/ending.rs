//! Whether a response whose body came to a regular end is complete.
//!
//! A body without a length and not in chunks ends with its connection. The operating system
//! closes the connections of a process that is killed in the same way, so such an end alone
//! doesn't tell whether the target had sent everything. Only a target that is still there can
//! have ended its response, which a new connection to it shows.
//!
//! A target that announced that it leaves is no exception: one that is removed at short notice
//! is gone whatever it is sending.

use super::framing::Framing;
use crate::request::gateway::reach::ConnectFailure;

/// Result of opening a connection to the target after the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The target accepted it.
    Opened,
    /// Nothing listens at the address of the target.
    Refused,
    /// The target could not be reached.
    Unreachable,
}

/// What is known of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target sent all of it.
    Complete,
    /// The target, or the way to it, may have failed before the end.
    Truncated,
    /// A connection to the target has to be tried.
    Unknown,
}

impl Probe {
    /// Returns what a failure to open the connection shows.
    #[must_use]
    pub fn failed(failure: Option<ConnectFailure>) -> Self {
        if failure == Some(ConnectFailure::Refused) { Self::Refused } else { Self::Unreachable }
    }

    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Decides about a response whose body came to a regular end. `probe` is `None` before a
/// connection was tried.
///
/// # Examples
///
/// ```
/// use hornbeamdock::connection::{
///     ending::{self, Probe, Verdict},
///     framing::Framing,
/// };
///
/// assert_eq!(ending::judge(Framing::Length, None), Verdict::Complete);
/// assert_eq!(ending::judge(Framing::CloseDelimited, Some(Probe::Refused)), Verdict::Truncated);
/// ```
#[must_use]
pub fn judge(framing: Framing, probe: Option<Probe>) -> Verdict {
    match (framing, probe) {
        (Framing::Length | Framing::Chunks, _) | (Framing::CloseDelimited, Some(Probe::Opened)) => {
            Verdict::Complete
        }
        (Framing::CloseDelimited, Some(Probe::Refused | Probe::Unreachable)) => Verdict::Truncated,
        (Framing::CloseDelimited, None) => Verdict::Unknown,
    }
}
