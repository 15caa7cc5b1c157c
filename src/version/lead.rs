//! Soft state of the leading control replica: the token buckets of the rate
//! limits, the liveness of targets and gateway sessions, and the planning of
//! placement.
//!
//! None of this state is in the log. A new leader starts with none of it and
//! learns the liveness, load and demand from the reports of gateways.

use std::{collections, mem, ops, time};

use crate::request::limit::{self, owner, place, prefill, turn};

use super::{announce, claim, culprit, memory, placement, placer, raft, state, suspect, view};

/// A target of the view that has not been announced to the leader for this long
/// is marked as down there. The directory has a time-out of its own.
const TARGET_TTL: time::Duration = time::Duration::from_secs(3);

/// A session is ended if its gateway has not reported for this long.
const SESSION_TTL: time::Duration = time::Duration::from_secs(5);

/// A target that has been down or leaving for this long is removed from the view.
const TARGET_RETENTION: time::Duration = time::Duration::from_hours(1);

/// Maximum number of target loads in one reply to a report.
const MAX_LOADS: usize = 150;

/// Time for which announcements may lack an item that is resident according to
/// the view's memory allocations. A load can be committed before the target
/// announces the item.
const ANNOUNCE_LAG: time::Duration = time::Duration::from_secs(5);

/// Settings of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policy {
    /// By how much workspaces may exceed their rate limits.
    pub tolerance: limit::Tolerance,
    /// Fraction of each rate at which a new leader grants tokens while grants of an earlier
    /// one may be outstanding. Uses up a part of the tolerance.
    pub takeover_fraction: f64,
    /// Time for which a new leader sends no orders to announced targets, so that
    /// orders of an earlier leader do not arrive between its own. Targets that
    /// check fencing tokens do not need it.
    pub takeover_delay: time::Duration,
}

/// Soft state of a leader.
#[derive(Debug)]
pub struct Leader {
    owner: owner::Owner,
    /// Plans the targets of the view, by commands that go through the log.
    planner: placement::Planner,
    target_status: collections::BTreeMap<String, placement::TargetStatus>,
    /// When each session last reported.
    last_reports: collections::BTreeMap<claim::Session, time::Duration>,
    /// When each target that is not up was first found so.
    not_up_since: collections::BTreeMap<String, time::Duration>,
    /// Since when an item has been resident according to the view's memory
    /// allocations but not announced, by target and item.
    missing_since: collections::BTreeMap<(String, memory::Item), time::Duration>,
    /// Last target whose load was returned by [`Leader::next_loads`].
    load_cursor: String,
    /// When this replica became leader.
    started: time::Duration,
    /// Plans the targets of the directory, by orders that the targets confirm.
    placer: placer::Placer,
    /// Finds what crashes the targets of the directory.
    culprits: culprit::Finder,
    /// Turns at the targets that state a limit of requests.
    turns: turn::Turns,
    /// Places at the targets that must not be overfilled.
    places: place::Places,
    /// Prompts that model engines read, and those that wait.
    prefills: prefill::Prefills,
    policy: Policy,
}

impl Leader {
    /// Creates the state of a replica that becomes leader at `now` in `term`.
    #[must_use]
    pub fn new(term: raft::Term, policy: Policy, now: time::Duration) -> Self {
        Self {
            owner: owner::Owner::new(term, now).with_takeover_fraction(policy.takeover_fraction),
            planner: placement::Planner::default(),
            target_status: collections::BTreeMap::new(),
            last_reports: collections::BTreeMap::new(),
            not_up_since: collections::BTreeMap::new(),
            missing_since: collections::BTreeMap::new(),
            load_cursor: String::new(),
            started: now,
            placer: placer::Placer::new(term, now, policy.takeover_delay),
            culprits: culprit::Finder::default(),
            turns: turn::Turns::after_takeover(now),
            places: place::Places::new(term),
            prefills: prefill::Prefills::new(term),
            policy,
        }
    }

    /// Starts a full token bucket for a workspace that the log has just created.
    /// `limit` is its rate and burst.
    pub fn workspace_created(&mut self, name: &str, limit: (u64, u64), now: time::Duration) {
        self.owner.create(name, self.limit_of(limit), now);
    }

