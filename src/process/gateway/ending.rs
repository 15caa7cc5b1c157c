//! Checks that the target of a response which ended with its connection is still there.

use std::time;

use crate::{
    connection::{
        ending::{self, Probe, Verdict},
        framing::Framing,
        pool,
    },
    request::gateway::{fleet::Choice, tries::Failure},
};

use super::{core::Core, job::Job};

/// Time from the end of a connection to the check. A process that ends closes its connections
/// one after the other, its listener maybe last.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(10);

impl Job {
    /// Returns an error if a response whose body came to a regular end may be cut short. Opens
    /// a connection to the target if its framing doesn't tell. Targets stop work at the deadline,
    /// so an end after it is none of the response.
    pub(super) async fn confirm_end(
        &self,
        choice: &Choice,
        framing: Framing,
    ) -> Result<(), Failure> {
        let mut verdict = ending::judge(framing, None);
        if verdict == Verdict::Unknown {
            let probing = probe(&self.core, choice);
            let probe = tokio::time::timeout(self.remaining(), probing).await;
            let probe = probe.unwrap_or(Probe::Unreachable);
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

async fn probe(core: &Core, choice: &Choice) -> Probe {
    tokio::time::sleep(SETTLE_TIME).await;
    match core.open(choice.address).await {
        Ok(_) => Probe::Opened,
        Err(pool::Error::NotSent { failure, .. }) => Probe::failed(failure),
        Err(pool::Error::Incomplete { .. }) => Probe::Unreachable,
    }
}
