//! What the engines keep of earlier prompts, as far as a gateway can tell.
//!
//! An engine can skip the beginning of a prompt that it has read before for the
//! same model and adapter, part by part from the start. A gateway remembers the
//! chains of parts that it sent to each target. The memory is bounded; the least
//! recently used chains give way, as they do in the engines.

use std::{collections, hash::Hasher as _};

use super::Prompt;

/// Chains remembered for one target.
const CHAINS: usize = 2_048;

/// Identifies a prompt's beginning: model, adapter and parts up to one.
type Chain = u64;

/// Chains that one target was sent.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Chains with the time of their last use, in uses.
    chains: collections::HashMap<Chain, u64>,
    uses: u64,
}

impl Cache {
    /// Returns how many tokens at the start of a prompt the target has read.
    #[must_use]
    pub fn kept(&self, prompt: &Prompt) -> u32 {
        let known = chains(prompt).take_while(|(chain, _)| self.chains.contains_key(chain));
        known.map(|(_, tokens)| tokens).sum()
    }

    /// Notes that the target was sent a prompt.
    pub fn note(&mut self, prompt: &Prompt) {
        self.uses += 1;
        for (chain, _) in chains(prompt) {
            self.chains.insert(chain, self.uses);
        }
        if self.chains.len() > CHAINS {
            self.forget();
        }
    }

    /// Forgets the older half.
    fn forget(&mut self) {
        let mut uses: Vec<_> = self.chains.values().copied().collect();
        let middle = uses.len() / 2;
        let (_, median, _) = uses.select_nth_unstable(middle);
        let median = *median;
        self.chains.retain(|_, used| *used > median);
    }
}

/// Returns the chains of a prompt, each with the tokens that it adds.
fn chains(prompt: &Prompt) -> impl Iterator<Item = (Chain, u32)> + '_ {
    let mut hasher = seed(prompt);
    prompt.parts.iter().map(move |part| {
        hasher.write_u64(part.id);
        (hasher.digest(), part.tokens)
    })
}

fn seed(prompt: &Prompt) -> xxhash_rust::xxh3::Xxh3Default {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    hasher.write(prompt.model.as_bytes());
    hasher.write_u8(0);
    hasher.write(prompt.adapter.as_deref().unwrap_or_default().as_bytes());
    hasher
}

/// Returns a number that every gateway computes alike for prompts that begin
/// alike: over all parts but the last, which is the request's own.
#[must_use]
pub fn shared(prompt: &Prompt) -> u64 {
    let mut hasher = seed(prompt);
    for part in prompt.parts.iter().rev().skip(1).rev() {
        hasher.write_u64(part.id);
    }
    hasher.digest()
}
