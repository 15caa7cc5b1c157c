//! The directory of announced targets.
//!
//! Targets are not configured: each one announces itself to some control replica,
//! which forwards the announcement to the others. Announcements may arrive late
//! and out of order, so the incarnation of a target and the sequence number of
//! the announcement decide which one is newer, never the time of arrival.
//!
//! An entry that another writer left may have higher numbers than the target of that id will
//! ever state. So announcements with lower numbers are put in force after all if they go on
//! for longer than any is late, while the entry is not renewed.
//!
//! The directory is soft state. It is rebuilt within one announcement interval,
//! so it is not in the log. A target may tell only once that it leaves, so a departure is kept
//! for longer, also by a replica that does not know the target yet: announcements that were
//! sent before it may arrive after it. Replicas store departures on disk, and a replica that
//! starts restores them before it takes an announcement.

use std::{cmp, collections, net, time};

use serde::{Deserialize, Serialize};

use super::view::Presence;

/// A target of the directory without an announcement for this long is considered
/// down. It covers three announcement intervals of up to 1.5 s, so that one lost
/// and one late announcement do no harm.
pub const TTL: time::Duration = time::Duration::from_millis(4_500);

/// How long a target that is down stays in the directory, so that a late
/// announcement does not bring it back.
const DOWN_RETENTION: time::Duration = time::Duration::from_mins(2);

/// How long a departure is repeated to the other replicas after the target was last heard of.
/// No announcement is that late.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(15);

/// How long announcements with lower numbers must go on, while the entry that they are
/// compared with is not renewed, until they count. No announcement is that late.
const DISPUTE_TIME: time::Duration = TTL;

/// How long an update of holdings takes precedence over the announced holdings,
/// which may have been written before it.
pub(crate) const UPDATE_PRECEDENCE: time::Duration = time::Duration::from_millis(2_500);

/// How long a replica knows no leader until it leaves the announcements of known targets to
/// other replicas. Longer than an election.
const ISOLATION_TIME: time::Duration = time::Duration::from_millis(1_500);

/// By how much a target may end its warm-up earlier or later than it told before, without that
/// counting as a change. Longer than announcements differ in their delay.
const COLD_TOLERANCE: time::Duration = time::Duration::from_millis(250);

/// Time between two ticks above which this process itself is considered to have
/// been suspended.
const MAX_TICK_GAP: time::Duration = time::Duration::from_secs(1);

/// Software version of a target that is known only from a process which does not tell it.
pub const UNKNOWN_SOFTWARE: &str = "";

/// A model that is resident on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// Version of the weights; zero if it is not known.
    pub version: u64,
    /// Names of the resident adapters of the model.
    pub adapters: Vec<String>,
}

/// Latest known state of a target: what it announced, unless a later update or
/// time-out changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedTarget {
    /// Id of the target.
    pub id: String,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address at which it takes requests.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Version of its software, which is not that of the weights. Versions have no order.
    pub software: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is up, leaving or down.
    pub presence: Presence,
    /// Start time of the target by its own clock, in ms since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number of the announcement since that start.
    pub seq: u64,
    /// Resident models and adapters.
    pub holdings: Vec<Holding>,
    /// Models whose weights the target keeps in main memory or on its own disk.
    /// They load without the weight store. A change of only this field does not
    /// raise the revision.
    pub cached_models: Vec<String>,
    /// How long the target stays cold from when it announced or a replica passed on this, and takes few requests; zero
    /// if it is warm.
    #[serde(skip)]
    pub cold_left: time::Duration,
}

/// A model, or an adapter of it, that a request needs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Requirement {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is needed.
    pub adapter: Option<String>,
}

/// The full list of a target's holdings after a change that is known before the
/// target announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsUpdate {
    /// Id of the target.
    pub id: String,
    /// Incarnation of the target that the update is about.
    pub incarnation: u64,
    /// Resident models and adapters.
    pub holdings: Vec<Holding>,
}

/// An incarnation of a target that is leaving or has left.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Departure {
    /// Id of the target.
    pub id: String,
    /// Incarnation of the target.
    pub incarnation: u64,
}

