//! Random orders of evacuations, catalogs, snapshots and gateways that synchronize with replicas
//! that lag behind.
//!
//! The rules: the replicas hold what the log says, a gateway holds what the log says at the index
//! of its view, and a command changes nothing if the opposite was committed after its operator
//! had asked.

use std::{collections::BTreeMap, env, sync::Arc, time::Duration};

use googletest::prelude::*;
use hornbeamdock::version::{
    catalog::{
        Catalog, Route, RouteKind, Service, WarmUp, WeightedService, Workspace,
        attributes::Attributes, patch::Patch, table::Table,
    },
    feed::CachedView,
    state::{Change, Command, Outcome, State},
    supplement::Supplement,
    view::{self, View},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Serialize, de::DeserializeOwned};

const REPLICAS: usize = 3;
const GATEWAYS: usize = 2;
const DOMAINS: [&str; 3] = ["north", "south", "west"];
const STEPS: usize = 200;
/// Seeds played if the environment names no other number.
const SEEDS: u64 = 300;
/// Largest number of entries kept for a delta. A gateway behind these gets the whole view.
const KEPT_ENTRIES: usize = 12;

/// What is deliberately wrong in a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Gateways take whatever supplement came last.
    ArrivalOrder,
    /// Snapshots hold only what earlier builds read.
    BareSnapshots,
    /// Commands do not state up to where their proposer knew the log.
    UnknownLog,
    /// The supplement in a reply is that of a later index than the changes of the view.
    TwoReads,
}

/// A call of an operator that is not committed yet.
#[derive(Clone, Debug)]
struct Pending {
    domain: &'static str,
    begins: bool,
    /// Length of the log when the operator asked.
    asked_at: u64,
}

struct World {
    fault: Fault,
    rng: ChaCha8Rng,
    log: Vec<Command>,
    /// State after each entry; the first is that of the empty log.
    states: Vec<State>,
    /// Index of the latest change of each domain.
    changed_at: BTreeMap<&'static str, u64>,
    pending: Vec<Pending>,
    replicas: Vec<State>,
    gateways: Vec<CachedView>,
    syncs: u64,
}

/// Returns what arrives of a message, without the fields that are not encoded.
fn send<T: Serialize + DeserializeOwned>(message: &T) -> T {
    postcard::from_bytes(&postcard::to_stdvec(message).unwrap()).unwrap()
}

fn homes(rng: &mut ChaCha8Rng) -> Vec<String> {
    (0..rng.random_range(0..2)).map(|n| format!("region-{n}-{}", rng.random_range(0..3))).collect()
}

fn route(name: &str, rng: &mut ChaCha8Rng) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        priority: 0,
        split: vec![WeightedService { service: "s".to_owned(), weight: 1 }],
        max_attempts: rng.random_range(1..3),
        public: false,
        names_model: false,
        resumable: false,
        gap_objective: Duration::from_millis(rng.random_range(0..2) * 400),
        homes: homes(rng),
    }
}

