//! The leading replica's work that needs no log of its own: owning the
//! rates, watching targets and sessions, and planning placement.
//!
//! All of this state is soft. A new leader starts without it and rebuilds it
//! from what entries report.

use std::{collections, mem, ops, time};

use crate::request::limit::{self, owner};

use super::{announce, claim, memory, placement, placer, raft, state, view};

/// A target whose announcements stop for this long is taken to be down.
const TARGET_TTL: time::Duration = time::Duration::from_secs(3);

/// A session whose reports stop for this long is ended.
const SESSION_TTL: time::Duration = time::Duration::from_secs(5);

/// A target that was down for this long is forgotten.
const FORGET: time::Duration = time::Duration::from_hours(1);

/// Loads in one answer.
const LOADS: usize = 150;

/// How long after the commit of a load an announcement may still lack it.
const ANNOUNCE_LAG: time::Duration = time::Duration::from_secs(5);

/// What an operator decides about leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policy {
    /// How far workspaces may go beyond their limits.
    pub tolerance: limit::Tolerance,
    /// How long a new leader gives no orders to announced targets, so that none
    /// of an earlier leader's comes between them. Targets that check fencing
    /// tokens need no such time.
    pub quiet: time::Duration,
}

/// The soft state of a leader.
#[derive(Debug)]
pub struct Leader {
    owner: owner::Owner,
    planner: placement::Planner,
    seen: collections::BTreeMap<String, placement::Seen>,
    sessions: collections::BTreeMap<claim::Session, time::Duration>,
    lapsed: collections::BTreeMap<String, time::Duration>,
    lacking: collections::BTreeMap<(String, memory::Item), time::Duration>,
    /// Target whose load was handed out last.
    cursor: String,
    since: time::Duration,
    placer: placer::Placer,
    policy: Policy,
}

impl Leader {
    /// Starts to lead at `now` in `term`.
    #[must_use]
    pub fn new(term: raft::Term, policy: Policy, now: time::Duration) -> Self {
        Self {
            owner: owner::Owner::new(term, now),
            planner: placement::Planner::default(),
            seen: collections::BTreeMap::new(),
            sessions: collections::BTreeMap::new(),
            lapsed: collections::BTreeMap::new(),
            lacking: collections::BTreeMap::new(),
            cursor: String::new(),
            since: now,
            placer: placer::Placer::new(term, now, policy.quiet),
            policy,
        }
    }

    /// Notes a workspace that the log has just created.
    pub fn created(&mut self, name: &str, limit: (u64, u64), now: time::Duration) {
        self.owner.create(name, self.limit_of(limit), now);
    }

    /// Answers an ask for tokens, or returns `None` for an unknown workspace.
    /// `absent` is the part of the entries that can't be heard.
    pub fn ask(
        &mut self,
        ask: &limit::GrantRequest,
        view: &view::View,
        absent: f64,
        now: time::Duration,
    ) -> Option<limit::GrantReply> {
        let limit = self.limit_of(view.limit(&ask.workspace)?);
        self.owner.set_absent_fraction(absent);
        Some(self.owner.handle(ask, limit, now))
    }

    /// Takes in an entry's report and returns the changes that it calls for.
    pub fn report(
        &mut self,
        report: &announce::Report,
        state: &state::State,
        now: time::Duration,
    ) -> Vec<state::Change> {
        let mut changes = Vec::new();
        self.sessions.insert(report.session, now);
        if !state.claims.is_live(report.session) {
            changes.push(state::Change::Begin(report.session));
        }
        self.planner.demands().report(report.session, &report.demand, now);
        for item in &report.wanted {
            self.planner.want(item, now);
        }
        for heard in &report.announcements {
            changes.extend(self.heard(heard, &state.view, now));
        }
        changes
    }

