//! What the leading replica does by itself: watching targets, planning
//! placement and sending orders.

use std::{sync, time};

use crate::{
    connection::order,
    process::{
        replica::{Decision, Replica},
        timeline,
    },
    version::{key, lead, memory, raft, state, view},
};

/// Time between two turns of the leader's own work.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// What the leader does by itself.
pub(super) struct LeaderLoop {
    pub(super) replica: Replica,
    pub(super) timeline: sync::Arc<timeline::Timeline>,
    pub(super) client: order::Client,
    pub(super) first: Option<key::Presented>,
}

impl LeaderLoop {
    pub(super) async fn run(self) {
        let mut interval = tokio::time::interval(INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.turn().await;
        }
    }

    async fn turn(&self) {
        let Some(changes) = self.replica.lead(lead::Leader::tick) else {
            return;
        };
        self.grant_first().await;
        for change in changes {
            self.replica.propose(change).await;
        }
        let plan = self.replica.lead(|leader, state, now| leader.plan(&state.view, now));
        for command in plan.unwrap_or_default() {
            let decision = self.replica.propose(state::Change::View(command.clone())).await;
            if let Decision::Decided { index, outcome: state::Outcome::Applied } = decision {
                self.send(index, command);
            }
        }
    }

    /// Grants the operator's first key while no key operates the system.
    async fn grant_first(&self) {
        let Some(first) = &self.first else {
            return;
        };
        let held = self
            .replica
            .look(|state| state.view.keys().any(|(_, k)| k.scope == key::Scope::System));
        if held {
            return;
        }
        let grant = view::Command::Grant {
            id: first.id.clone(),
            digest: first.digest,
            scope: key::Scope::System,
        };
        self.replica.propose(state::Change::View(grant)).await;
    }

    /// Sends an order that was committed at `index`, and has its answer
    /// committed.
    fn send(&self, index: raft::Index, command: view::Command) {
        let view::Command::Order { target, incarnation, verb, item, memory } = command else {
            return;
        };
        let address =
            self.replica.look(|state| state.view.targets().get(&target).map(|t| t.address));
        let Some(address) = address else {
            return;
        };
        self.timeline.record(timeline::Kind::Ordered {
            target: target.clone(),
            order: format!("{verb:?} {item}"),
            fence: index,
        });
        let (replica, client) = (self.replica.clone(), self.client.clone());
        tokio::spawn(async move {
            let order = order::Order {
                address,
                verb,
                item: item.clone(),
                memory,
                fence: index,
                incarnation,
            };
            let Some(ack) = client.send(&order).await else {
                replica.lead(|leader, _, now| leader.answer_lost(&target, &item, now));
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