    /// Replies to a gateway's request for rate-limit tokens, or returns `None` for an
    /// unknown workspace. `non_reporting_fraction` is the fraction of gateways that
    /// are not reporting.
    pub fn handle_grant_request(
        &mut self,
        request: &limit::GrantRequest,
        view: &view::View,
        non_reporting_fraction: f64,
        now: time::Duration,
    ) -> Option<limit::GrantReply> {
        let limit = self.limit_of(view.rate_limit(&request.workspace)?);
        self.owner.set_non_reporting_fraction(non_reporting_fraction);
        Some(self.owner.handle(request, limit, now))
    }

    /// Handles the report of a gateway and returns the changes to propose.
    pub fn handle_report(
        &mut self,
        report: &announce::Report,
        state: &state::State,
        now: time::Duration,
    ) -> Vec<state::Change> {
        let mut changes = Vec::new();
        self.last_reports.insert(report.session, now);
        if !state.claims.is_session_live(report.session) {
            changes.push(state::Change::BeginSession(report.session));
        }
        self.planner.demands_mut().report(report.session, &report.demand, now);
        for item in &report.wanted {
            self.planner.mark_wanted(item, now);
        }
        for announcement in &report.announcements {
            changes.extend(self.handle_announcement(announcement, &state.view, now));
        }
        changes
    }

    /// Grants or denies a gateway a turn at a target that states a limit of requests.
    pub fn handle_turn_request(
        &mut self,
        request: &turn::TurnRequest,
        now: time::Duration,
    ) -> turn::TurnReply {
        self.turns.request(request, now)
    }

    /// Returns the prompts that model engines read, and those that wait.
    pub fn prefills_mut(&mut self) -> &mut prefill::Prefills {
        &mut self.prefills
    }

    /// Returns the places at targets that must not be overfilled.
    pub fn places_mut(&mut self) -> &mut place::Places {
        &mut self.places
    }

    /// Records the crashes of targets that a gateway saw.
    pub fn record_crashes(&mut self, report: culprit::Report, now: time::Duration) {
        self.culprits.record(report, now);
    }

    /// Returns the changes to propose for what crashes targets, and for targets, sessions
    /// and suspects whose time has run out.
    pub fn tick(&mut self, state: &state::State, now: time::Duration) -> Vec<state::Change> {
        let mut changes = Vec::new();
        for (name, target) in state.view.targets() {
            let at = self.target_status.get(name).map_or(self.started, |s| s.received_at);
            let incarnation = target.incarnation;
            let name = name.clone();
            if target.presence == view::Presence::Up {
                self.not_up_since.remove(&name);
                if now >= at + TARGET_TTL {
                    let mark_down = view::Command::MarkDown { name, incarnation };
                    changes.push(state::Change::View(mark_down));
                }
            } else if now
                >= *self.not_up_since.entry(name.clone()).or_insert(now) + TARGET_RETENTION
            {
                let remove_target = view::Command::RemoveTarget { name, incarnation };
                changes.push(state::Change::View(remove_target));
            }
        }
        for session in state.claims.sessions() {
            let at = self.last_reports.get(&session).copied().unwrap_or(self.started);
            if now >= at + SESSION_TTL {
                changes.push(state::Change::EndSession(session));
            }
        }
        self.last_reports.retain(|_, at| now < *at + SESSION_TTL * 2);
        if state.view.suspects().has_expired(state.log_time) {
            changes.push(state::Change::View(view::Command::ExpireSuspects));
        }
        let decisions = self.culprits.tick(state.view.suspects(), now);
        changes.extend(decisions.into_iter().map(|d| state::Change::View(verdict_command(d))));
        changes
    }

    /// Plans placement and returns the commands to propose. The commands of the
    /// previous plan must have been applied.
    pub fn plan(&mut self, view: &view::View, now: time::Duration) -> Vec<view::Command> {
        // Targets that are alive but have not been announced to this leader yet
        // would be planned as lost.
        if now < self.started + TARGET_TTL {
            return Vec::new();
        }
        self.planner.plan(view, &self.target_status, now)
    }

    /// Returns the placer, which places models and adapters on the targets of
    /// the directory.
    pub fn placer_mut(&mut self) -> &mut placer::Placer {
        &mut self.placer
    }

