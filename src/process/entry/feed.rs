//! The task that keeps the cached view fresh by polling a control replica.

use std::{sync, time};

use crate::{
    connection::{control, peer},
    version::raft,
};

use super::core::Core;

/// Time between the answer to a poll and the next poll.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// How long a replica may take to answer before the next one is polled.
const POLL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Delay before the next replica is polled.
const NEXT_REPLICA_DELAY: time::Duration = time::Duration::from_millis(50);

/// Polls one replica as long as it answers, then the next. Returns at once if no
/// replica is configured.
pub(super) async fn run(core: sync::Arc<Core>) {
    let replicas = core.control.replicas();
    if replicas.is_empty() {
        return;
    }
    // The session is random, so that entry processes spread over the replicas.
    let mut index = usize::try_from(core.session().0 >> 32).unwrap_or(0);
    loop {
        if poll(&core, replicas[index % replicas.len()]).await {
            // After a time-out, too, the next poll is due.
            let _ = tokio::time::timeout(POLL_INTERVAL, core.poll_requested.notified()).await;
        } else {
            index += 1;
            tokio::time::sleep(NEXT_REPLICA_DELAY).await;
        }
    }
}

/// Polls a replica once; returns true if it answered with an update of the view.
async fn poll(core: &sync::Arc<Core>, node: raft::NodeId) -> bool {
    let config = core.config();
    let sent = core.clock.now();
    let mut cached_view = config.cached_view.clone();
    let (index, supplemented_at) = (cached_view.index(), cached_view.supplemented_at());
    let call = peer::Call::PollAll { index, supplemented_at };
    let mut reply = core.control.call(node, call, POLL_TIMEOUT).await;
    if matches!(reply, Err(control::Error::Unsupported)) {
        reply = core.control.call(node, peer::Call::Poll { index }, POLL_TIMEOUT).await;
    }
    match reply {
        Ok(peer::Reply::Update(update)) => update.apply_to(&mut cached_view, sent),
        Ok(peer::Reply::UpdateAll { update, supplement }) => {
            update.apply_to(&mut cached_view, sent);
            if let Some(supplement) = supplement {
                cached_view.supplement(supplement);
            }
        }
        _ => return false,
    }
    core.update_config(cached_view);
    true
}
