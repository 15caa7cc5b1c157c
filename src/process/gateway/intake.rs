//! Reading of the bodies of requests into memory.

use std::{
    collections,
    sync::{
        self,
        atomic::{self, AtomicU64},
    },
    time,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::request::{
    gateway::intake::{BodyId, Decision, Event, Intake, Need},
    refusal::Refusal,
};

use super::core::Core;

/// Memory for the bodies of all requests, in bytes. An instance may have as little as 112 MB
/// for the whole gateway.
const BUDGET_BYTES: usize = 48 << 20;

/// Bytes of each body that do not count towards the budget, so that a small body can always
/// be read.
const UNCOUNTED_BYTES: usize = 32 << 10;

/// Bytes between two reports of what has arrived.
const GROWTH_BYTES: usize = 64 << 10;

/// How long a caller may take to send its body.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Longest wait for room.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);

/// Part of its time that a request may wait for room, as a divisor.
const MAX_WAIT_SHARE: u32 = 4;

/// Time after which a refused request may find room.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Bodies of requests, and the requests that wait for room.
#[derive(Debug)]
pub(super) struct Bodies {
    next_id: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    waiting: collections::HashMap<BodyId, tsync::oneshot::Sender<bool>>,
}

/// Memory for one body, which is returned on drop.
#[derive(Debug)]
pub(super) struct Reservation {
    core: sync::Arc<Core>,
    id: BodyId,
}

impl Bodies {
    pub(super) fn new() -> Self {
        let state =
            State { intake: Intake::new(BUDGET_BYTES), waiting: collections::HashMap::new() };
        Self { next_id: AtomicU64::new(0), state: Mutex::new(state) }
    }

    /// Refuses requests that have waited for too long, and counts slow bodies with what has
    /// arrived.
    pub(super) fn tick(&self, now: time::Duration) {
        self.state.lock().handle(Event::Tick, now);
    }
}

impl State {
    /// Handles an event and passes the decisions on to the requests that wait for them.
    fn handle(&mut self, event: Event, now: time::Duration) {
        for decision in self.intake.handle(event, now) {
            let (id, granted) = match decision {
                Decision::Granted { id } => (id, true),
                Decision::Refused { id } => (id, false),
            };
            if let Some(waiting) = self.waiting.remove(&id) {
                // A request that is over has dropped its reservation.
                let _ = waiting.send(granted);
            }
        }
    }
}

impl Reservation {
    /// Waits for room for a body of `bytes`.
    async fn new(core: &sync::Arc<Core>, bytes: usize, terms: Terms) -> Result<Self, Refusal> {
        let id = core.bodies.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let reservation = Self { core: core.clone(), id };
        let Terms { urgency, timeout } = terms;
        let max_wait = MAX_WAIT.min(timeout / MAX_WAIT_SHARE);
        let need = Need { bytes: bytes - UNCOUNTED_BYTES, urgency, max_wait };
        if reservation.ask(Event::Requested { id, need }).await {
            Ok(reservation)
        } else {
            Err(no_room(bytes, urgency))
        }
    }

    /// Counts `bytes` as arrived, and takes further room if they exceed what was promised.
    async fn grow(&self, bytes: usize, terms: Terms) -> Result<(), Refusal> {
        let arrived = Event::Arrived { id: self.id, bytes: bytes - UNCOUNTED_BYTES };
        if self.ask(arrived).await { Ok(()) } else { Err(no_room(bytes, terms.urgency)) }
    }

    /// Returns whether the bytes named in `event` are granted.
    async fn ask(&self, event: Event) -> bool {
        let (sender, receiver) = tsync::oneshot::channel();
        {
            let mut state = self.core.bodies.state.lock();
            state.waiting.insert(self.id, sender);
            state.handle(event, self.core.clock.now());
        }
        receiver.await.unwrap_or(false)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.core.bodies.state.lock();
        state.waiting.remove(&self.id);
        state.handle(Event::Ended { id: self.id }, self.core.clock.now());
    }
}

/// Rank and patience of a request before its body is read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// Zero is the most urgent.
    pub(super) urgency: u32,
    /// Time to the complete response.
    pub(super) timeout: time::Duration,
}

/// Reads the body of a caller's request, of at most `limit` bytes. The memory counts until
/// the reservation is dropped; a small body has none. The body of a refused request is
/// discarded, as its caller may see the response only after it has sent the body.
pub(super) async fn read(
    core: &sync::Arc<Core>,
    mut body: Incoming,
    limit: usize,
    terms: Terms,
) -> Result<(Bytes, Option<Reservation>), Refusal> {
    let reading = read_granted(core, &mut body, limit, terms);
    let result = match tokio::time::timeout(READ_TIMEOUT, reading).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::Invalid { reason: "the body took too long".into() }),
    };
    if matches!(result, Err(Refusal::Overloaded { .. } | Refusal::TooLarge { .. })) {
        tokio::spawn(tokio::time::timeout(READ_TIMEOUT, discard(body, limit)));
    }
    result
}

async fn read_granted(
    core: &sync::Arc<Core>,
    body: &mut Incoming,
    limit: usize,
    terms: Terms,
) -> Result<(Bytes, Option<Reservation>), Refusal> {
    let stated = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    if stated.is_some_and(|bytes| bytes > limit) {
        return Err(Refusal::TooLarge { limit });
    }
    let mut reservation = None;
    if let Some(bytes) = stated.filter(|bytes| *bytes > UNCOUNTED_BYTES) {
        reservation = Some(Reservation::new(core, bytes, terms).await?);
    }
    // Pages that nothing has arrived for take no memory.
    let mut buffer = BytesMut::with_capacity(stated.unwrap_or_default().min(BUDGET_BYTES));
    let mut known = UNCOUNTED_BYTES;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Refusal::Invalid { reason: error.to_string() })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + data.len();
        if length > limit {
            return Err(Refusal::TooLarge { limit });
        }
        if length > known {
            known = length.saturating_add(GROWTH_BYTES);
            let bytes = stated.map_or(known, |stated| known.min(stated));
            match &reservation {
                Some(reservation) => reservation.grow(bytes, terms).await?,
                None => reservation = Some(Reservation::new(core, bytes, terms).await?),
            }
        }
        buffer.extend_from_slice(&data);
    }
    Ok((buffer.freeze(), reservation))
}

fn no_room(bytes: usize, urgency: u32) -> Refusal {
    spdlog::warn!("no room for the body of a request", kv: { bytes, urgency });
    Refusal::Overloaded { retry_after: RETRY_AFTER }
}

/// Reads a body of up to `limit` bytes and keeps nothing of it.
async fn discard(mut body: Incoming, limit: usize) {
    let mut left = limit;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
