//! The task that keeps the entry's copy of the view fresh.

use std::{sync, time};

use crate::{connection::peer, version::raft};

use super::core::Core;

/// Time between polls.
const INTERVAL: time::Duration = time::Duration::from_millis(400);

/// How long a replica may take to answer before another is asked.
const TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Pause before another replica is asked.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// Polls one replica for as long as it answers, then the next.
pub(super) async fn run(core: sync::Arc<Core>) {
    let replicas = core.control.replicas();
    if replicas.is_empty() {
        return;
    }
    // Entries spread over the replicas by their sessions.
    let mut at = usize::try_from(core.session().0 >> 32).unwrap_or(0);
    loop {
        if poll(&core, replicas[at % replicas.len()]).await {
            tokio::time::sleep(INTERVAL).await;
        } else {
            at += 1;
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Polls a replica once, and returns whether it gave a useful answer.
async fn poll(core: &sync::Arc<Core>, node: raft::NodeId) -> bool {
    let live = core.live();
    let sent = core.clock.now();
    let call = peer::Call::Poll { index: live.feed.index() };
    let mut feed = live.feed.clone();
    match core.control.call(node, call, TIMEOUT).await {
        Ok(peer::Reply::Update(update)) => update.apply_to(&mut feed, sent),
        _ => return false,
    }
    core.install(feed);
    true
}
