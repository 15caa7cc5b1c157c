//! Streamed responses: forwards complete server-sent events, and resumes the stream
//! at another target when a target fails.
//!
//! The response body is polled when the caller's connection can take more data, so a
//! stream needs no task and no queue, and a slow caller exerts back-pressure on the
//! target. When the caller disconnects, the body is dropped, which closes the
//! connection to the target at once.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time,
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{self as hbody, Frame, Incoming};

use crate::{
    connection::{framing::Framing, pool::Lease, stray},
    request::{
        gateway::{crash_log::SERVED_EVENTS, tries::Failure},
        sse,
    },
};

use super::{
    attempt::{self, Delivery, InFlightAttempt, TargetResponse},
    body::{Body, Response, Truncated},
    core::InFlight,
    crashes,
    job::{self, Job},
};

/// How long a stream may continue past its deadline, so that a target which stops at
/// the deadline on its own can still end the stream properly.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(150);

/// A stream that is being forwarded.
struct Relay {
    job: Job,
    /// `None` while the stream is being resumed at another target.
    source: Option<Source>,
    splitter: sse::Splitter,
    /// Id of the last event that was forwarded, or that the caller named as its last.
    last_id: Option<u64>,
    /// Whether an event without an id was forwarded, so that a target can't be told where to
    /// continue.
    unnumbered: bool,
    status: http::StatusCode,
    media_type: Option<String>,
}

/// The target that the stream is read from.
struct Source {
    body: Incoming,
    lease: Lease,
    attempt: InFlightAttempt,
    /// Number of events forwarded.
    events: u32,
    /// Highest id of an event, forwarded or not.
    highest: Option<u64>,
    delivery: Delivery,
    /// Whether it continues a stream of which the caller has events of another target.
    continues: bool,
    /// Whether it sent something that does not continue the stream.
    is_foreign: bool,
}

impl Source {
    fn new(response: TargetResponse, continues: bool) -> Self {
        let delivery = response.delivery();
        let TargetResponse { body, lease, attempt, .. } = response;
        Self {
            body,
            lease,
            attempt,
            events: 0,
            highest: None,
            delivery,
            continues,
            is_foreign: false,
        }
    }

    /// Returns true if the end of the body may be the end of the stream, of which the caller has
    /// the event `last`. One that ends with its connection before the first event was cut short,
    /// and one whose events end before `last` is another stream.
    fn may_end(&self, last: Option<u64>) -> bool {
        let has_begun = self.delivery.framing != Framing::CloseDelimited || self.events > 0;
        has_begun && self.highest.is_none_or(|id| Some(id) >= last)
    }
}

/// Returns a response that forwards the events of `response` as they arrive.
pub(super) fn relay(job: Job, response: TargetResponse) -> Response {
    let head = response.head.clone();
    let relay = Relay {
        last_id: job.request.last_event_id,
        job,
        source: Some(Source::new(response, false)),
        splitter: sse::Splitter::default(),
        unnumbered: false,
        media_type: media_type(&head),
        status: head.status,
    };
    let frames = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(event)) => Some((Ok(Frame::data(event)), Some(relay))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    http::Response::from_parts(
        attempt::strip_connection_headers(head),
        StreamBody::new(frames).boxed_unsync(),
    )
}

