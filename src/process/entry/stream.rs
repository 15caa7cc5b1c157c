//! Streamed responses: forwards whole events, resumes the stream at another target when
//! a target fails, and ends the stream with an error event if that is not possible.

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
    stage::Stage,
};

use crate::process::limits::ChargeGuard;

use super::{
    answer::{self, Response, Truncated},
    core::Core,
    relay::{self, Failure, Job},
};

/// Events that are buffered for a slow caller.
const EVENT_BUFFER: usize = 16;

/// Time for the error event to be sent before the connection is closed.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(50);

type EventSender = mpsc::Sender<Result<Frame<Bytes>, Truncated>>;

/// Why the forwarding of one target's events ended.
enum StreamEnd {
    /// The stream is complete.
    Done,
    /// The target failed before the end of the stream.
    Failed(Failure),
    /// The target answered with an error event before any output, and it was forwarded.
    TargetError,
    /// The caller disconnected.
    CallerDisconnected,
    /// The caller's key was withdrawn.
    KeyWithdrawn,
}

/// A streamed request that is being forwarded.
struct Relay {
    core: sync::Arc<Core>,
    job: Job,
    charge: Option<ChargeGuard>,
    /// Estimated tokens of the prompt.
    prompt_tokens: u64,
    /// Whether the caller requested the event that states the usage.
    include_usage: bool,
    /// Sends the response or refusal to [`relay`]; `None` once it was sent.
    response_sender: Option<oneshot::Sender<Result<Response, Refusal>>>,
    events: EventSender,
    /// Body of the streamed response; `None` once it was sent.
    body: Option<answer::Body>,
    /// Output events forwarded to the caller. Each counts as one token.
    forwarded_outputs: u64,
    /// [`relay::RESUMABLE_HEADER`] of the target that sent the first event, if it has one.
    resumable: Option<http::HeaderValue>,
}

/// Sends a streamed request and returns once the head of the response is known. A task
/// forwards the events.
pub(super) async fn relay(
    core: &sync::Arc<Core>,
    job: Job,
    charge: Option<ChargeGuard>,
    prompt_tokens: u64,
    include_usage: bool,
) -> Result<Response, Refusal> {
    let (sender, response) = oneshot::channel();
    let (events, frames) = mpsc::channel(EVENT_BUFFER);
    let body = StreamBody::new(wrappers::ReceiverStream::new(frames)).boxed_unsync();
    let relay = Relay {
        core: core.clone(),
        job,
        charge,
        prompt_tokens,
        include_usage,
        response_sender: Some(sender),
        events: events.clone(),
        body: Some(body),
        forwarded_outputs: 0,
        resumable: None,
    };
    let abort = AbortOnDrop(tokio::spawn(async move {
        tokio::select! {
            () = relay.run() => {}
            // The caller disconnected. Dropping the relay closes the connection to the
            // target, frees the slot and refunds unused tokens.
            () = events.closed() => {}
        }
    }));
    let result = response.await.unwrap_or(Err(Refusal::TargetFailed { ran: Ran::Unknown }));
    abort.disarm();
    result
}