fn catalog(version: u64, rng: &mut ChaCha8Rng) -> Catalog {
    let names: Vec<_> = ["a", "b", "c"].into_iter().filter(|_| rng.random_bool(0.7)).collect();
    let warm_up = rng
        .random_bool(0.5)
        .then(|| WarmUp { time: Duration::from_secs(rng.random_range(1..4)), rate: 10.0 });
    let workspace = Workspace {
        name: "w".to_owned(),
        keys: Vec::new(),
        priority: None,
        rate_limit: None,
        homes: homes(rng),
    };
    let plain = rng.random_bool(0.2);
    let mut catalog = Catalog {
        version,
        routes: names.into_iter().map(|name| route(name, rng)).collect(),
        services: vec![Service {
            name: "s".to_owned(),
            health_path: String::new(),
            max_connections: 1,
            engine: None,
            warm_up,
        }],
        workspaces: vec![workspace],
        document: b"{}".to_vec(),
        ..Catalog::default()
    };
    if plain {
        Attributes::default().apply(&mut catalog);
    }
    catalog
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        Self {
            fault,
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: Vec::new(),
            states: vec![State::default()],
            changed_at: BTreeMap::new(),
            pending: Vec::new(),
            replicas: vec![State::default(); REPLICAS],
            gateways: vec![CachedView::default(); GATEWAYS],
            syncs: 0,
        }
    }

    fn end(&self) -> u64 {
        u64::try_from(self.log.len()).unwrap()
    }

    /// Does one thing. Returns which rule it broke, if any.
    fn step(&mut self) -> Option<String> {
        match self.rng.random_range(0..10) {
            0 | 1 => self.ask(),
            2 | 3 => return self.commit_pending(),
            4 => self.commit_catalog(),
            5 => return self.restore(),
            6 | 7 => return self.catch_up(),
            _ => return self.sync(),
        }
        None
    }

    /// An operator asks, at up to three replicas.
    fn ask(&mut self) {
        let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        let call = Pending { domain, begins: self.rng.random(), asked_at: self.end() };
        for _ in 0..self.rng.random_range(1..4) {
            self.pending.push(call.clone());
        }
    }

    fn commit(&mut self, change: Change) -> Outcome {
        let command = send(&Command { proposed_at: 0, change });
        let mut state = self.states[self.log.len()].clone();
        self.log.push(command);
        let outcome = state.apply(self.end(), &self.log[self.log.len() - 1]);
        self.states.push(state);
        outcome
    }

    /// Commits one of the calls, not always in their order.
    fn commit_pending(&mut self) -> Option<String> {
        if self.pending.is_empty() {
            return None;
        }
        let chosen = self.rng.random_range(0..self.pending.len());
        let Pending { domain, begins, asked_at } = self.pending.swap_remove(chosen);
        let known_at = if self.fault == Fault::UnknownLog { u64::MAX } else { asked_at };
        let before = self.states[self.log.len()].view.evacuations().contains(domain);
        let outcome =
            self.commit(Change::Evacuation { domain: domain.to_owned(), begins, known_at });
        let after = self.states[self.log.len()].view.evacuations().contains(domain);
        if outcome == Outcome::Applied && after != begins {
            return Some(format!("acknowledged without effect: {domain} {begins}"));
        }
        if before == after {
            return None;
        }
        let previous = self.changed_at.insert(domain, self.end()).unwrap_or_default();
        (previous > asked_at).then(|| format!("late call had an effect: {domain} {begins}"))
    }

    /// Commits a catalog, which may be older than the one in force.
    fn commit_catalog(&mut self) {
        let newest = self.states[self.log.len()].view.catalog().map_or(0, |c| c.version);
        let version = (newest + self.rng.random_range(0..3)).saturating_sub(1);
        let catalog = catalog(version, &mut self.rng);
        self.commit(Change::catalog(catalog));
    }

    /// A replica applies some of the log.
    fn catch_up(&mut self) -> Option<String> {
        let end = self.end();
        let replica = &mut self.replicas[self.rng.random_range(0..REPLICAS)];
        let until = self.rng.random_range(replica.index..=end);
        for (index, command) in (1..).zip(&self.log).filter(|(index, _)| *index <= until) {
            if index > replica.index {
                replica.apply(index, command);
            }
        }
        let expected = &self.states[usize::try_from(replica.index).unwrap()];
        (replica != expected).then(|| format!("replica differs at {}", replica.index))
    }

    /// A replica starts from its own snapshot, or gets that of another one which is ahead.
    fn restore(&mut self) -> Option<String> {
        let (from, to) = (self.rng.random_range(0..REPLICAS), self.rng.random_range(0..REPLICAS));
        if self.replicas[from].index < self.replicas[to].index {
            return None;
        }
        let bytes = if self.fault == Fault::BareSnapshots {
            postcard::to_stdvec(&self.replicas[from]).unwrap()
        } else {
            self.replicas[from].encode().unwrap()
        };
        self.replicas[to] = State::decode(&bytes).unwrap();
        let restored = &self.replicas[to];
        let expected = &self.states[usize::try_from(restored.index).unwrap()];
        (restored != expected).then(|| format!("snapshot differs at {}", restored.index))
    }

    /// A gateway synchronizes with a replica, which may lag behind the gateway.
    fn sync(&mut self) -> Option<String> {
        self.syncs += 1;
        let replica = self.replicas[self.rng.random_range(0..REPLICAS)].clone();
        let number = self.rng.random_range(0..GATEWAYS);
        let mut gateway = self.gateways[number].clone();
        let known_at = gateway.supplemented_at();
        let supplement = match self.fault {
            Fault::ArrivalOrder => {
                Some(Supplement { changed_at: known_at + 1, ..replica.supplement() })
            }
            Fault::TwoReads => self.states[self.log.len()].supplement_after(known_at),
            _ => replica.supplement_after(known_at),
        };
        self.send_update(&mut gateway, &replica);
        if let Some(supplement) = supplement {
            gateway.supplement(send(&supplement));
        }
        self.gateways[number] = gateway;
        self.gateway_fault(number)
    }

    /// Brings the view of a gateway to that of a replica: by changes, or as a whole.
    fn send_update(&self, gateway: &mut CachedView, replica: &State) {
        let (from, to) = (gateway.index(), replica.index);
        let stripped = |view: &View| view.catalog().map(|c| Arc::new(c.without_document()));
        if from + u64::try_from(KEPT_ENTRIES).unwrap() < to {
            let whole = replica.view.with_catalog(stripped(&replica.view));
            return gateway.replace(to, send(&whole), Duration::ZERO);
        }
        let old = stripped(&self.states[usize::try_from(from).unwrap()].view);
        let change = match (old, stripped(&replica.view)) {
            (_, None) => None,
            (None, Some(new)) => Some(view::Command::PutCatalog(new)),
            (Some(old), Some(new)) if old.version == new.version => None,
            (Some(old), Some(new)) => {
                Some(view::Command::PatchCatalog(Arc::new(Patch::between(&old, &new))))
            }
        };
        let change = change.as_ref().map(send);
        gateway.apply_changes(to, change.iter().map(|c| (to, 0, c)), Duration::ZERO);
    }

    fn gateway_fault(&self, number: usize) -> Option<String> {
        let gateway = &self.gateways[number];
        let index = gateway.index();
        let expected = &self.states[usize::try_from(index).unwrap()].view;
        if gateway.view().evacuations() != expected.evacuations() {
            return Some(format!("evacuations at gateway {number} differ at {index}"));
        }
        let attributes = |view: &View| view.catalog().map(|c| (c.version, Attributes::of(c)));
        (attributes(gateway.view()) != attributes(expected))
            .then(|| format!("later fields at gateway {number} differ at {index}"))
    }
}

