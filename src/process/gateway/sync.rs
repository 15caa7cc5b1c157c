//! The task that exchanges traffic for changes of the view and of the targets.

use std::{sync, time};

use rand::RngExt as _;

use crate::{
    connection::peer::{self, Synced},
    request::gateway::fleet,
    version::{raft, traffic},
};

use super::core::Core;

/// Time between two exchanges.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// How long a replica may take to answer before another is asked.
const TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Pause before another replica is asked.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// What is known of a replica's directory.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    epoch: u64,
    revision: u64,
}

/// What came of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchanged {
    /// The replica knows all changes of the view and is in this failure domain.
    Near,
    /// It knows all changes of the view and is elsewhere.
    Away,
    /// It does not answer, or can't tell whether it knows all changes.
    Useless,
}

/// Talks to one replica for as long as it answers, then to the next. One in this
/// failure domain is looked for first.
pub(super) async fn run(core: sync::Arc<Core>) {
    let mut at: usize = rand::rng().random_range(0..1_000);
    // Replicas elsewhere that were talked to since one failed.
    let mut away = 0;
    let mut known = Known::default();
    let mut reached = true;
    loop {
        let replicas = replicas(&core);
        if replicas.is_empty() {
            tokio::time::sleep(INTERVAL).await;
            continue;
        }
        let node = replicas[at % replicas.len()];
        let exchanged = exchange(&core, node, &mut known).await;
        let useful = exchanged != Exchanged::Useless;
        if useful != reached {
            reached = useful;
            if useful {
                spdlog::info!("regained control", kv: { replica = node });
            } else {
                spdlog::warn!("lost control", kv: { replica = node });
            }
        }
        match exchanged {
            Exchanged::Away if away < replicas.len() => {
                away += 1;
                at += 1;
            }
            Exchanged::Near | Exchanged::Away => {}
            Exchanged::Useless => {
                away = 0;
                at += 1;
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Returns the replicas to ask: those of the group, and those that settings
/// name in case the group has moved while nobody could be asked.
fn replicas(core: &Core) -> Vec<raft::NodeId> {
    let mut replicas = core.control.replicas();
    replicas.extend(core.seeds.load().iter());
    replicas.sort_unstable();
    replicas.dedup();
    replicas
}

/// Exchanges once.
async fn exchange(core: &sync::Arc<Core>, node: raft::NodeId, known: &mut Known) -> Exchanged {
    let live = core.live();
    let sent = core.clock.now();
    let mut report = core.fleet.lock().own(sent);
    let spending = core.limits.requested_rates().into_iter();
    report.token_rates =
        spending.map(|(workspace, rate)| traffic::TokenRate { workspace, rate }).collect();
    let call = peer::Call::Sync(peer::Sync {
        entry: core.entry,
        index: live.feed.index(),
        epoch: known.epoch,
        revision: known.revision,
        report,
    });
    let Ok(peer::Reply::Synced(synced)) = core.control.call(node, call, TIMEOUT).await else {
        return Exchanged::Useless;
    };
    let Synced { update, domain, epoch, revision, announced, report, heard, gateways, replicas } =
        *synced;
    *known = Known { epoch, revision };
    core.control.set_replicas(&replicas);
    core.hear(announced, &report, fleet::Gateways { heard, all: gateways });
    core.share_limits();
    let Some(update) = update else {
        return Exchanged::Useless;
    };
    let mut feed = live.feed.clone();
    update.advance(&mut feed, sent);
    core.install(feed);
    if domain == core.options.domain { Exchanged::Near } else { Exchanged::Away }
}