    /// Lets time pass and returns the changes that it calls for, without those
    /// of placement.
    pub fn tick(&mut self, state: &state::State, now: time::Duration) -> Vec<state::Change> {
        let mut changes = Vec::new();
        for (name, target) in state.view.targets() {
            let at = self.seen.get(name).map_or(self.since, |s| s.at);
            let incarnation = target.incarnation;
            let name = name.clone();
            if target.state == view::Presence::Up {
                self.lapsed.remove(&name);
                if now >= at + TARGET_TTL {
                    let lapse = view::Command::Lapse { name, incarnation };
                    changes.push(state::Change::View(lapse));
                }
            } else if now >= *self.lapsed.entry(name.clone()).or_insert(now) + FORGET {
                let forget = view::Command::Forget { name, incarnation };
                changes.push(state::Change::View(forget));
            }
        }
        for session in state.claims.sessions() {
            let at = self.sessions.get(&session).copied().unwrap_or(self.since);
            if now >= at + SESSION_TTL {
                changes.push(state::Change::End(session));
            }
        }
        self.sessions.retain(|_, at| now < *at + SESSION_TTL * 2);
        if state.view.suspects().expired(state.time) {
            changes.push(state::Change::View(view::Command::Expire));
        }
        changes
    }

    /// Plans placement. Every command of the plan before must be applied.
    pub fn plan(&mut self, view: &view::View, now: time::Duration) -> Vec<view::Command> {
        // Before every live target had time to announce itself, a plan would
        // take those that did not for lost.
        if now < self.since + TARGET_TTL {
            return Vec::new();
        }
        self.planner.plan(view, &self.seen, now)
    }

    /// Returns what places models on announced targets.
    pub fn placer(&mut self) -> &mut placer::Placer {
        &mut self.placer
    }

    /// Notes that the answer to an order was lost.
    pub fn order_lost(&mut self, target: &str, item: &memory::Item, now: time::Duration) {
        self.planner.lost(target, item, now);
    }

    /// Returns the loads of the next targets in turn that were heard of lately.
    ///
    /// An answer holds a bounded number of them, so that its size does not grow
    /// with the number of targets. Entries also hear a target's load with each
    /// answer that they get from it.
    pub fn loads(&mut self, now: time::Duration) -> Vec<announce::Load> {
        let cursor = mem::take(&mut self.cursor);
        let (start, end) = (ops::Bound::Unbounded, ops::Bound::Unbounded);
        let after = self.seen.range::<str, _>((ops::Bound::Excluded(cursor.as_str()), end));
        let before = self.seen.range::<str, _>((start, ops::Bound::Included(cursor.as_str())));
        let live = after.chain(before).filter(|(_, s)| now < s.at + TARGET_TTL);
        let load = |(target, seen): (&String, &placement::Seen)| announce::Load {
            target: target.clone(),
            requests: seen.load,
        };
        let loads: Vec<_> = live.take(LOADS).map(load).collect();
        self.cursor = loads.last().map(|l| l.target.clone()).unwrap_or_default();
        loads
    }

    fn limit_of(&self, (rate, burst): (u64, u64)) -> owner::Limit {
        self.policy.tolerance.widen(owner::Limit { rate, burst })
    }

    fn heard(
        &mut self,
        heard: &announce::Announcement,
        view: &view::View,
        now: time::Duration,
    ) -> Vec<state::Change> {
        let announce::Announcement { name, target, resident, load, busy } = heard;
        let known = view.targets().get(name);
        if known.is_some_and(|k| k.incarnation > target.incarnation) {
            return Vec::new();
        }
        self.seen
            .insert(name.clone(), placement::Seen { at: now, load: *load, busy: busy.clone() });
        let leaving = known.is_some_and(|k| {
            k.incarnation == target.incarnation && k.state == view::Presence::Leaving
        });
        if known != Some(target) && !leaving {
            // Items without a record are taken in as well: their memory is used.
            let command = view::Command::Announce {
                name: name.clone(),
                target: target.clone(),
                resident: resident.clone(),
            };
            return vec![state::Change::View(command)];
        }
        self.missing(heard, view, now)
    }

    /// Finds items that should be resident but have not been announced for a
    /// while.
    fn missing(
        &mut self,
        heard: &announce::Announcement,
        view: &view::View,
        now: time::Duration,
    ) -> Vec<state::Change> {
        let Some(room) = view.ledger().room(&heard.name) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        for (item, slot) in &room.slots {
            let place = (heard.name.clone(), item.clone());
            let announced = heard.resident.iter().any(|(i, _)| i == item);
            if announced || slot.phase != memory::Phase::Resident {
                self.lacking.remove(&place);
                continue;
            }
            let since = *self.lacking.entry(place).or_insert(now);
            if now >= since + ANNOUNCE_LAG {
                changes.push(state::Change::View(view::Command::Missing {
                    target: heard.name.clone(),
                    incarnation: heard.target.incarnation,
                    item: item.clone(),
                }));
            }
        }
        changes
    }
}
