//! Placement of models and adapters on announced targets, by orders that each
//! target confirms.
//!
//! The leading replica runs one [`Placer`]. It keeps a [`room::Room`] per
//! target: what the target holds and what was ordered.
//!
//! Orders state the number of orders that the target must have accepted before,
//! and orders of different leaders carry different fencing tokens. An order that
//! was not answered may be carried out seconds later, but only until the target
//! accepts another one; if it comes first, the other one is refused. So no order
//! is carried out on a state that it was not meant for, and nothing needs to
//! stay charged for what may still happen. A new leader needs no log of the
//! orders before it: it asks each target for its state and goes on from there.
//!
//! The machine performs no input or output. It answers the load of models whose
//! demand moves within seconds on targets that hold few of them.

mod adapter;
mod model;
pub mod room;

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use super::{
    catalog,
    directory::{self, Want},
    traffic,
    view::Presence,
};

pub use self::room::{Op, Order, Outcome, Reported};
use self::room::{Room, State};

/// How long a request for a model or adapter is kept waiting for it.
const PATIENCE: time::Duration = time::Duration::from_millis(1_500);

/// Time between two questions for a target's state.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask a target for its state, and hand the answer to
    /// [`Placer::reported`].
    Ask {
        /// Identifies the target.
        target: String,
        /// Where it listens.
        address: net::SocketAddr,
    },
    /// Send an order, and hand the answer to [`Placer::ordered`].
    Send(Order),
    /// Tell everyone what a target holds now.
    Note(directory::Note),
    /// Answer a want.
    Answer {
        /// Names the want.
        id: u64,
        /// Where it is.
        found: Found,
    },
}

/// Where a model or adapter is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    /// At a target.
    At(String),
    /// Nowhere, but at a target after about this time.
    Soon(time::Duration),
    /// Nowhere, and it is not known when it will be.
    Nowhere,
}

impl Found {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::At(_) => "at",
            Self::Soon(_) => "soon",
            Self::Nowhere => "nowhere",
        }
    }
}

/// What someone asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The model or adapter.
    pub want: Want,
    /// Targets that have too much to do; one besides them is needed.
    pub beside: Vec<String>,
    /// How long it is of use.
    pub patience: time::Duration,
}

/// Someone who waits for a model or adapter.
#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    asked: Asked,
    since: time::Duration,
}

/// Places models and adapters.
#[derive(Debug)]
pub struct Placer {
    /// Fencing token of all orders.
    fence: u64,
    /// Before this moment orders of an earlier leader may arrive.
    ready: time::Duration,
    rooms: collections::BTreeMap<String, Room>,
    waiting: Vec<Waiting>,
    store: model::Store,
    next: u64,
}

impl Placer {
    /// Takes over at `now` with a fencing token above all earlier ones. Nothing
    /// is ordered for the time `quiet`.
    #[must_use]
    pub fn new(fence: u64, now: time::Duration, quiet: time::Duration) -> Self {
        Self {
            fence,
            ready: now + quiet,
            rooms: collections::BTreeMap::new(),
            waiting: Vec::new(),
            store: model::Store::default(),
            next: 0,
        }
    }

    /// Lets time pass.
    pub fn tick(
        &mut self,
        directory: &directory::Directory,
        traffic: &traffic::Report,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        self.follow(directory, catalog, now);
        self.note_use(traffic, now);
        let mut actions = self.ask(now);
        if now >= self.ready {
            for service in &catalog.services {
                actions.extend(self.plan(service, traffic, now));
            }
        }
        actions.extend(self.serve(catalog, now));
        actions
    }

    /// Takes in that someone waits for a model or adapter, and which targets
    /// said that they lack it.
    pub fn want(
        &mut self,
        id: u64,
        asked: Asked,
        lacking: &[String],
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        for target in lacking {
            if let Some(room) = self.rooms.get_mut(target) {
                room.lacks(&asked.want, now);
            }
        }
        self.waiting.push(Waiting { id, asked, since: now });
        self.serve(catalog, now)
    }

    /// Takes in a target's state, or that it did not answer.
    pub fn reported(
        &mut self,
        target: &str,
        reported: Option<Reported>,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(room) = self.rooms.get_mut(target) else {
            return Vec::new();
        };
        room.reported(reported, now);
        room.take_note().map(Action::Note).into_iter().collect()
    }

