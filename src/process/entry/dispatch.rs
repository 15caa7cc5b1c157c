//! The scheduler of an entry process, and the requests that wait for a target.
//!
//! The scheduler is not sharded: requests for different models share targets, so a
//! decision depends on the load of all of them. One lock guards it.

use std::{collections, sync};

use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::{
    request::{
        refusal::Refusal,
        schedule::{self, Action, End, Pool, Scheduler},
    },
    version::{announce, memory::Item},
};

use super::core::Core;

/// Name of the target that a request is sent to, or why it is refused.
type Decision = Result<sync::Arc<str>, Refusal>;

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    /// Waiting requests, by the id of [`schedule::Request`].
    waiting: collections::HashMap<u64, tsync::oneshot::Sender<Decision>>,
}

/// Assigns requests to targets.
#[derive(Debug)]
pub(super) struct Dispatcher {
    state: Mutex<State>,
}

/// A slot on a target, occupied by one request. Dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot {
    core: sync::Arc<Core>,
    id: u64,
    /// Name of the target.
    pub(super) target: sync::Arc<str>,
    /// How the request ended; cancelled unless [`Self::release`] sets it.
    end: End,
    /// Requests on the target, as it reported them with its response.
    reported_load: Option<u32>,
}

impl Slot {
    /// Frees the slot, recording how the request ended and the load that the target
    /// reported.
    pub(super) fn release(mut self, end: End, reported_load: Option<u32>) {
        self.end = end;
        self.reported_load = reported_load;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        self.core
            .dispatcher
            .step(&self.core, |s| s.complete(self.id, self.end, self.reported_load, now));
    }
}

impl Dispatcher {
    pub(super) fn new(seed: u64) -> Self {
        let state = State { scheduler: Scheduler::new(seed), waiting: collections::HashMap::new() };
        Self { state: Mutex::new(state) }
    }

    /// Waits for a slot on a target.
    pub(super) async fn acquire(
        &self,
        core: &sync::Arc<Core>,
        request: schedule::Request,
    ) -> Result<Slot, Refusal> {
        let id = request.id;
        let (sender, decision) = tsync::oneshot::channel();
        self.state.lock().waiting.insert(id, sender);
        let mut pending = PendingRequest { core, id, decision, received: false };
        let now = core.clock.now();
        self.step(core, |s| s.submit(request, now));
        let decision = (&mut pending.decision).await;
        pending.received = true;
        let target = decision.unwrap_or(Err(Refusal::Stopping))?;
        Ok(Slot { core: core.clone(), id, target, end: End::Cancelled, reported_load: None })
    }

    /// Passes the targets and the objective of the current view to the scheduler.
    pub(super) fn configure(&self, core: &sync::Arc<Core>) {
        let config = core.config();
        let targets = schedule::available_targets(config.view());
        let objective = config.view().policy().objective;
        let now = core.clock.now();
        self.step(core, |s| s.configure(targets, objective, now));
    }

    /// Passes loads that the leader sent to the scheduler.
    pub(super) fn report_loads(&self, core: &sync::Arc<Core>, loads: &[announce::Load]) {
        let now = core.clock.now();
        self.step(core, |s| {
            loads.iter().flat_map(|l| s.report_load(&l.target, l.requests, now)).collect()
        });
    }

    /// Samples the demand, and refuses requests whose deadline has passed.
    pub(super) fn tick(&self, core: &sync::Arc<Core>) {
        let now = core.clock.now();
        let loads = self.state.lock().scheduler.pool_loads();
        core.pending_report.sample_demand(&loads);
        self.step(core, |s| s.tick(now));
    }

    /// Returns the number of requests that run on targets.
    pub(super) fn running(&self) -> usize {
        self.state.lock().scheduler.running()
    }

    /// Returns the number of requests that wait for a target.
    pub(super) fn waiting(&self) -> usize {
        self.state.lock().scheduler.waiting()
    }

    /// Applies an event to the scheduler and carries out the resulting actions.
    fn step(&self, core: &sync::Arc<Core>, apply: impl FnOnce(&mut Scheduler) -> Vec<Action>) {
        let now = core.clock.now();
        let mut state = self.state.lock();
        let mut actions = collections::VecDeque::from(apply(&mut state.scheduler));
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Dispatch { request, target } => {
                    let sender = state.waiting.remove(&request);
                    if sender.is_none_or(|s| s.send(Ok(target)).is_err()) {
                        // The caller has disconnected, so the slot is free again.
                        actions.extend(state.scheduler.complete(
                            request,
                            End::Cancelled,
                            None,
                            now,
                        ));
                    }
                }
                Action::Refuse { request, retry_after, .. } => {
                    if let Some(sender) = state.waiting.remove(&request) {
                        // Fails only if the caller has disconnected.
                        let _ = sender.send(Err(Refusal::Overloaded { retry_after }));
                    }
                }
                Action::RequestPlacement { pool, adapter } => {
                    request_placement(core, &pool, adapter.as_deref());
                }
            }
        }
    }
}

/// A request that waits for a decision. Dropping it, as when the caller disconnects,
/// cancels the request.
struct PendingRequest<'c> {
    core: &'c sync::Arc<Core>,
    id: u64,
    decision: tsync::oneshot::Receiver<Decision>,
    /// Whether `decision` has been received.
    received: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.received {
            return;
        }
        let dispatcher = &self.core.dispatcher;
        {
            let mut state = dispatcher.state.lock();
            if state.waiting.remove(&self.id).is_some() {
                state.scheduler.cancel(self.id);
                return;
            }
        }
        // The decision may have been sent but not received; then the slot is freed.
        if let Ok(Ok(_)) = self.decision.try_recv() {
            let now = self.core.clock.now();
            dispatcher.step(self.core, |s| s.complete(self.id, End::Cancelled, None, now));
        }
    }
}

/// Reports the item that a pool lacks to the leader. Plain services need none.
fn request_placement(core: &sync::Arc<Core>, pool: &Pool, adapter: Option<&str>) {
    match (pool, adapter) {
        (_, Some(adapter)) => core.pending_report.record_wanted(Item::Adapter(adapter.to_owned())),
        (Pool::Model(model), None) => {
            core.pending_report.record_wanted(Item::Model(model.as_ref().to_owned()));
        }
        (Pool::Service(_), None) => {}
    }
}
