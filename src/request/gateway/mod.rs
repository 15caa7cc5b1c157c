//! Decisions of a gateway about one request: which target it is sent to, and
//! what happens when a try fails.
//!
//! A gateway routes by a [catalog](crate::version::catalog) and passes requests
//! and answers on unchanged. Everything here is a plain computation on what the
//! gateway knows at a moment, so a test can drive it without a network.

pub mod admit;
pub mod budget;
pub mod cache;
pub mod fleet;
pub mod pick;
pub mod tries;

use serde::{Deserialize, Serialize};

use crate::version::directory;

/// A part of a prompt that other prompts may begin with as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request to a model engine says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is needed.
    pub adapter: Option<String>,
    /// Tokens of the prompt, if stated.
    pub tokens: u32,
    /// Most tokens of output, if stated.
    pub output: u32,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns what a target must hold to serve it.
    #[must_use]
    pub fn want(&self, service: &str) -> directory::Requirement {
        directory::Requirement {
            service: service.to_owned(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
        }
    }
}