impl Relay {
    /// Returns the next bytes to forward; `None` at the regular end.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            if let Some(events) = self.take_events() {
                return Some(Ok(events));
            }
            let failure = match self.read_frame().await {
                ReadOutcome::Data => continue,
                ReadOutcome::End => return None,
                ReadOutcome::DeadlinePassed => {
                    self.abort("deadline exceeded");
                    return Some(Err(Truncated));
                }
                ReadOutcome::Failed(failure) => failure,
            };
            if self.resume_elsewhere(failure).await.is_err() {
                self.abort("stream broken off by the target and not resumed");
                return Some(Err(Truncated));
            }
        }
    }

    /// Takes the complete events that have arrived. An event whose id is not above the
    /// last one is dropped, so that events repeated after a resumption are not forwarded
    /// twice. In a continuation, one without an id is not the next event of the stream. Neither
    /// is the head of another response. What follows either is not taken.
    fn take_events(&mut self) -> Option<Bytes> {
        let source = self.source.as_mut().filter(|s| !s.is_foreign)?;
        let continues = source.continues;
        let may_contain_head = source.delivery.framing == Framing::CloseDelimited;
        let id_header = self.job.core.dialect.id_header();
        let mut events = Vec::new();
        let (mut count, mut comments) = (0, 0);
        while let Some(event) = self.splitter.next_event() {
            let id = sse::id(&event);
            source.highest = source.highest.max(id);
            match id {
                _ if may_contain_head && contains_head(&event, id_header) => {
                    source.is_foreign = true;
                    break;
                }
                Some(id) if self.last_id.is_some_and(|last| id <= last) => continue,
                Some(id) => self.last_id = Some(id),
                None if sse::is_comment(&event) => comments += 1,
                None if continues => {
                    source.is_foreign = true;
                    break;
                }
                None => self.unnumbered = true,
            }
            events.extend_from_slice(&event);
            count += 1;
        }
        self.count_events(count, comments);
        (!events.is_empty()).then(|| events.into())
    }

    /// Counts events that are forwarded, some of which are comments, and records when there are
    /// enough of them to tell that the request does not crash its target.
    fn count_events(&mut self, count: u32, comments: u32) {
        let Some(source) = &mut self.source else {
            return;
        };
        let before = source.events;
        source.events += count;
        source.attempt.record_events(count - comments);
        if before < SERVED_EVENTS && source.events >= SERVED_EVENTS {
            self.job.record_served();
        }
    }

    /// Reads one frame from the target.
    async fn read_frame(&mut self) -> ReadOutcome {
        // Counted from the deadline also after it, so that a target which sends a byte now and
        // then does not keep the stream open.
        let end = self.job.deadline + DEADLINE_MARGIN;
        let timeout = end.saturating_sub(self.job.core.clock.now());
        let Some(source) = self.source.as_mut().filter(|s| !s.is_foreign) else {
            return ReadOutcome::Failed(Failure::Incomplete);
        };
        let frame = match tokio::time::timeout(timeout, source.body.frame()).await {
            Err(_) => return ReadOutcome::DeadlinePassed,
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if self.splitter.is_empty() && source.may_end(self.last_id) => {
                let (choice, framing) = (&source.attempt.choice, source.delivery.framing);
                if let Err(failure) = self.job.confirm_end(choice, framing).await {
                    return ReadOutcome::Failed(failure);
                }
                self.finish();
                return ReadOutcome::End;
            }
            // The connection failed, or ended in the middle of an event or before the first.
            Ok(Some(Err(_)) | None) => return ReadOutcome::Failed(Failure::Incomplete),
        };
        source.attempt.record_first_output();
        let data = frame.into_data().unwrap_or_default();
        match self.splitter.push(&data) {
            Ok(()) => ReadOutcome::Data,
            Err(_) => ReadOutcome::Failed(Failure::Incomplete),
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let Source { lease, mut attempt, delivery, events, .. } = source;
            self.job.record_served();
            attempt.record_served();
            if self.job.request.last_event_id.is_none() {
                self.job.record_length(events);
            }
            let core = &self.job.core;
            core.pools.release(lease, core.clock.now());
            core.fleet.lock().record_success(&attempt.choice.id);
            let delivery = Delivery { last: self.last_id, ..delivery };
            self.job.record_response(&attempt.choice.id, self.status, delivery);
        }
    }

    /// Resumes the stream after the last forwarded event at a target of the same software
    /// version, if possible one that was not tried yet. A response that is no continuation
    /// counts as a failed attempt.
    async fn resume_elsewhere(&mut self, failure: Failure) -> Result<(), Truncated> {
        self.splitter = sse::Splitter::default();
        if let Some(source) = self.source.take() {
            if source.events > 0 {
                self.job.require_software(&source.attempt.choice.software);
            }
            let core = &self.job.core;
            core.fleet.lock().record_failure(&source.attempt.choice.id, core.clock.now());
            core.fleet.lock().record_broken(&source.attempt.choice.id);
            if source.events < SERVED_EVENTS {
                crashes::check_target(core, &source.attempt.choice, &self.job.fingerprints);
            }
            spdlog::warn!("stream from target broken off", kv: {
                request = self.job.request.id.as_str(),
                target = source.attempt.choice.id.as_str(),
                software = source.attempt.choice.software.as_str(),
                segments = self.job.shared_segment_ids().as_str(),
                framing = source.delivery.framing.name(),
                relayed = source.delivery.relayed,
                foreign = source.is_foreign,
                last = self.last_id.unwrap_or(0)
            });
        }
        if self.unnumbered {
            return Err(Truncated);
        }
        if let Some(last) = self.last_id {
            self.job.resume_after(last);
        }
        let mut failure = failure;
        loop {
            self.job.handle_failure(failure).await.map_err(|_| Truncated)?;
            let response = self.job.next_response().await.map_err(|_| Truncated)?;
            if self.continues(&response.head) {
                self.job.confirm_begun().await.map_err(|_| Truncated)?;
                self.source = Some(Source::new(response, self.last_id.is_some()));
                return Ok(());
            }
            let id = response.attempt.choice.id.as_str();
            self.job.record_failure(id, "no continuation", response.head.status.as_str());
            failure = Failure::ErrorResponse;
        }
    }

    /// Returns true if a response has the form of the one whose head the caller has.
    fn continues(&self, head: &http::response::Parts) -> bool {
        head.status == self.status
            && media_type(head) == self.media_type
            && !head.headers.contains_key(http::header::CONTENT_ENCODING)
    }

    fn abort(&mut self, reason: &str) {
        self.job.mark_over();
        let took = self.job.core.clock.now().saturating_sub(self.job.arrived_at);
        spdlog::warn!("stream to caller aborted", kv: {
            request = self.job.request.id.as_str(),
            reason = reason,
            last = self.last_id.unwrap_or(0),
            took_ms = job::millis(took)
        });
        self.job.core.metrics.record_response(&self.job.route.name, "broken", took.as_secs_f64());
    }
}

/// Returns true if an event that a target sent has the head of another response in it.
fn contains_head(event: &[u8], id_header: &str) -> bool {
    stray::begins_head(event) || stray::contains_head(event, id_header)
}

/// Returns the type of a response's body, without parameters.
fn media_type(head: &http::response::Parts) -> Option<String> {
    let text = head.headers.get(http::header::CONTENT_TYPE)?.to_str().ok()?;
    Some(text.split(';').next()?.trim().to_ascii_lowercase())
}

/// Result of reading from a target.
enum ReadOutcome {
    /// Data was added to the splitter.
    Data,
    /// The stream ended after a complete event.
    End,
    /// [`DEADLINE_MARGIN`] after the deadline, the target had not sent more.
    DeadlinePassed,
    /// The stream was cut short or contained an event that is too large.
    Failed(Failure),
}

/// Counts a request as in flight until its response body is dropped.
pub(super) fn track(body: Body, in_flight: InFlight) -> Body {
    TrackedBody { body, _in_flight: in_flight }.boxed_unsync()
}

struct TrackedBody {
    body: Body,
    _in_flight: InFlight,
}

impl hbody::Body for TrackedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hbody::SizeHint {
        self.body.size_hint()
    }
}