/// What is known of a [`Departure`].
#[derive(Clone, Copy, Debug)]
struct DepartureState {
    /// When the target was last heard of.
    noted_at: time::Duration,
    /// Whether enough replicas have stored it, see [`spread`](super::spread).
    confirmed: bool,
    /// Revision of the directory when it became known.
    revision: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Latest announcement. Its holdings are those of the latest update while
    /// that takes precedence.
    announced: AnnouncedTarget,
    /// Holdings of the target's own latest announcement.
    own_holdings: Vec<Holding>,
    last_heard: time::Duration,
    /// Until when the latest update takes precedence over announced holdings.
    update_until: time::Duration,
    /// Until when the target is cold, as it announced last.
    cold_until: time::Duration,
    /// Whether the target was down before its latest announcement. Its next one is passed on,
    /// changed or not, since a target that comes back counts as cold until then.
    returned: bool,
    /// Revision of the directory at the latest change of the target.
    revision: u64,
    dispute: Option<Dispute>,
}

/// Announcements of the same id with lower numbers than the entry.
#[derive(Clone, Copy, Debug)]
struct Dispute {
    incarnation: u64,
    /// Sequence number of the latest one.
    seq: u64,
    since: time::Duration,
    last_heard: time::Duration,
}

/// Targets by id, with a revision that grows with each change and each departure, except the
/// removal of a target and a change of only its `cached_models`.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: collections::BTreeMap<String, Entry>,
    /// Ids of the targets at each address.
    addresses: collections::HashMap<net::SocketAddr, collections::BTreeSet<String>>,
    /// Kept for [`DOWN_RETENTION`], and while the target is leaving.
    departures: collections::BTreeMap<Departure, DepartureState>,
    revision: u64,
    last_tick: time::Duration,
    /// Since when this replica may be disconnected; `None` while it is not.
    disconnected_since: Option<time::Duration>,
}

impl AnnouncedTarget {
    /// Returns true if the announcements differ at most in their sequence number and
    /// `cached_models`.
    #[must_use]
    pub fn has_same_state(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.domain == other.domain
            && self.software == other.software
            && self.slots == other.slots
            && self.presence == other.presence
            && self.incarnation == other.incarnation
            && self.holdings == other.holdings
    }

    /// Returns the departure of this incarnation, whether or not it leaves.
    #[must_use]
    pub fn departure(&self) -> Departure {
        Departure { id: self.id.clone(), incarnation: self.incarnation }
    }

    /// Returns true if the required model and adapter are resident.
    #[must_use]
    pub fn holds(&self, requirement: &Requirement) -> bool {
        let holding = self.holdings.iter().find(|h| h.model == requirement.model);
        holding.is_some_and(|h| requirement.adapter.as_ref().is_none_or(|a| h.adapters.contains(a)))
    }
}

/// Returns true if a target that told the end `told` of its warm-up before does not tell
/// another one by `stated`, which is at or after `now`.
fn is_same_end(told: time::Duration, stated: time::Duration, now: time::Duration) -> bool {
    told.max(now).abs_diff(stated) <= COLD_TOLERANCE
}

impl Directory {
    /// Returns the revision of the latest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of targets, including those that are down.
    #[must_use]
    pub fn count(&self) -> usize {
        self.targets.len()
    }

    /// Returns all targets, including those that are down.
    pub fn targets(&self) -> impl Iterator<Item = &AnnouncedTarget> {
        self.targets.values().map(|e| &e.announced)
    }

