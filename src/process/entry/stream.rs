//! Streamed answers: passing on whole events, going on elsewhere when a target
//! breaks off, and ending as an error when that is not possible.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers;

use crate::request::{
    refusal::{Ran, Refusal},
    schedule::End,
    sse,
};

use crate::process::limits::ChargeGuard;

use super::{
    answer::{self, Broken, Response},
    core::Core,
    relay::{self, Failure, Job},
};

/// Events that may wait for a slow caller.
const BUFFER: usize = 16;

/// Time for the last event to leave before the connection is broken off.
const FLUSH: time::Duration = time::Duration::from_millis(50);

type Events = mpsc::Sender<Result<Frame<Bytes>, Broken>>;

/// What became of passing on one target's events.
enum Part {
    /// The stream is complete.
    Done,
    /// The target broke off.
    Failed(Failure),
    /// The caller went away.
    Gone,
    /// The key was withdrawn.
    Withdrawn,
}

/// A streamed request while it is passed on.
struct Relay {
    core: sync::Arc<Core>,
    job: Job,
    charged: Option<ChargeGuard>,
    /// Tokens that the prompt was estimated to take.
    prompt: u64,
    /// Whether the caller asked to be told the usage.
    usage: bool,
    /// Takes the head of the answer, until it was given.
    head: Option<oneshot::Sender<Result<Response, Refusal>>>,
    events: Events,
    /// Body to go with the head.
    body: Option<answer::Body>,
    /// Output events passed on.
    delivered: u64,
    resumable: bool,
}

/// Relays a streamed request.
pub(super) async fn relay(
    core: &sync::Arc<Core>,
    job: Job,
    charged: Option<ChargeGuard>,
    prompt: u64,
    usage: bool,
) -> Result<Response, Refusal> {
    let (sender, head) = oneshot::channel();
    let (events, frames) = mpsc::channel(BUFFER);
    let body = StreamBody::new(wrappers::ReceiverStream::new(frames)).boxed_unsync();
    let relay = Relay {
        core: core.clone(),
        job,
        charged,
        prompt,
        usage,
        head: Some(sender),
        events: events.clone(),
        body: Some(body),
        delivered: 0,
        resumable: false,
    };
    let abort = AbortOnDrop(tokio::spawn(async move {
        tokio::select! {
            () = relay.run() => {}
            // The caller went away: dropping the relay closes the connection
            // to the target, gives its place up and refunds the rest.
            () = events.closed() => {}
        }
    }));
    let answer = head.await.unwrap_or(Err(Refusal::TargetFailed { ran: Ran::Unknown }));
    abort.release();
    answer
}

