//! What the calls of a control replica have brought on one connection to a target.
//!
//! Neither queries, nor orders, nor their answers have an id. A faulty target may send another
//! copy of an earlier answer, later, where the next one is expected, but only on the connection
//! that brought the first. So an answer belongs to an order if the connection has brought none
//! of its kind. All others leave the outcome unknown, and the connection, on which the real
//! answer may still arrive, is closed.
//!
//! An order is sent only on a connection on which the answers that confirm it can be told from
//! copies: a load is confirmed by [`Answer::Accepted`], an unload by that or by
//! [`Answer::Complete`]. So a connection carries any number of queries, but, besides rejected orders,
//! at most an unload that is complete at once and one further order.
//!
//! A report needs less proof. A copy of an earlier report states an earlier count of accepted
//! orders, and the target rejects an order with an outdated count.
//!
//! # Examples
//!
//! ```
//! use hornbeamdock::connection::carried::{Answer, Call, Carried};
//!
//! let mut carried = Carried::default();
//! assert!(carried.settle(Call::Query, Answer::Report));
//! assert!(carried.allows(Call::Load));
//! // A copy of the report, or a report that is late.
//! assert!(!carried.settle(Call::Load, Answer::Report));
//! ```

/// A call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Query of the target's state.
    Query,
    /// Order to load a model or adapter.
    Load,
    /// Order to unload one.
    Unload,
}

impl Call {
    /// Returns the value used in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Query => "query",
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// Kind of an answer to a call, by what it looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It may be a report.
    Report,
    /// The target carries the order out.
    Accepted,
    /// The requested state holds. It can't be a report.
    Complete,
    /// Any other answer.
    Other,
}

/// Kinds of the answers that one connection has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Each kind once.
    brought: Vec<Answer>,
}

impl Carried {
    /// Returns whether the call may be sent on the connection.
    #[must_use]
    pub fn allows(&self, call: Call) -> bool {
        match call {
            Call::Query => true,
            Call::Load => !self.has_brought(Answer::Accepted),
            Call::Unload => {
                !self.has_brought(Answer::Accepted) && !self.has_brought(Answer::Complete)
            }
        }
    }

    /// Records the answer that was read for a call, and returns whether it belongs to that call.
    /// If not, the connection must be closed.
    #[must_use]
    pub fn settle(&mut self, call: Call, answer: Answer) -> bool {
        let is_new = !self.has_brought(answer);
        if is_new {
            self.brought.push(answer);
        }
        match call {
            Call::Query => answer == Answer::Report,
            Call::Load | Call::Unload => is_new,
        }
    }

    fn has_brought(&self, answer: Answer) -> bool {
        self.brought.contains(&answer)
    }
}
