//! Rate and burst of a workspace, enforced over all entries together.
//!
//! One owner per workspace keeps the token bucket. It hands *grants* to the
//! entries: tokens that an entry may spend until the grant lapses. What is
//! granted and not reported as spent counts against the burst, so that in any
//! window of length `w` at most `burst + rate * w` tokens are spent, whatever
//! the entries and the network do:
//!
//! - spending in a window is at most what was outstanding at its start plus
//!   what was granted in it;
//! - level and outstanding tokens together never exceed the burst;
//! - what is granted in the window comes from the level at its start and from
//!   what accrued since.
//!
//! A grant that lapses unreported counts as spent. A request is charged for its
//! prompt and its largest possible output; what it leaves unused is refunded,
//! but only as far as the bucket would have held it had the request never been
//! charged for it (see [`owner`]).
//!
//! The alternative, a fixed share of the rate for each entry, needs no messages
//! but refuses a workspace whose callers all reach one entry.

pub mod holder;
pub mod owner;
pub mod share;

use std::time;

use serde::{Deserialize, Serialize};

/// How long an owner counts a grant as outstanding.
pub const GRANT_TTL: time::Duration = time::Duration::from_secs(2);

/// How long an entry spends from a grant, counted from the sending of its ask.
/// The difference to [`GRANT_TTL`] covers the drift between two clocks.
pub const SPEND_TTL: time::Duration = time::Duration::from_millis(1_800);

/// How far a workspace may go beyond its limit, where an operator allows it.
///
/// An exact limit refuses some requests that are within it, because tokens lie
/// in grants elsewhere for a moment. A tolerance makes up for that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Part of rate and burst.
    pub ratio: f64,
    /// Tokens of burst beyond that.
    pub tokens: u64,
}

impl Tolerance {
    /// Returns the limit that is enforced for a stated one.
    #[must_use]
    pub fn widen(&self, limit: owner::Limit) -> owner::Limit {
        let part = |tokens: u64| {
            let whole = time::Duration::from_secs(tokens).mul_f64(self.ratio.clamp(0.0, 1.0));
            tokens + whole.as_secs()
        };
        owner::Limit { rate: part(limit.rate), burst: part(limit.burst) + self.tokens }
    }
}

/// Identifies a grant. The owner can tell from it when it was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Term in which the owner leads.
    pub term: u64,
    /// Number of the grant within the term.
    pub number: u64,
}

/// What an entry did with a grant. All amounts are totals, so that a repeated
/// or overtaken report changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The grant.
    pub grant: GrantId,
    /// Tokens spent.
    pub spent: u64,
    /// Of those, tokens that requests turned out not to need.
    pub refunded: u64,
    /// Whether the rest will not be spent.
    pub closed: bool,
}

/// What an entry asks an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The workspace.
    pub workspace: String,
    /// Tokens without which the next request can't run; zero for a report.
    pub need: u64,
    /// Tokens that the entry expects to spend soon.
    pub want: u64,
    /// What became of earlier grants.
    pub usage: Vec<Usage>,
}

/// What the owner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The entry may spend.
    Granted {
        /// Names the grant in reports.
        id: GrantId,
        /// Tokens granted.
        tokens: u64,
    },
    /// The tokens are not there.
    Denied {
        /// When they may be.
        wait: time::Duration,
    },
    /// The owner is new and waits until the grants of the one before it have
    /// lapsed.
    TakingOver {
        /// How long that takes.
        wait: time::Duration,
    },
    /// The need is larger than the burst and can never be granted.
    Never,
    /// The usage was taken in.
    Noted,
}
