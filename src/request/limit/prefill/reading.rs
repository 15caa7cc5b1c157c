//! How long an engine takes to read prompts, learned from the prompts that it read.
//!
//! The time from the permission to the first event of a prompt that an engine reads alone grows
//! with its tokens, and has a part that does not: the way there and back, and the steps of the
//! first event. A weighted linear regression tells the two apart, with recent prompts first.

use std::time;

/// Rate at which an engine is taken to read prompts before it has read any, in tokens a second.
const INITIAL_RATE: f64 = 20_000.0;

/// Time of the first event besides the prompt before anything is known, in seconds.
const INITIAL_OVERHEAD: f64 = 0.04;

/// Least and largest rate that is learned, in tokens a second.
const RATE_RANGE: (f64, f64) = (1_000.0, 100_000.0);

/// Longest overhead that is learned, in seconds.
const MAX_OVERHEAD: f64 = 0.3;

/// Weight that the earlier prompts keep when a further one is recorded.
const KEPT_WEIGHT: f64 = 0.9;

/// Lengths of the prompts that stand for what is assumed at first, in tokens.
const INITIAL_TOKENS: [f64; 2] = [500.0, 2_500.0];

/// Weight of each of these.
const INITIAL_WEIGHT: f64 = 2.0;

/// Time constant of a throughput, in seconds.
const THROUGHPUT_TIME: f64 = 1.0;

/// Weighted sums over the prompts that were read, of tokens and seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTime {
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    product: f64,
}

impl Default for ReadTime {
    fn default() -> Self {
        let mut empty =
            Self { weight: 0.0, tokens: 0.0, seconds: 0.0, tokens_squared: 0.0, product: 0.0 };
        for tokens in INITIAL_TOKENS {
            empty.add(tokens, INITIAL_OVERHEAD + tokens / INITIAL_RATE, INITIAL_WEIGHT);
        }
        empty
    }
}

impl ReadTime {
    /// Records the time from the permission to the first event of a prompt.
    pub(super) fn record(&mut self, tokens: u32, took: time::Duration) {
        let longest = MAX_OVERHEAD + f64::from(tokens) / RATE_RANGE.0;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.seconds,
            &mut self.tokens_squared,
            &mut self.product,
        ] {
            *sum *= KEPT_WEIGHT;
        }
        self.add(f64::from(tokens), took.as_secs_f64().min(longest), 1.0);
    }

    /// Returns the tokens that are read in a second.
    pub(super) fn rate(&self) -> f64 {
        let mean = self.tokens / self.weight;
        let variance = self.tokens_squared / self.weight - mean * mean;
        let covariance = self.product / self.weight - mean * self.seconds / self.weight;
        if variance <= 1.0 || covariance <= 0.0 {
            // Without a spread of lengths, the whole time is taken for reading.
            return (self.tokens / self.seconds.max(f64::MIN_POSITIVE))
                .clamp(RATE_RANGE.0, RATE_RANGE.1);
        }
        (variance / covariance).clamp(RATE_RANGE.0, RATE_RANGE.1)
    }

    /// Returns the seconds that reading takes.
    pub(super) fn reading(&self, tokens: u64) -> f64 {
        to_f64(tokens) / self.rate()
    }

    /// Returns the seconds until the first event of a prompt.
    pub(super) fn first_event(&self, tokens: u64) -> f64 {
        self.reading(tokens) + self.overhead()
    }

    /// Returns the seconds from the permission until a prompt should have been read.
    pub(super) fn until_read(&self, tokens: u64) -> f64 {
        self.reading(tokens) + self.overhead() * trial()
    }

    fn overhead(&self) -> f64 {
        let rest = (self.seconds - self.tokens / self.rate()) / self.weight;
        rest.clamp(0.0, MAX_OVERHEAD)
    }

    fn add(&mut self, tokens: f64, seconds: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.seconds += weight * seconds;
        self.tokens_squared += weight * tokens * tokens;
        self.product += weight * tokens * seconds;
    }
}

fn trial() -> f64 {
    static N: std::sync::OnceLock<f64> = std::sync::OnceLock::new();
    *N.get_or_init(|| {
        std::env::var("HORNBEAMDOCK_TRIAL").ok().and_then(|s| s.parse().ok()).unwrap_or(1.0)
    })
}

/// Tokens a second, over about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Throughput {
    rate: f64,
    at: time::Duration,
}

impl Throughput {
    pub(super) fn record(&mut self, tokens: u32, now: time::Duration) {
        self.rate = self.rate(now) + f64::from(tokens) / THROUGHPUT_TIME;
        self.at = now;
    }

    pub(super) fn rate(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-passed / THROUGHPUT_TIME).exp()
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