/// Aborts the task when dropped, as when the caller disconnects before the head of the
/// response is known.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl AbortOnDrop {
    fn disarm(self) {
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
        let mut attempts = 0;
        loop {
            let slot = match self.job.acquire(&self.core).await {
                Ok(slot) => slot,
                Err(refusal) => return self.fail(refusal).await,
            };
            attempts += 1;
            self.core.retry_budget.lock().record_attempt();
            if let Some(charge) = self.charge.as_mut().filter(|_| self.forwarded_outputs == 0) {
                charge.mark_sent();
            }
            let resume = (self.forwarded_outputs > 0).then_some(self.forwarded_outputs);
            let has_begun = self.response_sender.is_none();
            let failure = match self.job.send(&self.core, &slot, resume, false).await {
                Err(failure) => failure,
                Ok(response) if !is_stream(&response.head) && has_begun => Failure::Unusable,
                Ok(response) if !is_stream(&response.head) => {
                    return self.forward_buffered(slot, response).await;
                }
                Ok(response) if resume.is_some() && !self.can_continue(&response.head) => {
                    Failure::OtherVersion
                }
                Ok(response) => {
                    let load = response.load;
                    match self.forward_events(response).await {
                        StreamEnd::Done => {
                            slot.release(End::Finished, load);
                            return self.job.clear_suspect(&self.core);
                        }
                        StreamEnd::CallerDisconnected => return,
                        StreamEnd::KeyWithdrawn => return self.fail(Refusal::KeyWithdrawn).await,
                        StreamEnd::TargetError => {
                            slot.release(End::Finished, load);
                            return self.break_off().await;
                        }
                        StreamEnd::Failed(failure) => failure,
                    }
                }
            };
            let retry = self.job.handle_failure(&self.core, slot, failure, attempts).await;
            let cannot_resume = self.forwarded_outputs > 0 && self.resumable.is_none();
            match retry {
                Err(refusal) => return self.fail(refusal).await,
                Ok(()) if cannot_resume => {
                    return self.fail(Refusal::TargetFailed { ran: Ran::Yes }).await;
                }
                Ok(()) if self.forwarded_outputs > 0 => {
                    self.job.schedule_request.stage = Stage::Begun;
                }
                Ok(()) => {}
            }
        }
    }

    /// Returns true if a target states the same value as the one that began the stream.
    fn can_continue(&self, head: &http::response::Parts) -> bool {
        head.headers.get(relay::RESUMABLE_HEADER) == self.resumable.as_ref()
    }

    /// Forwards a response that is not a stream, such as an error of the target.
    async fn forward_buffered(
        mut self,
        slot: super::dispatch::Slot,
        response: relay::TargetResponse,
    ) {
        let load = response.load;
        if let Ok((head, body)) = relay::read_response(&self.core, response).await {
            slot.release(End::Finished, load);
            self.set_usage(if head.status.is_client_error() { Some(0) } else { None });
            let forwarded = relay::forwarded_response(&head, answer::full_body(body));
            if let Some(sender) = self.response_sender.take() {
                // Fails only if the caller has disconnected.
                let _ = sender.send(Ok(forwarded));
            }
        } else {
            drop(slot);
            self.fail(Refusal::TargetFailed { ran: Ran::Unknown }).await;
        }
    }

    /// Forwards the events of one target until the stream ends.
    async fn forward_events(&mut self, response: relay::TargetResponse) -> StreamEnd {
        let relay::TargetResponse { head, mut body, .. } = response;
        if self.forwarded_outputs == 0 {
            self.resumable = head.headers.get(relay::RESUMABLE_HEADER).cloned();
        }
        self.estimate_usage();
        if let Some(sender) = self.response_sender.take() {
            let Some(body) = self.body.take() else {
                return StreamEnd::CallerDisconnected;
            };
            if sender.send(Ok(relay::forwarded_response(&head, body))).is_err() {
                return StreamEnd::CallerDisconnected;
            }
        }
        let continues = self.forwarded_outputs > 0;
        let mut view_changes = self.core.watch_view();
        let mut splitter = sse::Splitter::default();
        let mut last_event = tokio::time::Instant::now();
        loop {
            // Counted from the last complete event: a byte now and then is no progress.
            let idle_end = last_event + relay::TARGET_IDLE_TIMEOUT;
            let frame = tokio::select! {
                frame = tokio::time::timeout_at(idle_end, body.frame()) => frame,
                _ = view_changes.changed() => {
                    if self.is_key_withdrawn() {
                        return StreamEnd::KeyWithdrawn;
                    }
                    continue;
                }
            };
            let data = match frame {
                Err(_) => return StreamEnd::Failed(Failure::TimedOut),
                Ok(None | Some(Err(_))) => return StreamEnd::Failed(Failure::Incomplete),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if splitter.push(&data).is_err() {
                return StreamEnd::Failed(Failure::Unusable);
            }
            while let Some(event) = splitter.next_event() {
                if let Some(end) = self.forward_event(event, continues).await {
                    return end;
                }
                last_event = tokio::time::Instant::now();
            }
        }
    }

    /// Forwards one event; returns why the stream ended if it did. `continues` tells whether
    /// the caller has output of another target.
    async fn forward_event(&mut self, event: Bytes, continues: bool) -> Option<StreamEnd> {
        let kind = sse::event_kind(&event);
        match kind {
            // Another target may continue the stream; the caller then must not see this.
            sse::EventKind::Error if self.forwarded_outputs > 0 => {
                return Some(StreamEnd::Failed(Failure::Unusable));
            }
            sse::EventKind::Other if continues && !sse::is_comment(&event) => {
                return Some(StreamEnd::Failed(Failure::Unusable));
            }
            sse::EventKind::Output => {
                self.forwarded_outputs += 1;
                self.estimate_usage();
            }
            sse::EventKind::Usage(tokens) => {
                self.set_usage(Some(tokens));
                if !self.include_usage {
                    return None;
                }
            }
            sse::EventKind::Done | sse::EventKind::Error | sse::EventKind::Other => {}
        }
        if self.events.send(Ok(Frame::data(event))).await.is_err() {
            return Some(StreamEnd::CallerDisconnected);
        }
        match kind {
            sse::EventKind::Done => Some(StreamEnd::Done),
            sse::EventKind::Error => Some(StreamEnd::TargetError),
            _ => None,
        }
    }

    /// Sets the usage to the tokens forwarded so far and [`EVENT_BUFFER`] more, which the
    /// target may have generated already.
    fn estimate_usage(&mut self) {
        self.set_usage(Some(self.prompt_tokens + self.forwarded_outputs + EVENT_BUFFER as u64));
    }

    /// Sets the tokens used. `None` keeps the present number.
    fn set_usage(&mut self, tokens: Option<u64>) {
        if let (Some(charge), Some(tokens)) = (&mut self.charge, tokens) {
            charge.used = tokens;
        }
    }

    fn is_key_withdrawn(&self) -> bool {
        let config = self.core.config();
        self.job.key.as_ref().is_some_and(|k| config.authorize(k).is_none())
    }

    /// Ends the request with a refusal: as the response if none has begun, else as the
    /// last event of a stream whose connection is then closed.
    async fn fail(mut self, refusal: Refusal) {
        if refusal.ran() == Ran::No {
            self.set_usage(Some(0));
        }
        if let Some(sender) = self.response_sender.take() {
            // Fails only if the caller has disconnected.
            let _ = sender.send(Err(refusal));
            return;
        }
        let event = answer::error_event(&refusal, &self.job.id);
        if self.events.send(Ok(Frame::data(event))).await.is_ok() {
            self.break_off().await;
        }
    }

    /// Ends the stream as incomplete, after the events sent so far.
    async fn break_off(self) {
        tokio::time::sleep(FLUSH_TIME).await;
        // Fails only if the caller has disconnected.
        let _ = self.events.send(Err(Truncated)).await;
    }
}

fn is_stream(head: &http::response::Parts) -> bool {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let is_event_stream =
        content_type.is_some_and(|c| c.as_bytes().starts_with(b"text/event-stream"));
    head.status.is_success() && is_event_stream
}
