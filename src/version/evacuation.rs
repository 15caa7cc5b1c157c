//! Failure domains that operators have taken out of service.
//!
//! While a failure domain is being evacuated, nothing is sent to its targets. The set is part of
//! the replicated state, so the order of the log decides between operators that begin and finish
//! the same evacuation. A command may be committed more than once, as operators send it again
//! until it is acknowledged, and an attempt that was given up may be committed late. So a command
//! states up to where its proposer knew the log when the operator asked, and does not undo what
//! was committed after that: of two commands that contradict one another, the later one in the log
//! is refused if its proposer could not know the first, and the operator sends it again.
//!
//! # Examples
//!
//! ```
//! use hornbeamdock::version::evacuation::Evacuations;
//!
//! let mut evacuations = Evacuations::default();
//! evacuations.begin("north", 7);
//! assert!(evacuations.contains("north"));
//! evacuations.finish("north", 9);
//! assert!(!evacuations.contains("north"));
//! ```

use std::collections;

use serde::{Deserialize, Serialize};

use super::raft;

/// Longest name of a failure domain that can be evacuated, in characters.
pub const MAX_NAME_CHARS: usize = 64;

/// Most failure domains that can be evacuated at the same time.
pub const MAX_DOMAINS: usize = 64;

/// Most domains whose last evacuation is remembered after it has ended.
const MAX_FINISHED: usize = 64;

/// The failure domains being evacuated, and those whose evacuation has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Log index of the begin, by domain.
    domains: collections::BTreeMap<String, raft::Index>,
    /// Log index of the latest end, by domain.
    finished: collections::BTreeMap<String, raft::Index>,
}

impl Evacuations {
    /// Begins the evacuation of a failure domain with the log entry at `index`. Has no effect
    /// while it is being evacuated. Returns false if the name is empty or too long, or too many
    /// domains are being evacuated.
    pub fn begin(&mut self, domain: &str, index: raft::Index) -> bool {
        if self.contains(domain) {
            return true;
        }
        let valid = (1..=MAX_NAME_CHARS).contains(&domain.chars().count());
        if !valid || self.domains.len() >= MAX_DOMAINS {
            return false;
        }
        self.domains.insert(domain.to_owned(), index);
        self.finished.remove(domain);
        true
    }

    /// Ends the evacuation of a failure domain with the log entry at `index`. Has no effect
    /// unless it is being evacuated.
    pub fn finish(&mut self, domain: &str, index: raft::Index) {
        if self.domains.remove(domain).is_none() {
            return;
        }
        self.finished.insert(domain.to_owned(), index);
        if self.finished.len() > MAX_FINISHED {
            let oldest = self.finished.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(domain, _)| domain.clone());
            oldest.and_then(|domain| self.finished.remove(&domain));
        }
    }

    /// Returns true if the failure domain is being evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns the log index of the latest begin or end of an evacuation of the failure domain;
    /// 0 if none is known.
    #[must_use]
    pub fn changed_at(&self, domain: &str) -> raft::Index {
        let changed = self.domains.get(domain).or_else(|| self.finished.get(domain));
        changed.copied().unwrap_or_default()
    }

    /// Returns true if no failure domain is being evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns the failure domains being evacuated, each with the log index of its begin.
    pub fn domains(&self) -> impl Iterator<Item = (&str, raft::Index)> {
        self.domains.iter().map(|(domain, index)| (domain.as_str(), *index))
    }

    /// Returns the failure domains whose evacuation ended after the log entry at `index`.
    pub fn finished_since(&self, index: raft::Index) -> impl Iterator<Item = &str> {
        let ended = self.finished.iter().filter(move |(_, at)| **at > index);
        ended.map(|(domain, _)| domain.as_str())
    }
}
