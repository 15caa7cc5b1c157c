//! Prompt prefixes that a target is expected to have in its prefix cache.
//!
//! An engine can skip the start of a prompt if it has processed the same
//! segments before for the same model and adapter. A gateway remembers the
//! prefixes that it sent to each target. The number is bounded, and the least
//! recently used prefixes are evicted, as in the engines.

use std::{collections, hash::Hasher as _};

use super::Prompt;

/// Prefixes remembered for each target.
const MAX_PREFIXES: usize = 2_048;

/// Hash of model, adapter and the segments of a prompt up to some segment.
type PrefixHash = u64;

/// Prefixes that were sent to one target.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// For each prefix, the value of `recorded` when it was last sent.
    prefixes: collections::HashMap<PrefixHash, u64>,
    /// Number of prompts sent so far.
    recorded: u64,
}

impl PrefixCache {
    /// Returns how many tokens at the start of a prompt the target is expected
    /// to have cached.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let cached = prefixes(prompt).take_while(|(prefix, _)| self.prefixes.contains_key(prefix));
        cached.fold(0, |sum, (_, tokens)| sum.saturating_add(tokens))
    }

    /// Records that a prompt was sent to the target.
    pub fn record(&mut self, prompt: &Prompt) {
        self.recorded += 1;
        for (prefix, _) in prefixes(prompt) {
            self.prefixes.insert(prefix, self.recorded);
        }
        if self.prefixes.len() > MAX_PREFIXES {
            self.evict_older_half();
        }
    }

    fn evict_older_half(&mut self) {
        let mut last_uses: Vec<_> = self.prefixes.values().copied().collect();
        let middle = last_uses.len() / 2;
        let (_, median, _) = last_uses.select_nth_unstable(middle);
        let median = *median;
        self.prefixes.retain(|_, used| *used > median);
    }
}

/// Returns the prefixes of a prompt, shortest first, each with the tokens that
/// its last segment adds.
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

/// Returns the hash of the model, the adapter and all segments but the last,
/// which is not shared with other requests. It is the same at every gateway.
#[must_use]
pub fn shared_prefix_hash(prompt: &Prompt) -> u64 {
    let mut hasher = model_hasher(prompt);
    for segment in prompt.segments.iter().rev().skip(1).rev() {
        hasher.write_u64(segment.id);
    }
    hasher.digest()
}
