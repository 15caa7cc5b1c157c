//! Whether a request begins a piece of work or goes on with one.
//!
//! A caller that continues a stream has its first events, and loses them if it is refused.
//! Wherever requests compete, such a request therefore comes before new ones. Callers have
//! no more of them at a time than streams that broke off, so new ones wait only for a short
//! time.

/// How far the work of a request has come.
///
/// # Examples
///
/// ```
/// use hornbeamdock::request::stage::Stage;
///
/// assert!(Stage::Begun < Stage::New);
/// assert!(Stage::Begun.urgency(1) < Stage::New.urgency(1));
/// assert!(Stage::Begun.urgency(1) >= Stage::New.urgency(0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It continues a stream of which its caller has the first events.
    Begun,
    /// Its caller has no part of the response.
    New,
}

impl Stage {
    /// Returns the rank of a request among those that wait at a target; the lowest is the
    /// most urgent. `priority` is that of its route or workspace.
    #[must_use]
    pub fn urgency(self, priority: u32) -> u32 {
        match self {
            Self::New => priority.saturating_add(1),
            Self::Begun => priority,
        }
    }
}
