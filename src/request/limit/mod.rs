//! Rate and burst of a workspace, enforced over all gateways together.
//!
//! A *gateway* is any process that admits requests, in `process::entry` and in
//! `process::gateway`. The *owner* of the limits is the leading control replica.
//!
//! The owner keeps one token bucket per workspace. It issues *grants* to the
//! gateways: tokens that a gateway may spend until the grant expires. Tokens
//! that are granted and not reported as spent count against the burst, so that
//! in any window of length `w` at most `burst + rate * w` tokens are spent,
//! however gateways fail and whichever messages are lost or delayed:
//!
//! - spending in a window is at most what was outstanding at its start plus
//!   what was granted in it;
//! - level and outstanding tokens together never exceed the burst;
//! - what is granted in the window comes from the level at its start and from
//!   what accrued since.
//!
//! What is unreported when a grant expires counts as spent. A request is charged
//! for its prompt and its largest possible output. What it leaves unused is
//! refunded, but only as far as the bucket would have held it had the request
//! never been charged for it (see [`owner`]).
//!
//! The alternative, a fixed share of the rate for each gateway, needs no messages
//! but refuses requests of a workspace whose callers all reach one gateway.

pub mod cold;
pub mod holder;
pub mod outage;
pub mod owner;
pub mod place;
pub mod prefill;
pub mod share;
pub mod turn;

use std::time;

use serde::{Deserialize, Serialize};

/// How long the owner counts a grant as outstanding.
pub const GRANT_TTL: time::Duration = time::Duration::from_secs(2);

/// How long a gateway spends from a grant, counted from the sending of its grant
/// request. The difference to [`GRANT_TTL`] covers the drift between two clocks.
pub const SPEND_TTL: time::Duration = time::Duration::from_millis(1_800);

/// How far a workspace may exceed its limit, where an operator allows it.
///
/// An exact limit refuses some requests that are within it, because tokens are
/// briefly held in grants at other gateways. A tolerance makes up for that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Increase of rate and burst as a fraction of them, clamped to 0..=1.
    pub ratio: f64,
    /// Tokens added to the burst on top of that.
    pub extra_burst: u64,
}

impl Tolerance {
    /// Returns the limit that is enforced for a configured one.
    #[must_use]
    pub fn widen(&self, limit: owner::Limit) -> owner::Limit {
        let widened = |tokens: u64| {
            let extra = time::Duration::from_secs(tokens).mul_f64(self.ratio.clamp(0.0, 1.0));
            tokens.saturating_add(extra.as_secs())
        };
        let burst = widened(limit.burst).saturating_add(self.extra_burst);
        owner::Limit { rate: widened(limit.rate), burst }
    }
}

/// Identifies a grant. Ids increase in the order of issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Raft term in which the owner leads.
    pub term: u64,
    /// Number of the grant within the term.
    pub number: u64,
}

/// How much of a grant a gateway has used. All amounts are totals, so a report
/// that is repeated, or arrives after a later one, has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Identifies the grant.
    pub grant: GrantId,
    /// Tokens spent.
    pub spent: u64,
    /// Tokens out of `spent` that requests were charged and did not use.
    pub refunded: u64,
    /// Whether the gateway will spend no more from the grant.
    pub closed: bool,
}

/// A gateway's request for tokens, or its report of their use, to the owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Name of the workspace.
    pub workspace: String,
    /// Least number of tokens to grant; zero if this only reports usage.
    pub required: u64,
    /// Tokens that the gateway expects to spend soon.
    pub desired: u64,
    /// Usage of earlier grants.
    pub usage: Vec<Usage>,
}

/// The owner's reply to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantReply {
    /// The gateway may spend the tokens.
    Granted {
        /// Identifies the grant in usage reports.
        id: GrantId,
        /// Tokens granted.
        tokens: u64,
    },
    /// The bucket holds fewer tokens than required.
    Denied {
        /// Estimated time until enough tokens are available.
        wait: time::Duration,
    },
    /// The owner is new and grants nothing until the grants of the previous
    /// owner have expired.
    TakingOver {
        /// Time until then.
        wait: time::Duration,
    },
    /// More tokens are required than the burst, or the workspace does not exist.
    Unsatisfiable,
    /// The usage was recorded. Reply to a request that requires no tokens.
    Recorded,
}
