//! State that outlives requests and connections: configuration records and keys,
//! the directory of targets, claims on idempotency keys, placement, and the Raft
//! log that replicates them.

pub mod announce;
pub mod catalog;
pub mod census;
pub mod claim;
pub mod culprit;
pub mod difference;
pub mod directory;
pub mod evacuation;
pub mod feed;
pub mod forwarding;
pub mod interrupted;
pub mod key;
pub mod lead;
pub mod memory;
pub mod origin;
pub mod pace;
mod persistent;
pub mod placement;
pub mod placer;
pub mod raft;
pub mod record;
pub mod search;
pub mod spread;
pub mod state;
mod sums;
pub mod supplement;
pub mod suspect;
pub mod traffic;
pub mod upstream;
pub mod view;
