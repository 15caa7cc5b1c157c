//! The figures of a target, and what they mean for a request.

/// Nominal prefill throughput of an engine, in tokens per ms.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 25.0;

/// Added for each request in progress at the target: a larger batch makes each decoding step
/// slower.
const DELAY_PER_RUNNING_MS: f64 = 0.25;

/// Time until a slot of a full target becomes free, for each request beyond its slots.
const DELAY_PER_WAITING_MS: f64 = 25.0;

/// Nominal time of a step that decodes one request.
const STEP_MS: f64 = 7.8;

/// Nominal time that each further request in the batch adds to a step.
const STEP_PER_RUNNING_MS: f64 = 0.03;

/// Decoding steps, and thus tokens, of one event of a stream.
const STEPS_PER_EVENT: f64 = 3.5;

/// What a target takes for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Prompt tokens that it processes in a ms.
    pub prefill_rate: f64,
    /// Time of a step in relation to the nominal one.
    pub step_factor: f64,
    /// Response time of a plain service with few requests, in ms; zero if unknown.
    pub service_ms: f64,
    /// Requests of a plain service that run at once without delaying one another.
    pub width: f64,
    /// Whether anything is known of the target or of others of the pool.
    pub learned: bool,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            prefill_rate: PREFILL_TOKENS_PER_MS,
            step_factor: 1.0,
            service_ms: 0.0,
            width: f64::INFINITY,
            learned: false,
        }
    }
}

impl Pace {
    /// Returns the expected delay in ms of the first event behind `tokens` of prompts, its own
    /// included, beside `running` requests at a target with `slots`.
    #[must_use]
    pub fn first_event(&self, tokens: f64, running: u32, slots: u32) -> f64 {
        let running = f64::from(running);
        let waiting = (running + 1.0 - f64::from(slots).min(self.width)).max(0.0);
        let per_waiting = if self.service_ms > 0.0 {
            self.service_ms / self.width.min(f64::from(slots)).max(1.0)
        } else {
            DELAY_PER_WAITING_MS * self.step_factor
        };
        let batch = running * DELAY_PER_RUNNING_MS * self.step_factor;
        tokens / self.prefill_rate + batch + waiting * per_waiting + self.service_ms
    }

    /// Returns the expected time in ms of a step that decodes `running` requests.
    #[must_use]
    pub fn step_time(&self, running: u32) -> f64 {
        self.step_factor * (STEP_MS + STEP_PER_RUNNING_MS * f64::from(running))
    }

    /// Returns the expected pause in ms between two events beside `running` requests.
    #[must_use]
    pub fn pause(&self, running: u32) -> f64 {
        STEPS_PER_EVENT * self.step_time(running)
    }

    /// Returns the expected time in ms of a response of `events` events, the first of which
    /// takes `first_ms`.
    #[must_use]
    pub fn duration(&self, first_ms: f64, events: f64, running: u32) -> f64 {
        first_ms + (events - 1.0).max(0.0) * self.pause(running)
    }
}
