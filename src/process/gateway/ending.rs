//! Checks that the target of a response which ended with its connection is still there.

use crate::{
    connection::{
        ending::{self, Probe, Verdict},
        framing::Framing,
        pool,
    },
    request::gateway::{fleet::Choice, tries::Failure},
};

use super::{core::Core, job::Job};

impl Job {
    /// Returns an error if a response whose body came to a regular end may be cut short. Opens
    /// a connection to the target if its framing doesn't tell.
    pub(super) async fn confirm_end(
        &self,
        choice: &Choice,
        framing: Framing,
    ) -> Result<(), Failure> {
        let mut verdict = ending::judge(framing, None);
        if verdict == Verdict::Unknown {
            let probe = probe(&self.core, choice).await;
            verdict = ending::judge(framing, Some(probe));
            self.core.metrics.record_ending(probe.name());
            if verdict != Verdict::Complete {
                spdlog::warn!("target is gone after a response without a length", kv: {
                    request = self.request.id.as_str(),
                    target = choice.id.as_str(),
                    probe = probe.name()
                });
            }
        }
        match verdict {
            Verdict::Complete => Ok(()),
            Verdict::Truncated | Verdict::Unknown => Err(Failure::Incomplete),
        }
    }
}

/// Opens a connection to the target, which the next request may use.
async fn probe(core: &Core, choice: &Choice) -> Probe {
    match core.open(choice.address).await {
        Ok(opened) => {
            core.pools.keep(choice.address, opened, core.clock.now()).await;
            Probe::Opened
        }
        Err(pool::Error::NotSent { failure, .. }) => Probe::failed(failure),
        Err(pool::Error::Incomplete { .. }) => Probe::Unreachable,
    }
}
