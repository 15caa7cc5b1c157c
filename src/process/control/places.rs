//! Gives places at brittle targets, and at engines that read prompts, while this replica leads.

use std::{
    collections, sync,
    sync::atomic::{self, AtomicU64},
    time,
};

use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::{
    connection::peer,
    request::limit::place::{Answer, PlaceReply, PlaceRequest, PlaceUpdate},
    version::census,
};

use super::{handle::Handle, work::Work};

/// Time between two checks of the time-outs.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Calls that are not answered yet, by number.
type PendingCalls = Mutex<collections::HashMap<u64, tsync::oneshot::Sender<PlaceReply>>>;

/// Answers requests for places.
#[derive(Debug)]
pub(super) struct PlaceLoop {
    handle: Handle,
    pending: PendingCalls,
    next_call: AtomicU64,
}

impl PlaceLoop {
    pub(super) fn new(handle: Handle) -> sync::Arc<Self> {
        sync::Arc::new(Self { handle, pending: Mutex::default(), next_call: AtomicU64::new(1) })
    }

    pub(super) async fn run(self: sync::Arc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let handle = &self.handle;
            let answers = handle.replica.as_leader(|leader, _, now| {
                handle.soft_state.read(|_, traffic, at| {
                    let places = leader.places_mut();
                    let term = places.term();
                    let mut answers = places.tick(|target| traffic.unplaced(target, term, at), now);
                    answers.extend(leader.prefills_mut().tick(now));
                    answers
                })
            });
            match answers {
                Some(answers) => self.answer(answers),
                // Gateways ask the leader again.
                None => self.pending.lock().clear(),
            }
        }
    }

    /// Answers a request, perhaps only when a place is free. Returns `None` if this replica
    /// does not lead, or no longer.
    pub(super) async fn request(&self, mut request: PlaceRequest) -> Option<peer::Reply> {
        let call = self.next_call.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, reply) = tsync::oneshot::channel();
        self.pending.lock().insert(call, sender);
        let handle = &self.handle;
        let prefill = request.prefill.take();
        let answers = handle.as_leader(Work::Place, |leader, _, now| {
            if let Some(prefill) = prefill {
                let reply = leader.prefills_mut().request(call, request, prefill, now);
                return reply.map(|reply| Answer { call, reply }).into_iter().collect();
            }
            handle.soft_state.read(|_, traffic, at| {
                let places = leader.places_mut();
                let term = places.term();
                let unplaced = |target: &str| traffic.unplaced(target, term, at);
                places.request(call, request, unplaced, now)
            })
        });
        let Some(answers) = answers else {
            self.pending.lock().remove(&call);
            return None;
        };
        self.answer(answers);
        reply.await.ok().map(peer::Reply::Place)
    }

    /// Handles messages of a gateway about its places. Returns `None` if this replica does
    /// not lead.
    pub(super) fn update(
        &self,
        gateway: census::GatewayId,
        updates: &[PlaceUpdate],
    ) -> Option<peer::Reply> {
        let answers = self.handle.as_leader(Work::Place, |leader, _, now| {
            let mut answers = leader.places_mut().update(gateway, updates, now);
            answers.extend(leader.prefills_mut().update(gateway, updates, now));
            answers
        });
        self.answer(answers?);
        Some(peer::Reply::PlacesUpdated)
    }

    fn answer(&self, answers: Vec<Answer>) {
        let mut pending = self.pending.lock();
        for Answer { call, reply } in answers {
            // Sending fails if the gateway has disconnected.
            let _ = pending.remove(&call).map(|sender| sender.send(reply));
        }
    }
}
