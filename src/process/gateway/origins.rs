//! Where streams began: tells the control replicas of the streams that this gateway begins,
//! and asks them about the streams that callers continue here.

use std::{pin, sync, time};

use crate::{
    connection::{
        dialect::CallerRequest,
        peer::{Call, Reply},
    },
    request::{
        gateway::continuation::{self, Lookup},
        refusal::{Ran, Refusal, StreamLoss},
    },
    version::{
        catalog,
        origin::{Origin, StreamId},
        raft,
    },
};

use super::{core::Core, job::Job};

/// How long a replica may take to answer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Most replicas that are called, one after the other.
const MAX_REPLICAS: usize = 3;

/// How long a replica may take to tell which targets there are.
const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Pause after no replica took a report.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// How long a stream is held back until a replica knows that it begins at another software
/// version than was recorded first.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How long a stream can be continued after the time for which its caller waits. Covers the
/// way of its last request.
const LIFETIME_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Longest time for which a stream can be continued.
const MAX_LIFETIME: time::Duration = time::Duration::from_mins(2);

/// Reports the streams that this gateway begins.
pub(super) async fn run(core: sync::Arc<Core>) {
    loop {
        core.streams_begun.notified().await;
        loop {
            let batch = core.begun_streams.lock().next_batch(core.clock.now());
            if batch.streams.is_empty() {
                break;
            }
            let call = Call::RecordStreams(batch.streams.clone());
            match core.call_any(&call, |reply| matches!(reply, Reply::StreamsRecorded)).await {
                Some(_) => {
                    core.begun_streams.lock().record_reported(&batch);
                    core.streams_reported.notify_waiters();
                }
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}

impl Core {
    /// Calls one replica after the other, the one that this gateway synchronizes with
    /// first, until `accepts` is true for a reply. Returns the last reply, if there is one.
    async fn call_any(&self, call: &Call, accepts: impl Fn(&Reply) -> bool) -> Option<Reply> {
        let mut last = None;
        for node in self.nearest_replicas() {
            if let Ok(reply) = self.control.call(node, call.clone(), CALL_TIMEOUT).await {
                let accepted = accepts(&reply);
                last = Some(reply);
                if accepted {
                    break;
                }
            }
        }
        last
    }

    fn nearest_replicas(&self) -> Vec<raft::NodeId> {
        let current = self.latest_sync.borrow().map(|synced| synced.replica);
        let others = self.control.replicas().into_iter().filter(|node| Some(*node) != current);
        current.into_iter().chain(others).take(MAX_REPLICAS).collect()
    }

    async fn look_up(&self, id: StreamId) -> Lookup {
        let call = Call::FindStream(id);
        match self.call_any(&call, |reply| matches!(reply, Reply::Stream(Some(_)))).await {
            Some(Reply::Stream(Some(origin))) => Lookup::Found(origin),
            Some(_) => Lookup::Unknown,
            None => Lookup::Unanswered,
        }
    }
}

/// Returns where the request must be served if it continues a stream; `None` if it may be
/// served by any target.
///
/// # Errors
///
/// Returns a refusal if the stream can't be continued.
pub(super) async fn find(
    core: &Core,
    request: &CallerRequest,
    route: &catalog::Route,
    workspace: &str,
) -> Result<Option<Origin>, Refusal> {
    let Some(last) = request.last_event_id.filter(|_| is_stream(route)) else {
        return Ok(None);
    };
    let (known, decision) = match &request.resumed_id {
        Some(resumed) => {
            let lookup = core.look_up(StreamId::of(workspace, resumed)).await;
            (lookup.name(), continuation::decide(lookup, route).map(Some))
        }
        None => ("unnamed", decide_unnamed(core, request, route).await.map(|()| None)),
    };
    core.metrics.record_continuation(known);
    let software = decision.as_ref().ok().and_then(Option::as_ref).map(|o| o.software.as_str());
    spdlog::info!("caller continues a stream", kv: {
        request = request.id.as_str(),
        resumes = request.resumed_id.as_deref().unwrap_or(""),
        last = last,
        origin = known,
        software = software.unwrap_or("")
    });
    decision.map_err(|reason| Refusal::StreamLost { reason })
}

async fn decide_unnamed(
    core: &Core,
    request: &CallerRequest,
    route: &catalog::Route,
) -> Result<(), StreamLoss> {
    // This gateway may have been cut off or suspended while another version joined.
    let contact = core.catch_up(CATCH_UP_TIMEOUT).await;
    // Its caller has not waited longer than a request of this route is served.
    let age = route.timeout.max(request.timeout.unwrap_or_default()) + LIFETIME_MARGIN;
    let now = core.clock.now();
    let since = now.checked_sub(age).ok_or(StreamLoss::Unnamed)?;
    let fleet = core.fleet.lock();
    let one_each = route.split.iter().all(|s| fleet.has_one_software(&s.service, since));
    continuation::decide_unnamed(one_each, contact, now)
}

fn is_stream(route: &catalog::Route) -> bool {
    route.kind == catalog::RouteKind::Streaming
}

impl Job {
    /// Records that a target of a software version gets the request, if that begins a
    /// stream which the caller may continue.
    ///
    /// An earlier attempt may have been recorded with another version. Before the caller gets
    /// an event, a replica must know the new one; see [`Self::confirm_begun`].
    pub(super) fn record_begun(&mut self, software: &str) {
        let begins = self.request.last_event_id.is_none() && self.required_software.is_none();
        if !begins || !is_stream(&self.route) || !self.route.resumable || self.request.id.is_empty()
        {
            return;
        }
        let workspace = self.workspace.as_deref().unwrap_or("");
        let id = StreamId::of(workspace, &self.request.id);
        let origin = Origin { service: self.service.clone(), software: software.to_owned() };
        let patience = self.request.timeout.unwrap_or(MAX_LIFETIME);
        let lifetime = (patience + LIFETIME_MARGIN).min(MAX_LIFETIME);
        let number = self.core.begun_streams.lock().record(id, origin, self.arrived_at + lifetime);
        self.core.streams_begun.notify_one();
        if self.begun_software.get_or_insert_with(|| software.to_owned()) != software {
            self.begun_software = Some(software.to_owned());
            self.unconfirmed_begin = Some(number);
        }
    }

    /// Waits until a control replica knows that the stream begins at the software version of
    /// the latest attempt, if an earlier attempt was recorded with another one. If this
    /// gateway ended before, the stream would be continued at the version recorded first.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no replica takes the record in time.
    pub(super) async fn confirm_begun(&mut self) -> Result<(), Refusal> {
        let Some(number) = self.unconfirmed_begin.take() else {
            return Ok(());
        };
        let core = self.core.clone();
        let reported = async {
            loop {
                let mut notified = pin::pin!(core.streams_reported.notified());
                // A notification from here on is not missed.
                notified.as_mut().enable();
                if core.begun_streams.lock().is_reported(number) {
                    return;
                }
                notified.await;
            }
        };
        if tokio::time::timeout(CONFIRM_TIMEOUT, reported).await.is_ok() {
            return Ok(());
        }
        spdlog::warn!("stream not begun at another software version, as no replica took it", kv: {
            request = self.request.id.as_str(),
            software = self.software.as_str()
        });
        Err(Refusal::TargetFailed { ran: Ran::Unknown })
    }
}
