//! Decisions of a gateway about one request: whether it is admitted, which
//! target it is sent to, and what follows a failed attempt.
//!
//! A gateway routes by a [catalog](crate::version::catalog) and forwards
//! requests and responses unchanged. This module performs no input or output,
//! so tests can drive it without a network.

pub mod admit;
pub mod begun;
pub mod budget;
pub mod cache;
pub mod continuation;
pub mod crash_log;
pub mod fleet;
pub mod inquiry;
pub mod intake;
pub mod pace;
pub mod pick;
pub mod reach;
pub mod suspension;
pub mod tries;

use serde::{Deserialize, Serialize};

use crate::version::directory;

/// A part of a prompt. Prompts that begin with the same segments share a prefix,
/// which an engine may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Identifies the text of the segment.
    pub id: u64,
    /// Length of the segment.
    pub tokens: u32,
}

/// What a request to a model engine states about its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is needed.
    pub adapter: Option<String>,
    /// Length of the whole prompt; zero if not stated.
    pub tokens: u32,
    /// Upper bound of the output; zero if not stated.
    pub max_output_tokens: u32,
    /// In prompt order. The last one is not shared with other requests.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// Returns the segments that other prompts may share: all but the last.
    #[must_use]
    pub fn shared_segments(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the ids of the shared segments for a log line, in hexadecimal.
    #[must_use]
    pub fn shared_segment_ids(&self) -> String {
        let ids = self.shared_segments().iter().map(|s| format!("{:x}", s.id));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Returns the model and adapter that a target must hold to serve the
    /// request.
    #[must_use]
    pub fn requirement(&self, service: &str) -> directory::Requirement {
        directory::Requirement {
            service: service.to_owned(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
        }
    }
}