    /// Returns the target with the given id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&AnnouncedTarget> {
        self.targets.get(id).map(|e| &e.announced)
    }

    /// Returns all targets, each with the holdings that it announced last. These
    /// may be older than the latest [`HoldingsUpdate`].
    pub fn announced_holdings(&self) -> impl Iterator<Item = (&AnnouncedTarget, &[Holding])> {
        self.targets.values().map(|e| (&e.announced, e.own_holdings.as_slice()))
    }

    /// Returns the targets that changed after `revision`.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = &AnnouncedTarget> {
        self.targets.values().filter(move |e| e.revision > revision).map(|e| &e.announced)
    }

    /// Returns the targets that changed after `revision`, each with the time that it is still
    /// cold at `now`.
    pub fn updates_since(
        &self,
        revision: u64,
        now: time::Duration,
    ) -> impl Iterator<Item = AnnouncedTarget> {
        let changed = self.targets.values().filter(move |e| e.revision > revision);
        changed.map(move |entry| AnnouncedTarget {
            cold_left: entry.cold_until.saturating_sub(now),
            ..entry.announced.clone()
        })
    }

    /// Returns the departures that became known after `revision`, of incarnations that are not
    /// listed here as present. A gateway may know them from another replica.
    pub fn departed_since(&self, revision: u64) -> impl Iterator<Item = &Departure> {
        let is_present = |departure: &Departure| {
            let entry = self.of_incarnation(departure);
            entry.is_some_and(|e| e.announced.presence != Presence::Down)
        };
        let known = self.departures.iter().filter(move |(_, state)| state.revision > revision);
        known.map(|(departure, _)| departure).filter(move |departure| !is_present(departure))
    }

    /// Returns the departures of targets that are leaving, and the recent ones of targets that
    /// are not known here. Replicas repeat them to one another: a target that has told one
    /// replica may tell no other.
    pub fn leaving(&self, now: time::Duration) -> impl Iterator<Item = &Departure> {
        let departures = self.departures.iter();
        departures.filter(move |(d, s)| self.is_leaving(d, s, now)).map(|(d, _)| d)
    }

    /// Returns the recent departures that are not among [`Self::leaving`]. Replicas repeat them,
    /// too: one that has restarted does not know them, and would take an announcement that was
    /// sent before the departure for the state of the target.
    pub fn departed_lately(&self, now: time::Duration) -> impl Iterator<Item = &Departure> {
        let is_recent = move |state: &DepartureState| now < state.noted_at + REPEAT_TIME;
        let recent = self.departures.iter().filter(move |(_, state)| is_recent(state));
        recent.filter(move |(d, s)| !self.is_leaving(d, s, now)).map(|(d, _)| d)
    }

    fn is_leaving(
        &self,
        departure: &Departure,
        state: &DepartureState,
        now: time::Duration,
    ) -> bool {
        match self.of_incarnation(departure) {
            Some(entry) => entry.announced.presence == Presence::Leaving,
            None => now < state.noted_at + TTL,
        }
    }

    /// Returns whether the incarnation is known to leave or to have left.
    #[must_use]
    pub fn has_departed(&self, departure: &Departure) -> bool {
        self.departures.contains_key(departure)
    }

    /// Returns the departures that are kept.
    #[must_use]
    pub fn departures(&self) -> impl ExactSizeIterator<Item = &Departure> {
        self.departures.keys()
    }

    /// Adds the departures that were stored before a restart. They are kept as long as new ones,
    /// as nothing tells how long ago they were: the time of day may have jumped.
    pub fn restore(
        &mut self,
        departures: impl IntoIterator<Item = Departure>,
        now: time::Duration,
    ) {
        for departure in departures {
            self.note_departure(departure, now);
        }
    }

    /// Returns whether enough replicas have stored the departure.
    #[must_use]
    pub fn is_confirmed(&self, departure: &Departure) -> bool {
        self.departures.get(departure).is_some_and(|state| state.confirmed)
    }

    /// Records that enough replicas have stored the departure.
    pub fn record_confirmed(&mut self, departure: &Departure) {
        if let Some(state) = self.departures.get_mut(departure) {
            state.confirmed = true;
        }
    }

    /// Returns the entry of the target if it is of the same incarnation.
    fn of_incarnation(&self, departure: &Departure) -> Option<&Entry> {
        let entry = self.targets.get(&departure.id)?;
        (entry.announced.incarnation == departure.incarnation).then_some(entry)
    }

    fn note_departure(&mut self, departure: Departure, now: time::Duration) {
        if let Some(state) = self.departures.get_mut(&departure) {
            state.noted_at = now;
            return;
        }
        let revision = self.next_revision();
        let state = DepartureState { noted_at: now, confirmed: false, revision };
        self.departures.insert(departure, state);
    }

    /// Applies an announcement. Returns false if it is outdated.
    pub fn announce(&mut self, announced: AnnouncedTarget, now: time::Duration) -> bool {
        let departure = announced.departure();
        let has_departed = self.has_departed(&departure);
        if has_departed {
            // Another replica may have taken it for the state of the target.
            self.note_departure(departure.clone(), now);
        }
        if self.is_address_taken(&announced) || !self.is_newest(&announced, now) {
            return false;
        }
        self.mark_others_at_address_down(&announced);
        let departed = has_departed || announced.presence == Presence::Leaving;
        if departed {
            self.note_departure(departure, now);
        }
        let entry = self.targets.get(&announced.id);
        let entry_of_incarnation =
            entry.filter(|e| e.announced.incarnation == announced.incarnation);
        let own_holdings = announced.holdings.clone();
        let mut next = announced;
        if departed {
            next.presence = Presence::Leaving;
        }
        if let Some(entry) = entry_of_incarnation {
            if next.software == UNKNOWN_SOFTWARE {
                next.software.clone_from(&entry.announced.software);
            }
            if now < entry.update_until {
                next.holdings.clone_from(&entry.announced.holdings);
            }
        }
        let update_until = entry_of_incarnation.map_or(time::Duration::ZERO, |e| e.update_until);
        let cold_until = now.saturating_add(next.cold_left);
        let told = entry_of_incarnation.map(|e| e.cold_until);
        // Gateways keep what they were told, so a small difference must not add up.
        let cold_until = told.filter(|t| is_same_end(*t, cold_until, now)).unwrap_or(cold_until);
        let changed = entry.is_none_or(|e| {
            !e.announced.has_same_state(&next) || e.returned || told != Some(cold_until)
        });
        let returned = entry_of_incarnation.is_some_and(|e| {
            e.announced.presence == Presence::Down && next.presence == Presence::Up
        });
        let revision = match entry {
            Some(entry) if !changed => entry.revision,
            _ => self.next_revision(),
        };
        let entry = Entry {
            last_heard: now,
            own_holdings,
            update_until,
            cold_until,
            returned,
            revision,
            announced: next,
            dispute: None,
        };
        self.insert(entry);
        true
    }

    fn insert(&mut self, entry: Entry) {
        let (id, address) = (entry.announced.id.clone(), entry.announced.address);
        let earlier = self.targets.insert(id.clone(), entry).map(|e| e.announced.address);
        if earlier == Some(address) {
            return;
        }
        if let Some(earlier) = earlier {
            remove_address(&mut self.addresses, earlier, &id);
        }
        self.addresses.entry(address).or_default().insert(id);
    }

    /// Marks a target as leaving, as it requested. Without an incarnation the
    /// request applies to the one in the directory.
    ///
    /// Returns the departure; `None` if the request has no incarnation and the target is not
    /// known. The departure of an incarnation that is not known is kept, so that an
    /// announcement which arrives later does not count.
    pub fn mark_leaving(
        &mut self,
        id: &str,
        incarnation: Option<u64>,
        now: time::Duration,
    ) -> Option<Departure> {
        let known = self.get(id).map(|target| target.incarnation);
        let departure = Departure { id: id.to_owned(), incarnation: incarnation.or(known)? };
        if !self.has_departed(&departure) {
            self.note_departure(departure.clone(), now);
        }
        let revision = self.revision + 1;
        let entry = self.targets.get_mut(id).filter(|entry| {
            let AnnouncedTarget { incarnation, presence, .. } = entry.announced;
            incarnation == departure.incarnation && presence == Presence::Up
        });
        if let Some(entry) = entry {
            entry.announced.presence = Presence::Leaving;
            entry.revision = revision;
            self.revision = revision;
        }
        Some(departure)
    }

    /// Applies an update of a target's holdings.
    pub fn apply_update(&mut self, update: &HoldingsUpdate, now: time::Duration) {
        let revision = self.revision + 1;
        let Some(entry) = self.targets.get_mut(&update.id) else {
            return;
        };
        if entry.announced.incarnation == update.incarnation {
            entry.announced.holdings.clone_from(&update.holdings);
            entry.update_until = now + UPDATE_PRECEDENCE;
            entry.revision = revision;
            self.revision = revision;
        }
    }

    /// Marks targets without recent announcements as down, and drops those that
    /// have been down for long.
    ///
    /// If this process itself was suspended, the time-out of every target starts
    /// anew, since announcements may have been missed.
    pub fn tick(&mut self, now: time::Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.disconnected_since = None;
        let mut revision = self.revision;
        for entry in self.targets.values_mut() {
            if gap > MAX_TICK_GAP {
                entry.last_heard = now;
            }
            if entry.announced.presence != Presence::Down && now >= entry.last_heard + TTL {
                entry.announced.presence = Presence::Down;
                revision += 1;
                entry.revision = revision;
            }
        }
        self.revision = revision;
        let addresses = &mut self.addresses;
        self.targets.retain(|id, e| {
            let stays =
                e.announced.presence != Presence::Down || now < e.last_heard + DOWN_RETENTION;
            if !stays {
                remove_address(addresses, e.announced.address, id);
            }
            stays
        });
        self.drop_old_departures(now);
    }

    fn drop_old_departures(&mut self, now: time::Duration) {
        let Self { targets, departures, .. } = self;
        departures.retain(|departure, state| {
            let is_leaving = targets.get(&departure.id).is_some_and(|entry| {
                let AnnouncedTarget { incarnation, presence, .. } = entry.announced;
                incarnation == departure.incarnation && presence == Presence::Leaving
            });
            is_leaving || now < state.noted_at + DOWN_RETENTION
        });
    }

    /// Restarts the time-out of every target. Called while this replica may be
    /// disconnected: the other replicas may still receive announcements.
    pub fn restart_timeouts(&mut self, now: time::Duration) {
        self.last_tick = now;
        self.disconnected_since.get_or_insert(now);
        for entry in self.targets.values_mut() {
            entry.last_heard = now;
        }
    }

    /// Returns true if the target should announce itself to another replica: this one may be
    /// cut off from the others, which would take a target that they do not hear of for down.
    /// A target that is new or is leaving is taken in any case.
    #[must_use]
    pub fn should_go_elsewhere(&self, announced: &AnnouncedTarget, now: time::Duration) -> bool {
        let isolated = self.disconnected_since.is_some_and(|since| now >= since + ISOLATION_TIME);
        let known = self.get(&announced.id).filter(|t| t.incarnation == announced.incarnation);
        isolated
            && announced.presence == Presence::Up
            && known.is_some_and(|t| t.presence == Presence::Up)
    }

    /// Returns true if the announcement is one of a dispute about an entry, so that the other
    /// replicas should hear of it.
    #[must_use]
    pub fn is_disputed(&self, id: &str, incarnation: u64, seq: u64) -> bool {
        let dispute = self.targets.get(id).and_then(|entry| entry.dispute);
        dispute.is_some_and(|d| (d.incarnation, d.seq) == (incarnation, seq))
    }

    /// Returns true if another target at the same address, which is not down, has started
    /// later.
    fn is_address_taken(&self, announced: &AnnouncedTarget) -> bool {
        let ids = self.addresses.get(&announced.address).into_iter().flatten();
        ids.filter_map(|id| self.targets.get(id)).any(|e| {
            e.announced.id != announced.id
                && e.announced.incarnation > announced.incarnation
                && e.announced.presence != Presence::Down
        })
    }

    /// Returns true if no newer announcement of the same target is known, or the entry has
    /// been disputed for long enough.
    fn is_newest(&mut self, announced: &AnnouncedTarget, now: time::Duration) -> bool {
        let Some(entry) = self.targets.get_mut(&announced.id) else {
            return true;
        };
        let AnnouncedTarget { incarnation, seq, .. } = *announced;
        let number = (incarnation, seq);
        match number.cmp(&(entry.announced.incarnation, entry.announced.seq)) {
            cmp::Ordering::Greater => return true,
            cmp::Ordering::Equal => return false,
            cmp::Ordering::Less => {}
        }
        let new = Dispute { incarnation, seq, since: now, last_heard: now };
        let is_over = |dispute: &Dispute| {
            dispute.since < entry.last_heard || now >= dispute.last_heard + DISPUTE_TIME
        };
        match &mut entry.dispute {
            Some(dispute) if is_over(dispute) => *dispute = new,
            // A copy, or a late one.
            Some(dispute) if number <= (dispute.incarnation, dispute.seq) => {}
            Some(dispute) if dispute.incarnation == incarnation => {
                dispute.seq = seq;
                dispute.last_heard = now;
                return now >= dispute.since + DISPUTE_TIME;
            }
            dispute => *dispute = Some(new),
        }
        false
    }

    /// Marks other targets at the same address as down.
    fn mark_others_at_address_down(&mut self, announced: &AnnouncedTarget) {
        let ids = self.addresses.get(&announced.address).into_iter().flatten();
        for id in ids.filter(|id| **id != announced.id) {
            let entry = self.targets.get_mut(id);
            if let Some(entry) = entry.filter(|e| e.announced.presence != Presence::Down) {
                entry.announced.presence = Presence::Down;
                self.revision += 1;
                entry.revision = self.revision;
            }
        }
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }
}

fn remove_address(
    addresses: &mut collections::HashMap<net::SocketAddr, collections::BTreeSet<String>>,
    address: net::SocketAddr,
    id: &str,
) {
    if let Some(ids) = addresses.get_mut(&address) {
        ids.remove(id);
        if ids.is_empty() {
            addresses.remove(&address);
        }
    }
}