/// Plays one order. Returns the first rule that was broken, and the synchronizations.
fn play(seed: u64, fault: Fault) -> (Option<String>, u64) {
    let mut world = World::new(seed, fault);
    for step in 0..STEPS {
        if let Some(broken) = world.step() {
            return (Some(format!("seed {seed}, step {step}: {broken}")), world.syncs);
        }
    }
    (None, world.syncs)
}

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against evacuations and later fields that are lost, undone or mixed up between
/// replicas, snapshots and gateways. Plays `HORNBEAMDOCK_SEEDS` orders from seed
/// `HORNBEAMDOCK_SEED` on.
#[gtest]
fn replicas_and_gateways_hold_what_the_log_says() {
    let (first, seeds) = (setting("HORNBEAMDOCK_SEED", 1), setting("HORNBEAMDOCK_SEEDS", SEEDS));
    let mut syncs = 0;
    for seed in first..first + seeds {
        let (broken, played) = play(seed, Fault::None);
        syncs += played;
        assert_that!(broken, none());
    }
    println!("{seeds} orders with {syncs} synchronizations");
}

macro_rules! faults {
    ($($name:ident => $fault:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                let broken = (1..=SEEDS).filter(|seed| play(*seed, $fault).0.is_some()).count();
                println!("{broken} of {SEEDS} orders broken");
                expect_that!(broken, gt(0));
            }
        )+
    };
}

// Guard against a model that does not see a wrong build.
faults! {
    supplements_in_the_order_of_their_arrival_are_caught => Fault::ArrivalOrder;
    snapshots_without_evacuations_are_caught => Fault::BareSnapshots;
    late_duplicates_with_an_effect_are_caught => Fault::UnknownLog;
    supplement_of_another_index_is_caught => Fault::TwoReads;
}

/// Guards against a gateway that keeps routing without the later fields, because the version of
/// the catalog is the same before and after they arrive.
#[gtest]
fn later_fields_of_the_same_version_make_a_new_routing_table() {
    let mut state = State::default();
    let mut catalog = catalog(1, &mut ChaCha8Rng::seed_from_u64(1));
    catalog.workspaces[0].homes = vec!["r".to_owned()];
    state.apply(1, &Command { proposed_at: 0, change: Change::catalog(catalog) });
    let mut gateway = CachedView::default();
    let bare = state.view.with_catalog(state.view.catalog().map(|c| Arc::new(send(&**c))));
    gateway.replace(1, bare, Duration::ZERO);
    let table = Table::new(gateway.view().catalog().unwrap().clone());
    expect_that!(table.is_of(gateway.view().catalog().unwrap()), eq(true));
    gateway.supplement(state.supplement());
    expect_that!(table.is_of(gateway.view().catalog().unwrap()), eq(false));
}
