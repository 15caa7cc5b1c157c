//! Baseline without promises, queue or urgency: first come, first served.

use std::collections;

use super::{BodyId, Decision, Event};

/// Grants each body that fits the budget when its request arrives.
#[derive(Debug)]
pub struct Naive {
    /// `None` grants all.
    budget: Option<usize>,
    counted: usize,
    bodies: collections::HashMap<BodyId, usize>,
}

impl Naive {
    /// Returns a baseline with a budget in bytes, or without one.
    #[must_use]
    pub fn new(budget: Option<usize>) -> Self {
        Self { budget, counted: 0, bodies: collections::HashMap::new() }
    }

    /// Returns the bytes of all bodies.
    #[must_use]
    pub fn counted_bytes(&self) -> usize {
        self.counted
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event) -> Option<Decision> {
        match event {
            Event::Requested { id, need } => {
                if self.budget.is_some_and(|budget| self.counted + need.bytes > budget) {
                    return Some(Decision::Refused { id });
                }
                self.counted += need.bytes;
                self.bodies.insert(id, need.bytes);
                Some(Decision::Granted { id })
            }
            Event::Arrived { id, .. } => Some(Decision::Granted { id }),
            Event::Ended { id } => {
                self.counted -= self.bodies.remove(&id).unwrap_or_default();
                None
            }
            Event::Tick => None,
        }
    }
}
