//! The directory of announced targets.
//!
//! Nobody but the system itself lists targets: each one announces itself to
//! some control replica, which tells the others. Announcements may arrive late
//! and out of order, so the start of a target and the number of its
//! announcement decide which one is newer, never the time of arrival.
//!
//! The directory is soft state. It costs one announcement interval to rebuild,
//! so it is not in the log.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use super::view::Presence;

/// A target whose announcements stop for this long is taken to be down: three
/// intervals, so that one lost and one late announcement do no harm.
pub const TTL: time::Duration = time::Duration::from_millis(4_500);

/// How long a target that is down is remembered, so that a late announcement
/// does not bring it back.
const MEMORY: time::Duration = time::Duration::from_mins(2);

/// For how long a noted change of holdings goes before what the target
/// announces, which may have been written before it.
const NOTED: time::Duration = time::Duration::from_millis(2_500);

/// A pause between two ticks that means that this process itself stood still.
const PAUSE: time::Duration = time::Duration::from_secs(1);

/// A model on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Names of the adapters that are resident with it.
    pub adapters: Vec<String>,
}

/// What a target announced of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Identifies the target.
    pub id: String,
    /// Service that it is a target of.
    pub service: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub presence: Presence,
    /// Its start, in ms since the Unix epoch by its own clock.
    pub born: u64,
    /// Number of the announcement since that start.
    pub seq: u64,
    /// Models that it holds.
    pub holdings: Vec<Holding>,
    /// Models whose weights it keeps in main memory or on its own disk, so that
    /// they load without the weight store. Changes of these alone are no news.
    pub copies: Vec<String>,
}

/// A model, or an adapter of it, that requests are for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Want {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is needed.
    pub adapter: Option<String>,
}

/// A change of a target's holdings that is known before it announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Identifies the target.
    pub id: String,
    /// Start that the note is about.
    pub born: u64,
    /// What it holds now.
    pub holdings: Vec<Holding>,
}

#[derive(Clone, Debug)]
struct Known {
    /// What is known of the target, with noted holdings for as long as these
    /// count.
    announced: Announced,
    /// Holdings by the target's own latest word.
    own: Vec<Holding>,
    heard: time::Duration,
    /// Until when a note goes before announced holdings.
    noted: time::Duration,
    revision: u64,
}

/// Targets by id, with a revision for each change.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: collections::BTreeMap<String, Known>,
    revision: u64,
    ticked: time::Duration,
}

impl Announced {
    /// Returns true if the target holds what is wanted.
    #[must_use]
    pub fn holds(&self, want: &Want) -> bool {
        let holding = self.holdings.iter().find(|h| h.model == want.model);
        holding.is_some_and(|h| want.adapter.as_ref().is_none_or(|a| h.adapters.contains(a)))
    }
}

impl Directory {
    /// Returns the revision of the latest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns every target.
    pub fn targets(&self) -> impl Iterator<Item = &Announced> {
        self.targets.values().map(|k| &k.announced)
    }

    /// Returns one target.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Announced> {
        self.targets.get(id).map(|k| &k.announced)
    }

    /// Returns every target with its holdings by its own latest word, which may
    /// be older than what was noted.
    pub fn own_words(&self) -> impl Iterator<Item = (&Announced, &[Holding])> {
        self.targets.values().map(|k| (&k.announced, k.own.as_slice()))
    }

    /// Returns the targets that changed after `revision`.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = &Announced> {
        self.targets.values().filter(move |k| k.revision > revision).map(|k| &k.announced)
    }

    /// Takes in an announcement, and returns true if it was news.
    pub fn announce(&mut self, given: Announced, now: time::Duration) -> bool {
        if self.is_overtaken(&given) {
            return false;
        }
        self.displace(&given);
        let known = self.targets.get(&given.id);
        let same = known.filter(|k| k.announced.born == given.born);
        let own = given.holdings.clone();
        let mut next = given;
        if let Some(known) = same {
            if known.announced.presence == Presence::Leaving {
                next.presence = Presence::Leaving;
            }
            if now < known.noted {
                next.holdings.clone_from(&known.announced.holdings);
            }
        }
        let noted = same.map_or(time::Duration::ZERO, |k| k.noted);
        let changed = known.is_none_or(|k| !same_but_seq(&k.announced, &next));
        let revision = match known {
            Some(known) if !changed => known.revision,
            _ => self.bump(),
        };
        let known = Known { heard: now, own, noted, revision, announced: next };
        self.targets.insert(known.announced.id.clone(), known);
        true
    }

    /// Notes that a target leaves by its own word. Without a start the word is
    /// about the target as it is known.
    pub fn depart(&mut self, id: &str, born: Option<u64>) {
        let revision = self.revision + 1;
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        if born.is_none_or(|b| b == known.announced.born)
            && known.announced.presence == Presence::Up
        {
            known.announced.presence = Presence::Leaving;
            known.revision = revision;
            self.revision = revision;
        }
    }

    /// Takes in a change of holdings that the target has confirmed.
    pub fn note(&mut self, note: &Note, now: time::Duration) {
        let revision = self.revision + 1;
        let Some(known) = self.targets.get_mut(&note.id) else {
            return;
        };
        if known.announced.born == note.born {
            known.announced.holdings.clone_from(&note.holdings);
            known.noted = now + NOTED;
            known.revision = revision;
            self.revision = revision;
        }
    }

    /// Lets time pass: silent targets are taken to be down, and forgotten.
    ///
    /// After a pause of this process itself every target gets a new term,
    /// since it may have announced itself meanwhile.
    pub fn tick(&mut self, now: time::Duration) {
        let pause = now.saturating_sub(self.ticked);
        self.ticked = now;
        let mut revision = self.revision;
        for known in self.targets.values_mut() {
            if pause > PAUSE {
                known.heard = now;
            }
            if known.announced.presence != Presence::Down && now >= known.heard + TTL {
                known.announced.presence = Presence::Down;
                revision += 1;
                known.revision = revision;
            }
        }
        self.revision = revision;
        self.targets
            .retain(|_, k| k.announced.presence != Presence::Down || now < k.heard + MEMORY);
    }

    /// Gives every target a new term, for the time in which this replica may be
    /// cut off: what it does not hear, others may.
    pub fn suspend(&mut self, now: time::Duration) {
        self.ticked = now;
        for known in self.targets.values_mut() {
            known.heard = now;
        }
    }

    /// Returns true if a newer word about the target or its address is known.
    fn is_overtaken(&self, given: &Announced) -> bool {
        let older = |k: &Known| (given.born, given.seq) <= (k.announced.born, k.announced.seq);
        let moved = |k: &Known| {
            k.announced.id != given.id
                && k.announced.address == given.address
                && k.announced.born > given.born
        };
        self.targets.get(&given.id).is_some_and(older) || self.targets.values().any(moved)
    }

    /// Takes an earlier target at the same address to be down.
    fn displace(&mut self, given: &Announced) {
        let mut revision = self.revision;
        let others = self
            .targets
            .values_mut()
            .filter(|k| k.announced.id != given.id && k.announced.address == given.address);
        for known in others.filter(|k| k.announced.presence != Presence::Down) {
            known.announced.presence = Presence::Down;
            revision += 1;
            known.revision = revision;
        }
        self.revision = revision;
    }

    fn bump(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }
}

fn same_but_seq(a: &Announced, b: &Announced) -> bool {
    a.service == b.service
        && a.address == b.address
        && a.domain == b.domain
        && a.slots == b.slots
        && a.presence == b.presence
        && a.born == b.born
        && a.holdings == b.holdings
}
