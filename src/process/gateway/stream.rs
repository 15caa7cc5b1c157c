//! Streamed answers: passing on whole events, and going on at another target
//! when one breaks off.
//!
//! The body is a state that is advanced when the caller's connection can take
//! more, so a stream costs no task and no queue, and a slow caller slows its
//! target. Dropping the body, as happens when the caller is gone, closes the
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
    connection::pool::Lease,
    request::{gateway::tries::Failure, sse},
};

use super::{
    body::{Body, Broken, Response},
    core::Running,
    job::{self, Answer, Job, Place},
};

/// How long a stream may go on past its deadline, so that a target which stops
/// by itself at the deadline can end it.
const OVERTIME: time::Duration = time::Duration::from_millis(150);

/// A stream while it is passed on.
struct Relay {
    job: Job,
    source: Option<Source>,
    splitter: sse::Splitter,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    status: http::StatusCode,
}

/// The target that a stream comes from.
struct Source {
    body: Incoming,
    lease: Lease,
    place: Place,
}

/// Passes on a streamed answer.
pub(super) fn relay(job: Job, answer: Answer) -> Response {
    let Answer { head, body, lease, place } = answer;
    let relay = Relay {
        last: job.ask.last,
        job,
        source: Some(Source { body, lease, place }),
        splitter: sse::Splitter::default(),
        status: head.status,
    };
    let frames = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(event)) => Some((Ok(Frame::data(event)), Some(relay))),
            Some(Err(broken)) => Some((Err(broken), None)),
            None => None,
        }
    });
    http::Response::from_parts(job::passed(head), StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    /// Returns the next bytes to pass on; `None` at the regular end.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if let Some(events) = self.ready_events() {
                return Some(Ok(events));
            }
            let failure = match self.read().await {
                Read::More => continue,
                Read::End => return None,
                Read::Late => {
                    self.fail("the deadline");
                    return Some(Err(Broken));
                }
                Read::Failed(failure) => failure,
            };
            if self.go_on(failure).await.is_err() {
                self.fail("the target broke off");
                return Some(Err(Broken));
            }
        }
    }

    /// Returns the whole events that have arrived and were not passed on yet.
    fn ready_events(&mut self) -> Option<Bytes> {
        let mut ready = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = sse::id(&event) {
                if self.last.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last = Some(id);
            }
            ready.extend_from_slice(&event);
        }
        (!ready.is_empty()).then(|| ready.into())
    }

    /// Reads once from the target.
    async fn read(&mut self) -> Read {
        let left = self.job.left() + OVERTIME;
        let Some(source) = &mut self.source else {
            return Read::Failed(Failure::Incomplete);
        };
        let frame = match tokio::time::timeout(left, source.body.frame()).await {
            Err(_) => return Read::Late,
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if self.splitter.is_empty() => {
                self.end();
                return Read::End;
            }
            // With nothing more to come the last event is not whole.
            Ok(Some(Err(_)) | None) => return Read::Failed(Failure::Incomplete),
        };
        source.place.read();
        let data = frame.into_data().unwrap_or_default();
        match self.splitter.push(&data) {
            Ok(()) => Read::More,
            Err(_) => Read::Failed(Failure::Incomplete),
        }
    }

    fn end(&mut self) {
        if let Some(Source { lease, place, .. }) = self.source.take() {
            let core = &self.job.core;
            core.pools.keep(lease, core.clock.now());
            core.fleet.lock().record_success(&place.choice.id);
            self.job.answered(&place.choice.id, self.status);
        }
    }

    /// Has another target go on after the last event that was passed on.
    async fn go_on(&mut self, failure: Failure) -> Result<(), Broken> {
        self.splitter = sse::Splitter::default();
        if let Some(source) = self.source.take() {
            let core = &self.job.core;
            core.fleet.lock().record_failure(&source.place.choice.id, core.clock.now());
            spdlog::warn!("stream broke off", kv: {
                request = self.job.ask.id.as_str(),
                target = source.place.choice.id.as_str(),
                last = self.last.unwrap_or(0)
            });
        }
        if let Some(last) = self.last {
            self.job.resume_after(last);
        }
        self.job.failed(failure).await.map_err(|_| Broken)?;
        let answer = self.job.next_answer().await.map_err(|_| Broken)?;
        if !answer.head.status.is_success() {
            return Err(Broken);
        }
        let Answer { body, lease, place, .. } = answer;
        self.source = Some(Source { body, lease, place });
        Ok(())
    }

    fn fail(&mut self, reason: &str) {
        self.job.given_up();
        let took = self.job.core.clock.now().saturating_sub(self.job.arrived);
        spdlog::warn!("stream given up", kv: {
            request = self.job.ask.id.as_str(),
            reason = reason,
            last = self.last.unwrap_or(0),
            took_ms = job::millis(took)
        });
        self.job.core.metrics.answered(&self.job.route.name, "broken", took.as_secs_f64());
    }
}

/// What came of reading from a target.
enum Read {
    /// Bytes.
    More,
    /// The regular end.
    End,
    /// The deadline passed.
    Late,
    /// The target broke off.
    Failed(Failure),
}

/// Counts a request as running until its body is dropped.
pub(super) fn guard(body: Body, running: Running) -> Body {
    Guarded { body, _running: running }.boxed_unsync()
}

struct Guarded {
    body: Body,
    _running: Running,
}

impl hbody::Body for Guarded {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hbody::SizeHint {
        self.body.size_hint()
    }
}