    /// Takes in what became of an order.
    pub fn ordered(
        &mut self,
        order: &Order,
        outcome: Outcome,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Vec<Action> {
        let Some(room) = self.rooms.get_mut(&order.target) else {
            return Vec::new();
        };
        room.ordered(order, outcome, now);
        let mut actions: Vec<_> = room.take_note().map(Action::Note).into_iter().collect();
        actions.extend(self.serve(catalog, now));
        actions
    }

    /// Follows the directory: rooms of new targets open, those of targets that
    /// are gone or started again close.
    fn follow(
        &mut self,
        directory: &directory::Directory,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) {
        self.rooms.retain(|id, room| {
            directory.get(id).is_some_and(|a| {
                a.presence == Presence::Up && a.born == room.born && a.address == room.address
            })
        });
        let live = directory.own_words().filter(|(a, _)| a.presence == Presence::Up);
        for (announced, own) in live {
            let engine = catalog.service(&announced.service).and_then(|s| s.engine.as_ref());
            let Some(engine) = engine else {
                continue;
            };
            let room = self
                .rooms
                .entry(announced.id.clone())
                .or_insert_with(|| Room::new(announced, own, engine, now));
            room.announced(announced, own, now);
            room.tick(now);
        }
    }

    /// Notes which models and adapters are in use: those with requests at
    /// targets. Ones that are merely asked for now and then give way to what is
    /// waited for, or some would never get a place.
    fn note_use(&mut self, traffic: &traffic::Report, now: time::Duration) {
        for demand in traffic.demands.iter().filter(|d| d.running > 0) {
            let want = Want {
                service: demand.service.clone(),
                model: demand.model.clone(),
                adapter: demand.adapter.clone(),
            };
            for room in self.rooms.values_mut().filter(|r| r.service == want.service) {
                room.used(&want, now);
            }
        }
    }

    /// Asks targets whose state is in doubt.
    fn ask(&mut self, now: time::Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, room) in &mut self.rooms {
            if room.in_doubt(now) && now >= room.asked + ASK_INTERVAL {
                room.asked = now;
                actions.push(Action::Ask { target: id.clone(), address: room.address });
            }
        }
        actions
    }

    /// Answers those whose wish is fulfilled or hopeless, and orders adapters
    /// for the others.
    fn serve(&mut self, catalog: &catalog::Catalog, now: time::Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for one in waiting {
            if let Some(found) = self.answer(&one, catalog, now) {
                actions.push(Action::Answer { id: one.id, found });
                continue;
            }
            if one.asked.want.adapter.is_some() && now >= self.ready {
                actions.extend(self.order_adapter(&one.asked, catalog, now));
            }
            self.waiting.push(one);
        }
        actions
    }

    /// Answers someone who waits, or returns `None` if waiting makes sense.
    fn answer(
        &mut self,
        one: &Waiting,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Option<Found> {
        if let Some(target) = self.find(&one.asked, now) {
            return Some(Found::At(target));
        }
        let soon = self.expected(&one.asked.want, catalog, now);
        let patience = one.asked.patience.min(PATIENCE);
        let in_time = soon.is_none_or(|wait| now + wait <= one.since + one.asked.patience);
        let waits = in_time && now < one.since + patience;
        (!waits).then(|| soon.map_or(Found::Nowhere, Found::Soon))
    }

    /// Returns how long it takes until a target holds a model, if none does.
    /// Adapters arrive within the time of a request.
    fn expected(
        &self,
        want: &Want,
        catalog: &catalog::Catalog,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let model = catalog.service(&want.service)?.model(&want.model)?;
        let rooms = self.rooms.values().filter(|r| r.service == want.service);
        let states = rooms.clone().filter_map(|r| r.models.get(&want.model)).map(|h| h.state);
        if states.clone().any(|s| s == State::Resident) {
            return None;
        }
        let loading = states.filter_map(|state| match state {
            State::Loading(at) => Some(at.saturating_sub(now)),
            _ => None,
        });
        loading.min().or_else(|| rooms.map(|r| r.load_time(model)).min())
    }

    /// Returns a target that holds what is wanted.
    fn find(&mut self, asked: &Asked, now: time::Duration) -> Option<String> {
        let Asked { want, beside, .. } = asked;
        let rooms = self
            .rooms
            .iter_mut()
            .filter(|(id, r)| r.service == want.service && !beside.contains(id));
        let (id, room) = rooms.into_iter().find(|(_, r)| r.holds(want))?;
        room.used(want, now);
        Some(id.clone())
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
