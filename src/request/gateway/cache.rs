//! What the engines keep of earlier prompts, as far as a gateway can tell.
//!
//! An engine can skip the beginning of a prompt that it has read before for the
//! same model and adapter, part by part from the start. A gateway remembers the
//! chains of parts that it sent to each target. The memory is bounded; the least
//! recently used chains give way, as they do in the engines.

use std::{collections, hash::Hasher as _};

use super::Prompt;

/// Chains remembered for one target.
const MAX_PREFIXES: usize = 2_048;

/// Identifies a prompt's beginning: model, adapter and parts up to one.
type PrefixHash = u64;

/// Chains that one target was sent.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Chains with the time of their last use, in uses.
    prefixes: collections::HashMap<PrefixHash, u64>,
    recorded: u64,
}

impl PrefixCache {
    /// Returns how many tokens at the start of a prompt the target has read.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let cached = prefixes(prompt).take_while(|(prefix, _)| self.prefixes.contains_key(prefix));
        cached.map(|(_, tokens)| tokens).sum()
    }

    /// Notes that the target was sent a prompt.
    pub fn record(&mut self, prompt: &Prompt) {
        self.recorded += 1;
        for (prefix, _) in prefixes(prompt) {
            self.prefixes.insert(prefix, self.recorded);
        }
        if self.prefixes.len() > MAX_PREFIXES {
            self.evict_older_half();
        }
    }

    /// Forgets the older half.
    fn evict_older_half(&mut self) {
        let mut last_uses: Vec<_> = self.prefixes.values().copied().collect();
        let middle = last_uses.len() / 2;
        let (_, median, _) = last_uses.select_nth_unstable(middle);
        let median = *median;
        self.prefixes.retain(|_, used| *used > median);
    }
}

/// Returns the chains of a prompt, each with the tokens that it adds.
fn prefixes(prompt: &Prompt) -> impl Iterator<Item = (PrefixHash, u32)> + '_ {
    let mut hasher = model_hasher(prompt);
    prompt.segments.iter().map(move |segment| {
        hasher.write_u64(segment.id);
        (hasher.digest(), segment.tokens)
    })
}

fn model_hasher(prompt: &Prompt) -> xxhash_rust::xxh3::Xxh3Default {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    hasher.write(prompt.model.as_bytes());
    hasher.write_u8(0);
    hasher.write(prompt.adapter.as_deref().unwrap_or_default().as_bytes());
    hasher
}

/// Returns a number that every gateway computes alike for prompts that begin
/// alike: over all parts but the last, which is the request's own.
#[must_use]
pub fn shared_prefix_hash(prompt: &Prompt) -> u64 {
    let mut hasher = model_hasher(prompt);
    for segment in prompt.segments.iter().rev().skip(1).rev() {
        hasher.write_u64(segment.id);
    }
    hasher.digest()
}
