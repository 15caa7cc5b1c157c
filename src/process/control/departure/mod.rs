//! Targets that tell a control replica that they leave, and what is acknowledged to them.

mod store;

use std::time;

use tokio::sync as tsync;

use crate::{
    connection::{control, peer},
    version::{
        directory::Departure,
        raft,
        spread::{self, Decision, Kept, Spread},
    },
};

pub(super) use self::store::DepartureStore;
use super::handle::{Handle, Unavailable};

impl Handle {
    /// Marks a target as leaving, as it requested, and waits until one replica more than may be
    /// lost at the same time has stored it. Without an incarnation the request applies to the one
    /// in the directory.
    ///
    /// # Errors
    ///
    /// Returns [`Unavailable::Unconfirmed`] if too few replicas have stored it in time, and
    /// [`Unavailable::UnknownTarget`] if the request has no incarnation and the target is not
    /// known here. Those that were told keep it, and the target should tell another replica, too.
    pub async fn mark_leaving(
        &self,
        id: &str,
        incarnation: Option<u64>,
    ) -> Result<(), Unavailable> {
        let Some(departure) = self.soft_state.mark_leaving(self.id, id, incarnation) else {
            spdlog::info!("target told that it is leaving, and is not known", kv: { target = id });
            // Another replica may know it.
            self.broadcast(&peer::Gossip::Leaving { id: id.to_owned(), incarnation });
            return Err(Unavailable::UnknownTarget);
        };
        if self.soft_state.is_confirmed(&departure) {
            return Ok(());
        }
        let started = time::Instant::now();
        let outcome = self.spread(&departure).await;
        let took = started.elapsed();
        let outcome_label = if outcome.is_ok() { "acknowledged" } else { "refused" };
        self.metrics.record_departure(outcome_label, took.as_secs_f64());
        spdlog::info!("target told that it is leaving", kv: {
            target = id,
            born = departure.incarnation,
            outcome = outcome_label,
            needed = self.needed_copies(),
            missing = outcome.err().unwrap_or_default(),
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX)
        });
        if outcome.is_err() {
            return Err(Unavailable::Unconfirmed);
        }
        self.soft_state.record_confirmed(&departure);
        Ok(())
    }

    /// Applies a departure that another replica was told of, and stores it. Returns whether it is
    /// on disk.
    pub(super) async fn record_departure(&self, told: raft::NodeId, departure: Departure) -> bool {
        let Departure { id, incarnation } = &departure;
        self.soft_state.mark_leaving(told, id, Some(*incarnation));
        self.departures.store(departure).await
    }

    /// Returns the number of replicas that must store a departure before it is acknowledged.
    fn needed_copies(&self) -> usize {
        self.tolerated_losses + 1
    }

    /// Has all replicas store a departure, and waits until as many have as are needed.
    ///
    /// # Errors
    ///
    /// Returns the number of copies that are missing, if a decision was due before.
    async fn spread(&self, departure: &Departure) -> Result<(), usize> {
        let mut replicas: Vec<_> = self.replica.members().others(self.id).collect();
        replicas.push(self.id);
        let mut spread = Spread::new(&replicas, self.needed_copies(), self.soft_state.now());
        let (events, mut arriving) = tsync::mpsc::unbounded_channel();
        for to in replicas {
            self.tell(to, time::Duration::ZERO, departure, &events);
        }
        let mut event = spread::Event::Tick;
        loop {
            let now = self.soft_state.now();
            match spread.decide(event, now) {
                Decision::Acknowledge => return Ok(()),
                Decision::Refuse => return Err(spread.needed()),
                Decision::Retry { to, delay } => self.tell(to, delay, departure, &events),
                Decision::Wait => {}
            }
            let left = spread.deadline().saturating_sub(now);
            let received = tokio::time::timeout(left, arriving.recv()).await;
            event = received.ok().flatten().unwrap_or(spread::Event::Tick);
        }
    }

    /// Has one replica store a departure after a delay. Whether it has is sent to `events`.
    fn tell(
        &self,
        to: raft::NodeId,
        delay: time::Duration,
        departure: &Departure,
        events: &tsync::mpsc::UnboundedSender<spread::Event>,
    ) {
        let (handle, departure, events) = (self.clone(), departure.clone(), events.clone());
        // Goes on after the decision, so that the replicas which were not needed store it, too.
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let kept = handle.store_at(to, departure).await;
            let event =
                kept.map_or(spread::Event::Failed(to), |kept| spread::Event::Confirmed(to, kept));
            // Fails after the decision.
            let _ = events.send(event);
        });
    }

    /// Has one replica store a departure. Returns where it keeps it; `None` if it has not
    /// confirmed in time, or could not store it.
    async fn store_at(&self, to: raft::NodeId, departure: Departure) -> Option<Kept> {
        if to == self.id {
            return self.departures.store(departure).await.then_some(Kept::OnDisk);
        }
        let call = peer::Call::RecordDeparture { told: self.id, departed: (&departure).into() };
        match self.control_client.call(to, call, spread::ATTEMPT_TIMEOUT).await {
            Ok(peer::Reply::DepartureRecorded { stored }) => stored.then_some(Kept::OnDisk),
            Err(control::Error::Unsupported) => self.deliver(to, departure).await,
            _ => None,
        }
    }

    /// Tells a replica of an earlier build, which keeps departures in memory.
    async fn deliver(&self, to: raft::NodeId, departure: Departure) -> Option<Kept> {
        let Departure { id, incarnation } = departure;
        let gossip = peer::Gossip::Leaving { id, incarnation: Some(incarnation) };
        let timeout = spread::ATTEMPT_TIMEOUT;
        let delivered = self.control_client.deliver(to, self.id, gossip, timeout).await;
        delivered.ok().map(|()| Kept::InMemory)
    }
}
