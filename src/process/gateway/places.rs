//! Places at targets that must not be overfilled: from the leader, or a part of them while
//! no leader answers.

use std::{
    mem, sync,
    sync::atomic::{self, AtomicU64},
    time,
};

use parking_lot::Mutex;
use rand::RngExt as _;
use tokio::sync as tsync;

use crate::{
    connection::peer,
    request::{
        gateway::fleet::Choice,
        limit::{
            outage::Outage,
            place::{
                self, Candidate, LocalCandidate, PlaceReply, PlaceRequest, PlaceUpdate, Progress,
            },
            prefill::Prefill,
        },
        refusal::{Ran, Refusal},
    },
};

use super::{
    choosing::MIN_RETRY_AFTER,
    core::Core,
    job::{Job, MIN_ATTEMPT_TIME, millis},
};

/// How much longer than the wait for a place the leader may take to answer.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Longest time for which a request waits for a place.
const MAX_PLACE_WAIT: time::Duration = time::Duration::from_secs(2);

/// Longest time for which a prompt waits at the leader.
const MAX_PREFILL_WAIT: time::Duration = time::Duration::from_secs(10);

/// How long messages about places are collected before the leader is told.
const UPDATE_BATCH_TIME: time::Duration = time::Duration::from_millis(5);

/// Time limit for telling the leader.
const UPDATE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long a place outlasts the deadline of its request at the leader, if its release is
/// lost.
const LIFETIME_MARGIN: time::Duration = time::Duration::from_secs(1);

/// Rejections a second stated for engines that state none, to leaders of earlier builds, which
/// give them places as at brittle targets.
const ENGINE_REJECTION_LIMIT: f64 = 20.0;

/// What bounds the requests at the targets of a service.
#[derive(Clone, Debug)]
pub(super) enum Bound {
    /// Each target bears this many rejections a second.
    Rejections(f64),
    /// Each engine reads one prompt at a time.
    Prefill(Prefill),
}

/// Places that this gateway holds or asks for.
#[derive(Debug)]
pub(super) struct PlaceClient {
    next_permit: AtomicU64,
    /// What the leader has not been told, oldest first.
    updates: Mutex<Vec<PlaceUpdate>>,
    /// Notified when there are updates.
    has_updates: tsync::Notify,
    outage: Mutex<Outage>,
}

impl PlaceClient {
    pub(super) fn new() -> Self {
        Self {
            // A gateway that has restarted must not name the places of its earlier run.
            next_permit: AtomicU64::new(rand::rng().random()),
            updates: Mutex::default(),
            has_updates: tsync::Notify::new(),
            outage: Mutex::default(),
        }
    }
}

/// A place at a target, or the request for one. Released when it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    core: sync::Arc<Core>,
    number: u64,
    /// Whether the leader may hold the place for this gateway.
    asked: bool,
    rejected: bool,
}

impl Permit {
    fn new(core: &sync::Arc<Core>) -> Self {
        let number = core.places.next_permit.fetch_add(1, atomic::Ordering::Relaxed);
        Self { core: core.clone(), number, asked: false, rejected: false }
    }

    /// Tells the leader that the output of the request has begun.
    pub(super) fn record_output(&self) {
        self.update(Progress::Output);
    }

    fn update(&self, progress: Progress) {
        if !self.asked {
            return;
        }
        let update = PlaceUpdate { permit: self.number, progress };
        self.core.places.updates.lock().push(update);
        self.core.places.has_updates.notify_one();
    }

    /// Records that the target had no room in spite of the place.
    pub(super) fn record_rejection(&mut self) {
        self.rejected = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.update(if self.rejected { Progress::Rejected } else { Progress::Ended });
    }
}

/// Tells the leader what became of the requests that hold places.
pub(super) async fn run(core: sync::Arc<Core>) {
    loop {
        core.places.has_updates.notified().await;
        tokio::time::sleep(UPDATE_BATCH_TIME).await;
        let updates = mem::take(&mut *core.places.updates.lock());
        let call = peer::Call::UpdatePlaces { gateway: core.gateway_id, updates };
        let deadline = time::Instant::now() + UPDATE_TIMEOUT;
        // Without an answer the places end with their lifetime.
        let _ = core.control.call_leader(&call, deadline).await;
    }
}

impl Core {
    /// Records what a target of a service stated in a response about the rejections that it
    /// bears.
    pub(super) fn record_rejection_limit(&self, service: &str, limit: Option<f64>) {
        let now = self.clock.now();
        if self.fleet.lock().record_rejection_limit(service, limit, now) {
            spdlog::info!("targets changed how many rejections a second they bear", kv: {
                service = service,
                limit = limit.unwrap_or(0.0),
                stated = limit.is_some()
            });
        }
    }

