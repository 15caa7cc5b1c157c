//! What messages to other replicas take in memory, and which of them may be dropped.

use std::mem;

use crate::{
    connection::{outbox::Class, peer},
    version::{raft, traffic},
};

/// Bytes of a message without content that varies.
const MESSAGE_BYTES: usize = 128;

/// Bytes of an announcement with some models and adapters.
const ANNOUNCEMENT_BYTES: usize = 512;

/// Bytes of a load, a demand, a rate or a stream, with the names in it.
const ITEM_BYTES: usize = 96;

/// Returns the class of a message to another replica.
pub(super) fn class(body: &peer::Body) -> Class {
    match body {
        peer::Body::Gossip { gossip, .. } => match gossip {
            peer::Gossip::Leaving { .. } => Class::Departure,
            peer::Gossip::TargetAnnounced(_)
            | peer::Gossip::TargetsAnnounced(_)
            | peer::Gossip::HoldingsUpdated(_)
            | peer::Gossip::StreamsBegun(_) => Class::State,
            peer::Gossip::Traffic(_) | peer::Gossip::TrafficDifference(_) => Class::Loads,
        },
        _ => Class::Log,
    }
}

/// Returns about how many bytes a message to another replica takes while it waits.
pub(super) fn bytes(body: &peer::Body) -> usize {
    let content = match body {
        peer::Body::Raft(message) => raft_bytes(message),
        peer::Body::Gossip { gossip, .. } => match gossip {
            peer::Gossip::TargetAnnounced(_) | peer::Gossip::HoldingsUpdated(_) => {
                ANNOUNCEMENT_BYTES
            }
            peer::Gossip::TargetsAnnounced(targets) => ANNOUNCEMENT_BYTES * targets.len(),
            peer::Gossip::StreamsBegun(streams) => ITEM_BYTES * streams.len(),
            peer::Gossip::Traffic(report) => report_bytes(report),
            peer::Gossip::TrafficDifference(gossip) => {
                ITEM_BYTES * gossip.difference.items() + mem::size_of_val(&*gossip.paces)
            }
            peer::Gossip::Leaving { .. } => 0,
        },
        _ => 0,
    };
    MESSAGE_BYTES + content
}

/// Returns the bytes of a message of the log. A snapshot is shared with the log itself.
fn raft_bytes(message: &raft::Message) -> usize {
    let raft::Body::Append { entries, .. } = &message.body else {
        return 0;
    };
    let bytes = entries.iter().map(|entry| match &entry.payload {
        raft::Payload::Command(command) => ITEM_BYTES + command.len(),
        raft::Payload::Noop | raft::Payload::Members(_) => ITEM_BYTES,
    });
    bytes.sum()
}

fn report_bytes(report: &traffic::Report) -> usize {
    let items = report.loads.len() + report.demands.len() + report.token_rates.len();
    ITEM_BYTES * items + mem::size_of_val(&*report.paces)
}
