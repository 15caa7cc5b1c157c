//! Log of the membership that this replica uses, and of the times in which it knows no leader.
//!
//! A group that does not recover is short of voters, or of replies. The lines name the voters, so
//! that these can be told apart from the logs of the others.

use std::time;

use crate::version::raft;

/// Shortest time without a leader that is logged. An election takes less.
const MIN_LOGGED: time::Duration = time::Duration::from_secs(2);

/// Time between two lines while there is no leader.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// What was logged last.
#[derive(Debug, Default)]
pub(super) struct GroupLog {
    members: raft::Members,
    leaderless_since: Option<time::Duration>,
    logged_at: Option<time::Duration>,
}

impl GroupLog {
    /// Records the state of the Raft node at `now`. To be called many times a second.
    pub(super) fn record(&mut self, node: &raft::Raft, now: time::Duration) {
        if *node.members() != self.members {
            self.members = node.members().clone();
            self.log_members(node);
        }
        if node.leader().is_none() {
            self.record_leaderless(node, now);
            return;
        }
        let since = self.leaderless_since.take();
        if let Some(since) = since.filter(|_| self.logged_at.take().is_some()) {
            spdlog::info!("group has a leader again", kv: {
                leader = node.leader().unwrap_or_default(),
                term = node.term(),
                lasted_ms = millis(now.saturating_sub(since))
            });
        }
    }

    fn log_members(&self, node: &raft::Raft) {
        spdlog::info!("members of the group changed", kv: {
            voters = ids(&self.members.voters).as_str(),
            learners = ids(&self.members.learners).as_str(),
            index = node.log().last_position().index,
            term = node.term()
        });
    }

    fn record_leaderless(&mut self, node: &raft::Raft, now: time::Duration) {
        let since = *self.leaderless_since.get_or_insert(now);
        let due_at = self.logged_at.map_or(since + MIN_LOGGED, |at| at + REPEAT_INTERVAL);
        if now < due_at {
            return;
        }
        self.logged_at = Some(now);
        let last = node.log().last_position();
        spdlog::warn!("group has no leader known here", kv: {
            for_ms = millis(now.saturating_sub(since)),
            role = format!("{:?}", node.role()).as_str(),
            term = node.term(),
            last_term = last.term,
            last_index = last.index,
            voters = ids(&self.members.voters).as_str()
        });
    }
}

fn ids<T>(replicas: &std::collections::BTreeMap<raft::NodeId, T>) -> String {
    let ids: Vec<_> = replicas.keys().map(|id| format!("{id:x}")).collect();
    ids.join(" ")
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