    /// Asks the leader. Returns `None` if it does not answer.
    async fn ask_for_place(&self, request: PlaceRequest) -> Option<PlaceReply> {
        let deadline = time::Instant::now() + request.max_wait + REPLY_TIMEOUT;
        let call = peer::Call::RequestPlace(request);
        if let Ok(peer::Reply::Place(reply)) = self.control.call_leader(&call, deadline).await {
            return Some(reply);
        }
        self.places.outage.lock().record_silence(self.clock.now());
        None
    }
}

impl Job {
    /// Waits for a place at one of the targets, the best of which is the first. Each bears
    /// `rejection_limit` rejections a second. Returns `None` if a target must be chosen again.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no place is free before `wait_deadline`, as soon as that is
    /// known.
    pub(super) async fn take_place(
        &mut self,
        choices: &[Choice],
        bound: Bound,
        wait_deadline: time::Duration,
    ) -> Result<Option<Choice>, Refusal> {
        let now = self.core.clock.now();
        if !self.core.places.outage.lock().asks_leader(now) {
            return match bound {
                Bound::Rejections(_) => self.take_local_place(choices),
                Bound::Prefill(_) => self.admit_by_estimate(choices),
            };
        }
        let (rejection_limit, prefill, longest_wait) = match bound {
            Bound::Rejections(limit) => (limit, None, MAX_PLACE_WAIT),
            Bound::Prefill(prefill) => (ENGINE_REJECTION_LIMIT, Some(prefill), MAX_PREFILL_WAIT),
        };
        let last_start = wait_deadline.saturating_sub(MIN_ATTEMPT_TIME);
        let mut permit = Permit::new(&self.core);
        let request = PlaceRequest {
            gateway: self.core.gateway_id,
            permit: permit.number,
            service: self.service.clone(),
            candidates: choices.iter().map(candidate).collect(),
            priority: if prefill.is_some() {
                self.rank()
            } else {
                self.urgency().unwrap_or(u32::MAX)
            },
            states_output: self.request.prompt.is_some(),
            rejection_limit,
            lifetime: self.remaining() + LIFETIME_MARGIN,
            max_wait: last_start.saturating_sub(now).min(longest_wait),
            prefill,
        };
        permit.asked = true;
        let chosen = match self.core.ask_for_place(request).await {
            Some(PlaceReply::Granted { candidate, term }) => {
                self.core.metrics.record_place("granted");
                let chosen = usize::try_from(candidate).ok().and_then(|index| choices.get(index));
                chosen.map(|c| Choice { place_term: Some(term), ..c.clone() })
            }
            Some(PlaceReply::Denied { wait }) => {
                permit.asked = false;
                self.core.metrics.record_place("denied");
                return Err(self.no_place_refusal(wait));
            }
            // What was known of the targets is out of date.
            None => None,
        };
        let now = self.core.clock.now();
        let taken = chosen.filter(|c| self.core.fleet.lock().still_takes_requests(c, now));
        self.permit = taken.is_some().then_some(permit);
        Ok(taken)
    }

    /// Admits a prompt by this gateway's own estimate, while no leader answers.
    fn admit_by_estimate(&self, choices: &[Choice]) -> Result<Option<Choice>, Refusal> {
        self.core.metrics.record_place("local");
        let Some(best) = choices.first() else {
            return Ok(None);
        };
        self.check_estimate(best)?;
        Ok(Some(best.clone()))
    }

    /// Takes a place within this gateway's part, without the leader.
    fn take_local_place(&self, choices: &[Choice]) -> Result<Option<Choice>, Refusal> {
        self.core.metrics.record_place("local");
        let gateways = self.core.fleet.lock().gateway_counts().known;
        let candidate =
            |c: &Choice| LocalCandidate { slots: c.slots, running: c.running, own: c.own_running };
        let candidates: Vec<_> = choices.iter().map(candidate).collect();
        match place::local_place(&candidates, gateways) {
            Some(index) => Ok(Some(choices[index].clone())),
            None => Err(self.no_place_refusal(MIN_RETRY_AFTER)),
        }
    }

    /// Returns the refusal of a request for which no place is free for `wait`.
    fn no_place_refusal(&self, wait: time::Duration) -> Refusal {
        spdlog::info!("no place in time at the targets that could take the request", kv: {
            request = self.request.id.as_str(),
            service = self.service.as_str(),
            wait_ms = millis(wait)
        });
        match self.attempts.ran() {
            Ran::No => Refusal::Overloaded { retry_after: wait.max(MIN_RETRY_AFTER) },
            ran => Refusal::Timeout { ran },
        }
    }
}

fn candidate(choice: &Choice) -> Candidate {
    Candidate { target: choice.id.clone(), incarnation: choice.incarnation, slots: choice.slots }
}
