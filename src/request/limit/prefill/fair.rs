//! Fair shares of workspaces, by start-time fair queueing.

use std::collections;

/// Most workspaces whose share is remembered. Beyond it, those without an outstanding share are
/// forgotten, or all if there are none.
const MAX_WORKSPACES: usize = 1_024;

/// The virtual time of a service, in tokens that a workspace has been given.
#[derive(Clone, Debug, Default)]
pub(super) struct FairClock {
    now: u64,
    /// When each workspace will have had all that it asked for.
    finishes: collections::HashMap<String, u64>,
}

impl FairClock {
    /// Returns when the part of a workspace begins that a further request takes, and reserves
    /// that many tokens from then on.
    pub(super) fn reserve(&mut self, workspace: &str, tokens: u32) -> u64 {
        let start = self.finishes.get(workspace).copied().unwrap_or(0).max(self.now);
        if self.finishes.len() >= MAX_WORKSPACES && !self.finishes.contains_key(workspace) {
            self.make_room();
        }
        self.finishes.insert(workspace.to_owned(), start + u64::from(tokens));
        start
    }

    /// Gives back the tokens of a request that was denied.
    pub(super) fn refund(&mut self, workspace: &str, tokens: u32) {
        if let Some(finish) = self.finishes.get_mut(workspace) {
            *finish = finish.saturating_sub(u64::from(tokens));
        }
    }

    /// Advances the clock to the start of a request that was let through.
    pub(super) fn advance(&mut self, start: u64) {
        self.now = self.now.max(start);
    }

    /// Forgets the shares, as no workspace waits.
    pub(super) fn forget_idle(&mut self) {
        let latest = self.finishes.values().copied().max().unwrap_or(0);
        self.now = self.now.max(latest);
        self.finishes.clear();
    }

    fn make_room(&mut self) {
        let now = self.now;
        self.finishes.retain(|_, finish| *finish > now);
        if self.finishes.len() >= MAX_WORKSPACES {
            self.finishes.clear();
        }
    }
}
