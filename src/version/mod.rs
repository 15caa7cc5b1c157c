//! What lives as long as a version of the configuration: records, keys, the
//! directory of targets, claims, and the log that replicates them.

pub mod announce;
pub mod catalog;
pub mod census;
pub mod claim;
pub mod directory;
pub mod feed;
pub mod key;
pub mod lead;
pub mod memory;
mod persistent;
pub mod placement;
pub mod placer;
pub mod raft;
pub mod record;
pub mod state;
pub mod suspect;
pub mod traffic;
pub mod view;
