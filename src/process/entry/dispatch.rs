//! The scheduler of an entry behind one lock, and those who wait for it.
//!
//! Requests for different models share targets, so the scheduler is one shard:
//! its decisions need the load of all of them.

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

type Decision = Result<sync::Arc<str>, Refusal>;

#[derive(Debug)]
struct Inner {
    scheduler: Scheduler,
    waiting: collections::HashMap<u64, tsync::oneshot::Sender<Decision>>,
}

/// The scheduler and those who wait for its decisions.
#[derive(Debug)]
pub(super) struct Dispatch {
    inner: Mutex<Inner>,
}

/// A place on a target. Dropping it gives the place up.
#[derive(Debug)]
pub(super) struct Slot {
    core: sync::Arc<Core>,
    id: u64,
    /// Name of the target.
    pub(super) target: sync::Arc<str>,
    end: End,
    load: Option<u32>,
}

impl Slot {
    /// Notes how the request ended, with the load that the target reported.
    pub(super) fn end(mut self, end: End, load: Option<u32>) {
        self.end = end;
        self.load = load;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        self.core.dispatch.run(&self.core, |s| s.complete(self.id, self.end, self.load, now));
    }
}

impl Dispatch {
    pub(super) fn new(seed: u64) -> Self {
        let inner = Inner { scheduler: Scheduler::new(seed), waiting: collections::HashMap::new() };
        Self { inner: Mutex::new(inner) }
    }

    /// Waits for a place on a target.
    pub(super) async fn acquire(
        &self,
        core: &sync::Arc<Core>,
        request: schedule::Request,
    ) -> Result<Slot, Refusal> {
        let id = request.id;
        let (sender, decision) = tsync::oneshot::channel();
        self.inner.lock().waiting.insert(id, sender);
        let mut waiting = Waiting { core, id, decision, taken: false };
        let now = core.clock.now();
        self.run(core, |s| s.submit(request, now));
        let decision = (&mut waiting.decision).await;
        waiting.taken = true;
        let target = decision.unwrap_or(Err(Refusal::Stopping))?;
        Ok(Slot { core: core.clone(), id, target, end: End::Cancelled, load: None })
    }

    /// Takes in the targets of a new view.
    pub(super) fn configure(&self, core: &sync::Arc<Core>) {
        let live = core.live();
        let hosts = schedule::available_targets(live.view());
        let objective = live.view().policy().objective;
        let now = core.clock.now();
        self.run(core, |s| s.configure(hosts, objective, now));
    }

    /// Takes in loads that the leader gathered.
    pub(super) fn loads(&self, core: &sync::Arc<Core>, loads: &[announce::Load]) {
        let now = core.clock.now();
        self.run(core, |s| {
            loads.iter().flat_map(|l| s.report_load(&l.target, l.requests, now)).collect()
        });
    }

    /// Lets time pass, and samples the demand.
    pub(super) fn tick(&self, core: &sync::Arc<Core>) {
        let now = core.clock.now();
        let loads = self.inner.lock().scheduler.pool_loads();
        core.reports.sample(&loads);
        self.run(core, |s| s.tick(now));
    }

    /// Returns how many requests run.
    pub(super) fn running(&self) -> usize {
        self.inner.lock().scheduler.running()
    }

    /// Returns how many requests wait.
    pub(super) fn waiting(&self) -> usize {
        self.inner.lock().scheduler.waiting()
    }

    /// Steps the scheduler and carries out what it decides.
    fn run(&self, core: &sync::Arc<Core>, step: impl FnOnce(&mut Scheduler) -> Vec<Action>) {
        let now = core.clock.now();
        let mut inner = self.inner.lock();
        let mut actions = collections::VecDeque::from(step(&mut inner.scheduler));
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Dispatch { request, target } => {
                    let sender = inner.waiting.remove(&request);
                    if sender.is_none_or(|s| s.send(Ok(target)).is_err()) {
                        // The caller went away, so its place is free again.
                        actions.extend(inner.scheduler.complete(
                            request,
                            End::Cancelled,
                            None,
                            now,
                        ));
                    }
                }
                Action::Refuse { request, retry_after, .. } => {
                    if let Some(sender) = inner.waiting.remove(&request) {
                        // A caller that went away needs no refusal.
                        let _ = sender.send(Err(Refusal::Overloaded { retry_after }));
                    }
                }
                Action::RequestPlacement { pool, adapter } => want(core, &pool, adapter.as_deref()),
            }
        }
    }
}

/// A place in the queue, given up if the caller goes away while it waits.
struct Waiting<'c> {
    core: &'c sync::Arc<Core>,
    id: u64,
    decision: tsync::oneshot::Receiver<Decision>,
    /// Whether the decision was received.
    taken: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let dispatch = &self.core.dispatch;
        {
            let mut inner = dispatch.inner.lock();
            if inner.waiting.remove(&self.id).is_some() {
                inner.scheduler.cancel(self.id);
                return;
            }
        }
        // The decision was sent and never received.
        if let Ok(Ok(_)) = self.decision.try_recv() {
            let now = self.core.clock.now();
            dispatch.run(self.core, |s| s.complete(self.id, End::Cancelled, None, now));
        }
    }
}

fn want(core: &sync::Arc<Core>, pool: &Pool, adapter: Option<&str>) {
    match (pool, adapter) {
        (_, Some(adapter)) => core.reports.want(Item::Adapter(adapter.to_owned())),
        (Pool::Model(model), None) => core.reports.want(Item::Model(model.as_ref().to_owned())),
        (Pool::Service(_), None) => {}
    }
}