    /// Records that the response to an order was lost, so that the order is sent
    /// again soon.
    pub fn answer_lost(&mut self, target: &str, item: &memory::Item, now: time::Duration) {
        self.planner.mark_answer_lost(target, item, now);
    }

    /// Returns the loads of the next targets, in round-robin order, that were
    /// announced within `TARGET_TTL`.
    ///
    /// Their number is bounded by `MAX_LOADS`, so that the size of a reply does
    /// not grow with the number of targets. Gateways also receive the load of a
    /// target in each of its responses.
    pub fn next_loads(&mut self, now: time::Duration) -> Vec<announce::Load> {
        let cursor = mem::take(&mut self.load_cursor);
        let (start, end) = (ops::Bound::Unbounded, ops::Bound::Unbounded);
        let after =
            self.target_status.range::<str, _>((ops::Bound::Excluded(cursor.as_str()), end));
        let before =
            self.target_status.range::<str, _>((start, ops::Bound::Included(cursor.as_str())));
        let live = after.chain(before).filter(|(_, s)| now < s.received_at + TARGET_TTL);
        let to_load = |(target, status): (&String, &placement::TargetStatus)| announce::Load {
            target: target.clone(),
            requests: status.load,
        };
        let loads: Vec<_> = live.take(MAX_LOADS).map(to_load).collect();
        self.load_cursor = loads.last().map(|l| l.target.clone()).unwrap_or_default();
        loads
    }

    fn limit_of(&self, (rate, burst): (u64, u64)) -> owner::Limit {
        self.policy.tolerance.widen(owner::Limit { rate, burst })
    }

    fn handle_announcement(
        &mut self,
        announcement: &announce::Announcement,
        view: &view::View,
        now: time::Duration,
    ) -> Vec<state::Change> {
        let announce::Announcement { name, target, resident, load, busy } = announcement;
        let known = view.targets().get(name);
        if known.is_some_and(|k| k.incarnation > target.incarnation) {
            return Vec::new();
        }
        self.target_status.insert(
            name.clone(),
            placement::TargetStatus { received_at: now, load: *load, busy: busy.clone() },
        );
        let leaving = known.is_some_and(|k| {
            k.incarnation == target.incarnation && k.presence == view::Presence::Leaving
        });
        if known != Some(target) && !leaving {
            // Resident items that have no model or adapter record in the view are
            // included, since they use memory.
            let command = view::Command::AnnounceTarget {
                name: name.clone(),
                target: target.clone(),
                resident: resident.clone(),
            };
            return vec![state::Change::View(command)];
        }
        self.find_missing(announcement, view, now)
    }

    /// Returns commands for items that are resident according to the view's
    /// memory allocations but have not been announced for `ANNOUNCE_LAG`.
    fn find_missing(
        &mut self,
        announcement: &announce::Announcement,
        view: &view::View,
        now: time::Duration,
    ) -> Vec<state::Change> {
        let Some(account) = view.memory_allocations().account(&announcement.name) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        for (item, allocation) in &account.allocations {
            let key = (announcement.name.clone(), item.clone());
            let announced = announcement.resident.iter().any(|(i, _)| i == item);
            if announced || allocation.phase != memory::Phase::Resident {
                self.missing_since.remove(&key);
                continue;
            }
            let since = *self.missing_since.entry(key).or_insert(now);
            if now >= since + ANNOUNCE_LAG {
                changes.push(state::Change::View(view::Command::ReportMissing {
                    target: announcement.name.clone(),
                    incarnation: announcement.target.incarnation,
                    item: item.clone(),
                }));
            }
        }
        changes
    }
}

/// Returns the command that puts a decision in force, and logs the decision.
fn verdict_command(decision: culprit::Decision) -> view::Command {
    let culprit::Decision { fingerprint, verdict, crashes } = decision;
    spdlog::info!("verdict on requests that may crash targets", kv: {
        fingerprint = fingerprint.to_string().as_str(),
        verdict = format!("{verdict:?}").as_str(),
        crashes = crashes
    });
    match verdict {
        suspect::Verdict::Clear => view::Command::ClearSuspect { fingerprint },
        suspect::Verdict::Suspect => view::Command::RecordCrash { fingerprint, exclusive: false },
        suspect::Verdict::Refused => view::Command::RecordCrash { fingerprint, exclusive: true },
    }
}
