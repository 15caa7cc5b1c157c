//! Periodic work of the leading replica: detecting lost targets, planning placement
//! and sending orders.

use std::{sync, time};

use crate::{
    connection::order,
    process::{
        replica::{ProposalResult, Replica},
        timeline,
    },
    version::{key, lead, memory, raft, state, view},
};

/// Time between two rounds of the periodic work.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Runs the periodic work; does nothing while another replica leads.
pub(super) struct LeaderLoop {
    pub(super) replica: Replica,
    pub(super) timeline: sync::Arc<timeline::Timeline>,
    pub(super) order_client: order::Client,
    pub(super) first_key: Option<key::Presented>,
}

impl LeaderLoop {
    pub(super) async fn run(self) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.tick().await;
        }
    }

    async fn tick(&self) {
        let Some(changes) = self.replica.as_leader(lead::Leader::tick) else {
            return;
        };
        self.grant_first_key().await;
        for change in changes {
            self.replica.propose(change).await;
        }
        let plan = self.replica.as_leader(|leader, state, now| leader.plan(&state.view, now));
        for command in plan.unwrap_or_default() {
            let result = self.replica.propose(state::Change::View(command.clone())).await;
            if let ProposalResult::Committed { index, outcome: state::Outcome::Applied } = result {
                self.send_order(index, command);
            }
        }
    }

    /// Grants the first key from the settings, unless a key with the system scope
    /// exists. Withdrawn keys count; the last valid one can't be withdrawn.
    async fn grant_first_key(&self) {
        let Some(first_key) = &self.first_key else {
            return;
        };
        let has_system_key = self
            .replica
            .read_state(|state| state.view.keys().any(|(_, k)| k.scope == key::Scope::System));
        if has_system_key {
            return;
        }
        let grant = view::Command::GrantKey {
            id: first_key.id.clone(),
            digest: first_key.digest,
            scope: key::Scope::System,
        };
        self.replica.propose(state::Change::View(grant)).await;
    }

    /// Sends the order that was committed at `index`, and proposes the target's
    /// acknowledgement. Other commands are ignored.
    fn send_order(&self, index: raft::Index, command: view::Command) {
        let view::Command::Order { target, incarnation, verb, item, memory } = command else {
            return;
        };
        let address =
            self.replica.read_state(|state| state.view.targets().get(&target).map(|t| t.address));
        let Some(address) = address else {
            return;
        };
        self.timeline.record(timeline::Kind::Ordered {
            target: target.clone(),
            order: format!("{verb:?} {item}"),
            fence: index,
        });
        let (replica, order_client) = (self.replica.clone(), self.order_client.clone());
        tokio::spawn(async move {
            let order = order::Order {
                address,
                verb,
                item: item.clone(),
                memory,
                fence: index,
                incarnation,
            };
            let Some(ack) = order_client.send(&order).await else {
                replica.as_leader(|leader, _, now| leader.answer_lost(&target, &item, now));
                return;
            };
            acknowledge(&replica, target, incarnation, item, index, ack).await;
        });
    }
}

async fn acknowledge(
    replica: &Replica,
    target: String,
    incarnation: u64,
    item: memory::Item,
    fence: raft::Index,
    ack: memory::Ack,
) {
    let command = view::Command::Acknowledge { target, incarnation, item, fence, ack };
    replica.propose(state::Change::View(command)).await;
}
