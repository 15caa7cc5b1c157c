//! Server-sent events: cutting a byte stream into whole events.
//!
//! Only whole events are passed on, so that what a caller has received is known
//! exactly when a target breaks off, and the stream can go on elsewhere.

use bytes::{Buf as _, Bytes, BytesMut};
use serde::Deserialize;
use snafu::Snafu;

/// Largest event, in bytes.
const EVENT_BYTES: usize = 1 << 20;

/// The data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// An event grew too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event is larger than {EVENT_BYTES} bytes"))]
pub struct TooLarge;

/// What an event means to the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// Output of the model.
    Output,
    /// The tokens used, prompt and output.
    Usage(u64),
    /// The stream is complete.
    Done,
    /// A comment or something else.
    Other,
}

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if an event grew too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > EVENT_BYTES { Err(TooLarge) } else { Ok(()) }
    }

    /// Returns true if no part of an event is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next whole event with its blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let plain = memchr::memmem::find(&self.buffer, b"\n\n").map(|at| at + 2);
        let carriage = memchr::memmem::find(&self.buffer, b"\r\n\r\n").map(|at| at + 4);
        let end = plain.into_iter().chain(carriage).min()?;
        let event = self.buffer.copy_to_bytes(end);
        Some(event)
    }
}

/// Reads the id of an event, if it has a numeric one.
#[must_use]
pub fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|l| l.strip_prefix("id:"))?.trim().parse().ok()
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
}

/// Reads what an event means.
#[must_use]
pub fn meaning(event: &[u8]) -> Meaning {
    let Ok(text) = std::str::from_utf8(event) else {
        return Meaning::Other;
    };
    let Some(data) = text.lines().find_map(|l| l.strip_prefix("data:")) else {
        return Meaning::Other;
    };
    let data = data.trim();
    if data == DONE {
        return Meaning::Done;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return Meaning::Other;
    };
    match chunk.usage {
        Some(usage) if chunk.choices.is_empty() => Meaning::Usage(usage.total_tokens),
        _ => Meaning::Output,
    }
}

/// Reads the tokens that an answer says it used.
///
/// # Errors
///
/// Returns an error if the answer is not a JSON object.
pub fn usage(answer: &[u8]) -> Result<Option<u64>, serde_json::Error> {
    let chunk: Chunk = serde_json::from_slice(answer)?;
    Ok(chunk.usage.map(|u| u.total_tokens))
}