/// Ends the relay if its caller goes away before the head was given.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl AbortOnDrop {
    fn release(self) {
        std::mem::forget(self);
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Relay {
    async fn run(mut self) {
        let mut tries = 0;
        loop {
            let slot = match self.job.acquire(&self.core).await {
                Ok(slot) => slot,
                Err(refusal) => return self.fail(refusal).await,
            };
            tries += 1;
            self.core.retries.lock().record_attempt();
            if let Some(charged) = self.charged.as_mut().filter(|_| self.delivered == 0) {
                charged.mark_sent();
            }
            let resume = (self.delivered > 0).then_some(self.delivered);
            let failure = match self.job.send(&self.core, &slot, resume, false).await {
                Err(failure) => failure,
                Ok(answer) if !is_stream(&answer.head) => {
                    return self.pass_whole(slot, answer).await;
                }
                Ok(answer) => {
                    let load = answer.load;
                    match self.pass_events(answer).await {
                        Part::Done => {
                            slot.end(End::Finished, load);
                            return self.job.finished(&self.core);
                        }
                        Part::Gone => return,
                        Part::Withdrawn => return self.fail(Refusal::KeyWithdrawn).await,
                        Part::Failed(failure) => failure,
                    }
                }
            };
            let going_on = self.job.failed(&self.core, slot, failure, tries).await;
            let stuck = self.delivered > 0 && !self.resumable;
            match going_on {
                Err(refusal) => return self.fail(refusal).await,
                Ok(()) if stuck => return self.fail(Refusal::TargetFailed { ran: Ran::Yes }).await,
                Ok(()) => {}
            }
        }
    }

    /// Passes on an answer that is not a stream, such as a refusal of the
    /// target.
    async fn pass_whole(mut self, slot: super::dispatch::Slot, answer: relay::Answer) {
        let head = answer.head;
        match relay::collect(answer.body).await {
            Ok(body) if self.delivered == 0 => {
                slot.end(End::Finished, answer.load);
                self.used(if head.status.is_client_error() { Some(0) } else { None });
                let response = relay::passed_on(&head, answer::full(body));
                if let Some(sender) = self.head.take() {
                    // A caller that went away needs no answer.
                    let _ = sender.send(Ok(response));
                }
            }
            _ => {
                drop(slot);
                self.fail(Refusal::TargetFailed { ran: Ran::Unknown }).await;
            }
        }
    }

    async fn pass_events(&mut self, answer: relay::Answer) -> Part {
        let relay::Answer { head, mut body, .. } = answer;
        self.resumable = head.headers.contains_key(relay::RESUMABLE_HEADER);
        self.used_so_far();
        if let Some(sender) = self.head.take() {
            let Some(body) = self.body.take() else {
                return Part::Gone;
            };
            if sender.send(Ok(relay::passed_on(&head, body))).is_err() {
                return Part::Gone;
            }
        }
        let mut changes = self.core.changes();
        let mut splitter = sse::Splitter::default();
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(relay::STALL, body.frame()) => frame,
                _ = changes.changed() => {
                    if self.is_withdrawn() {
                        return Part::Withdrawn;
                    }
                    continue;
                }
            };
            let data = match frame {
                Err(_) => return Part::Failed(Failure::Stalled),
                Ok(None | Some(Err(_))) => return Part::Failed(Failure::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if splitter.push(&data).is_err() {
                return Part::Failed(Failure::Broken);
            }
            while let Some(event) = splitter.next_event() {
                if let Some(end) = self.pass_event(event).await {
                    return end;
                }
            }
        }
    }

    /// Passes on one event, and returns how the stream ended if it did.
    async fn pass_event(&mut self, event: Bytes) -> Option<Part> {
        let meaning = sse::event_kind(&event);
        match meaning {
            sse::EventKind::Output => {
                self.delivered += 1;
                self.used_so_far();
            }
            sse::EventKind::Usage(tokens) => {
                self.used(Some(tokens));
                if !self.usage {
                    return None;
                }
            }
            sse::EventKind::Done | sse::EventKind::Other => {}
        }
        if self.events.send(Ok(Frame::data(event))).await.is_err() {
            return Some(Part::Gone);
        }
        (meaning == sse::EventKind::Done).then_some(Part::Done)
    }

    /// Notes the tokens used up to here, with what is on the way and not yet
    /// read.
    fn used_so_far(&mut self) {
        self.used(Some(self.prompt + self.delivered + BUFFER as u64));
    }

    /// Notes the tokens used; without a number all that was charged is.
    fn used(&mut self, tokens: Option<u64>) {
        if let (Some(charged), Some(tokens)) = (&mut self.charged, tokens) {
            charged.used = tokens;
        }
    }

    fn is_withdrawn(&self) -> bool {
        let live = self.core.live();
        self.job.key.as_ref().is_some_and(|k| live.scope(k).is_none())
    }

    /// Ends the request with a refusal: as the whole answer if none was begun,
    /// else as the last event of a stream that does not end regularly.
    async fn fail(mut self, refusal: Refusal) {
        if refusal.ran() == Ran::No {
            self.used(Some(0));
        }
        if let Some(sender) = self.head.take() {
            // A caller that went away needs no refusal.
            let _ = sender.send(Err(refusal));
            return;
        }
        let event = answer::event(&refusal, &self.job.id);
        if self.events.send(Ok(Frame::data(event))).await.is_ok() {
            tokio::time::sleep(FLUSH).await;
            let _ = self.events.send(Err(Broken)).await;
        }
    }
}

fn is_stream(head: &http::response::Parts) -> bool {
    let content = head.headers.get(http::header::CONTENT_TYPE);
    let events = content.is_some_and(|c| c.as_bytes().starts_with(b"text/event-stream"));
    head.status.is_success() && events
}
