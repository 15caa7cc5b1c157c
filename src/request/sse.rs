//! Server-sent events: splitting a byte stream into whole events.
//!
//! Only whole events are passed on. If a target fails in the middle of a
//! stream, it is then known exactly what the caller has received, and another
//! target can continue from there.

use bytes::{Buf as _, Bytes, BytesMut};
use serde::Deserialize;
use snafu::Snafu;

/// Largest accepted event.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Largest usage that is accepted, in tokens.
const MAX_USAGE: u64 = 1 << 40;

/// Bytes of a terminator that may have been received without its last one.
const TERMINATOR_OVERLAP: usize = 3;

/// Data of the event that ends a complete stream.
const DONE_DATA: &str = "[DONE]";

/// More than `MAX_EVENT_BYTES` were received without the end of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event is larger than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLarge;

/// What an event of a completion stream contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Output of the model.
    Output,
    /// Tokens used by the whole request, prompt and output.
    Usage(u64),
    /// End of a complete stream.
    Done,
    /// Error of the target, after which it sends no further output.
    Error,
    /// A comment, or data in another format.
    Other,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the part of the buffer that is known to contain no end of an event. An
    /// event that arrives in many pieces is searched only once.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if more than `MAX_EVENT_BYTES` are buffered without the end of
    /// an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES && self.find_end().is_none() {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Returns true if nothing is buffered, neither whole events nor part of
    /// one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the next whole event, including the blank line that
    /// ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.searched = 0;
        Some(self.buffer.copy_to_bytes(end))
    }

    /// Returns the end of the first event, after the blank line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(TERMINATOR_OVERLAP);
        let rest = &self.buffer[from..];
        let lf = memchr::memmem::find(rest, b"\n\n").map(|at| from + at + 2);
        let crlf = memchr::memmem::find(rest, b"\r\n\r\n").map(|at| from + at + 4);
        let end = lf.into_iter().chain(crlf).min();
        if end.is_none() {
            self.searched = self.buffer.len();
        }
        end
    }
}

/// Returns the id of an event, if it has a numeric one.
#[must_use]
pub fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|l| l.strip_prefix("id:"))?.trim().parse().ok()
}

/// Returns true if an event has nothing but comments.
#[must_use]
pub fn is_comment(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
    choices: Option<Vec<serde::de::IgnoredAny>>,
    error: Option<serde::de::IgnoredAny>,
}

/// Classifies an event by its data.
#[must_use]
pub fn event_kind(event: &[u8]) -> EventKind {
    let Ok(text) = std::str::from_utf8(event) else {
        return EventKind::Other;
    };
    let field = |name| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    if field("event:") == Some("error") {
        return EventKind::Error;
    }
    let Some(data) = field("data:") else {
        return EventKind::Other;
    };
    if data == DONE_DATA {
        return EventKind::Done;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return EventKind::Other;
    };
    match (chunk.choices, chunk.usage) {
        _ if chunk.error.is_some() => EventKind::Error,
        (Some(choices), None) if choices.is_empty() => EventKind::Output,
        (Some(choices), _) if !choices.is_empty() => EventKind::Output,
        (_, Some(usage)) if usage.total_tokens <= MAX_USAGE => EventKind::Usage(usage.total_tokens),
        _ => EventKind::Other,
    }
}

/// Returns the total tokens that the body of a response states as used, if that is no absurd
/// number.
///
/// # Errors
///
/// Returns an error if the body is not JSON or its usage is malformed.
pub fn usage(body: &[u8]) -> Result<Option<u64>, serde_json::Error> {
    let chunk: Chunk = serde_json::from_slice(body)?;
    Ok(chunk.usage.map(|u| u.total_tokens).filter(|tokens| *tokens <= MAX_USAGE))
}
