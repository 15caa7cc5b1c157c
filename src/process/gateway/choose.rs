//! The wait of a request for a target that can take it.

use std::{sync, time};

use crate::{
    request::{
        gateway::{
            Prompt, admit,
            fleet::{Choice, Lack, Near},
        },
        refusal::{Ran, Refusal},
    },
    version::placer::Found,
};

use super::{
    core::Core,
    job::{Job, LEAST, Phase, millis},
};

/// How long a request waits for a change of the fleet before it looks again.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// How long to stay away from an overloaded gateway at least.
const STAY_AWAY: time::Duration = time::Duration::from_millis(200);

impl Job {
    /// Chooses a target, waiting for one that holds the model if need be.
    pub(super) async fn choose(&mut self) -> Result<Choice, Refusal> {
        let mut changes = self.core.changes();
        self.phase = Phase::Choosing;
        if !self.noted {
            self.noted = true;
            if let Some(prompt) = &self.ask.prompt {
                let now = self.core.clock.now();
                self.core.fleet.lock().arrived(&self.service, prompt, now);
            }
        }
        let mut waits: Option<Waits> = None;
        let until = self.patience();
        loop {
            let now = self.core.clock.now();
            let open = self.core.pools.open(now);
            if now + LEAST >= until {
                return Err(self.late());
            }
            let chosen = self.core.fleet.lock().choose(
                &self.service,
                self.ask.prompt.as_ref(),
                &self.tried,
                &Near { domain: &self.core.options.domain, open: &open },
                now,
            );
            let lack = match chosen {
                Ok(choice) => {
                    self.estimate = choice.estimate;
                    self.admit(&choice)?;
                    if let Some(want) = choice.crowded() {
                        self.core.spread(want);
                    }
                    return Ok(choice);
                }
                // Another gateway can wait for longer.
                Err(_) if self.core.is_stopping() && self.tries.ran() == Ran::No => {
                    return Err(Refusal::Stopping);
                }
                Err(lack) => lack,
            };
            if let Some(prompt) = self.ask.prompt.as_ref().filter(|_| lack != Lack::Target) {
                let want = prompt.want(&self.service);
                waits.get_or_insert_with(|| Waits::new(&self.core, &self.service, prompt));
                let limit = until.saturating_sub(now);
                let found = self.core.want(&want, &self.lacking, &[], limit).await;
                let now = self.core.clock.now();
                match found {
                    Found::At(id) => {
                        self.lacking.clear();
                        self.core.fleet.lock().word(&id, &want, true, now);
                        continue;
                    }
                    Found::Soon(after) if now + after > until && self.tries.ran() == Ran::No => {
                        self.note_no_copy(after, until.saturating_sub(now));
                        return Err(Refusal::Overloaded { wait: after.max(STAY_AWAY) });
                    }
                    Found::Soon(_) | Found::Nowhere => {}
                }
            }
            let pause = LOOK.min(until.saturating_sub(self.core.clock.now()));
            // Either way the next turn looks again.
            let _ = tokio::time::timeout(pause, changes.changed()).await;
        }
    }

    /// Returns until when it waits for a target. What ran in part already waits
    /// for as long as its caller does.
    fn patience(&self) -> time::Duration {
        if self.tries.ran() == Ran::No {
            self.core.clock.now() + admit::patience(self.route.objective, self.left())
        } else {
            self.deadline
        }
    }

    /// Refuses a prompt that the engines would get to too late.
    fn admit(&self, choice: &Choice) -> Result<(), Refusal> {
        if self.ask.prompt.is_none() || self.tries.sent() > 0 || choice.shunned {
            return Ok(());
        }
        let (objective, left) = (self.route.objective, self.left());
        let limit = admit::limit(objective, left);
        if choice.estimate <= limit {
            return Ok(());
        }
        spdlog::info!("queue too long", kv: {
            request = self.ask.id.as_str(),
            model = self.model(),
            target = choice.id.as_str(),
            estimate_ms = millis(choice.estimate),
            limit_ms = millis(limit),
            left_ms = millis(left)
        });
        Err(Refusal::Overloaded { wait: admit::wait(objective, choice.estimate) })
    }

    /// Logs that no target will hold the model in time.
    fn note_no_copy(&self, after: time::Duration, patience: time::Duration) {
        spdlog::info!("no copy in time", kv: {
            request = self.ask.id.as_str(),
            model = self.model(),
            after_ms = millis(after),
            patience_ms = millis(patience)
        });
    }

    fn late(&self) -> Refusal {
        match self.tries.ran() {
            Ran::No => Refusal::Overloaded { wait: STAY_AWAY },
            ran => Refusal::Timeout { ran },
        }
    }
}

/// Counts a request among those that wait for a model while this lives.
#[derive(Debug)]
struct Waits {
    core: sync::Arc<Core>,
    service: String,
    prompt: Prompt,
}

impl Waits {
    fn new(core: &sync::Arc<Core>, service: &str, prompt: &Prompt) -> Self {
        core.fleet.lock().waits(service, prompt, true);
        Self { core: core.clone(), service: service.to_owned(), prompt: prompt.clone() }
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        self.core.fleet.lock().waits(&self.service, &self.prompt, false);
    }
}
