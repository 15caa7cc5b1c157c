//! Sums of traffic reports, sent as what has changed since the last time.
//!
//! Built for 300 gateways, each of which asks one of a few replicas four times a second for the
//! load of 3,000 targets. The replica keeps what it has sent to each gateway, 12 bytes for each
//! target, and sends what differs from that, with a number in place of the id of a target that
//! the gateway has been told. The receiver states which copy it has. If that is not the one
//! that was sent last, because a reply was lost or the receiver was with another replica, it
//! gets a whole copy.
//!
//! Alternatives: one sequence of changes for all receivers, of which each subtracts its own part,
//! needs no memory for each receiver, but a held back change would make a receiver's own
//! requests count as those of others. A log of changes with a revision for each target has to
//! be kept for as long as the slowest receiver needs it.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::{
    census,
    directory::Requirement,
    raft,
    sums::{Figures, Rest},
    traffic::{Demand, Load, Placed, Report, TokenRate, Traffic},
};

/// How long small changes of a load are held back, less the time between two synchronizations.
const HOLD_TIME: time::Duration = time::Duration::from_millis(750);

/// Changes of a load by fewer requests may be small.
const SMALL_CHANGE: u32 = 2;

/// Changes of a load by a smaller part than one in this many may be small.
const SMALL_PART: u64 = 8;

/// How long the copy of a receiver is kept after its last synchronization.
const COPY_TTL: time::Duration = time::Duration::from_secs(2);

/// Loads in whole copies to gateways, per second: 3,000 each for 300 gateways within a second,
/// after the replica has restarted.
const WHOLE_LOADS_PER_SECOND: f64 = 900_000.0;

/// Loads in whole copies that may be sent at once.
const WHOLE_LOADS_BURST: f64 = 225_000.0;

/// Identifies a copy of the sums of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Random number that identifies one run of the replica.
    pub epoch: u64,
    /// Revision of the copy; zero for none.
    pub revision: u64,
}

/// Load of a numbered target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedLoad {
    /// Number of the target.
    pub number: u32,
    /// As in [`Load`].
    pub running: u32,
    /// As in [`Load`].
    pub prompt_tokens: u32,
}

/// What has changed in the sums of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Run of the replica.
    pub epoch: u64,
    /// Revision of the copy that this applies to; zero if this is a whole copy.
    pub base: u64,
    /// Revision of the copy with these changes.
    pub revision: u64,
    /// Ids of targets with numbers that the receiver does not know.
    pub names: Vec<(u32, String)>,
    /// Changed loads.
    pub loads: Vec<NumberedLoad>,
    /// Requests with places, of those changed loads that have some.
    pub placed: Vec<(u32, Vec<Placed>)>,
    /// Targets that have no load any more.
    pub idle: Vec<u32>,
    /// Changed rates.
    pub token_rates: Vec<TokenRate>,
    /// Workspaces that have no rate any more.
    pub removed_rates: Vec<String>,
    /// Changed demands; none in what a gateway gets.
    pub demands: Vec<Demand>,
    /// Models and adapters without demand any more.
    pub removed_demands: Vec<Requirement>,
    /// Gateways in the sum, if they have changed; none in what a gateway gets.
    pub gateways: Option<Vec<census::GatewayId>>,
}

impl Difference {
    /// Returns the number of loads, demands and rates.
    #[must_use]
    pub fn items(&self) -> usize {
        self.loads.len() + self.demands.len() + self.token_rates.len() + self.names.len()
    }
}

/// What a sync reply tells of the sums.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Loads {
    /// What has changed.
    Difference(Box<Difference>),
    /// Nothing this time: the gateway keeps what it has, and asks again.
    Withheld,
}

impl Loads {
    /// Returns the value used in metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Difference(difference) if difference.base == 0 => "whole",
            Self::Difference(_) => "difference",
            Self::Withheld => "withheld",
        }
    }
}

/// Load of a target as it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum SentLoad {
    /// The receiver does not know the number.
    #[default]
    Unknown,
    Idle,
    Busy {
        running: u32,
        prompt_tokens: u32,
    },
}

/// What a receiver was sent.
#[derive(Clone, Debug, Default)]
struct Sent {
    revision: u64,
    /// Numbers of the targets in `loads`.
    layout: u64,
    loads: Vec<SentLoad>,
    placed: collections::BTreeMap<u32, Vec<Placed>>,
    token_rates: collections::BTreeMap<String, f64>,
    demands: collections::BTreeMap<Requirement, Demand>,
    gateways: Vec<census::GatewayId>,
    /// When small changes were sent last.
    complete_at: time::Duration,
    updated_at: time::Duration,
}

impl Sent {
    /// Adds the loads that differ to `difference`; all small changes too, if `exact`.
    fn update_loads(&mut self, rest: &Rest<'_>, exact: bool, difference: &mut Difference) {
        for numbered in rest.loads() {
            let number = numbered.number;
            let at = usize::try_from(number).unwrap_or(usize::MAX);
            if self.loads.len() <= at {
                self.loads.resize(at + 1, SentLoad::Unknown);
            }
            let sent = &mut self.loads[at];
            let Some(figures) = numbered.figures else {
                if matches!(sent, SentLoad::Busy { .. }) {
                    *sent = SentLoad::Idle;
                    self.placed.remove(&number);
                    difference.idle.push(number);
                }
                continue;
            };
            let Figures { running, prompt_tokens, placed } = figures;
            let before = self.placed.get(&number).map_or(&[][..], Vec::as_slice);
            let has_places = !placed.is_empty() || !before.is_empty();
            let is_same = *sent == (SentLoad::Busy { running, prompt_tokens }) && placed == before;
            let may_wait = !exact && !has_places && sent.is_near(running, prompt_tokens);
            if is_same || may_wait {
                continue;
            }
            if *sent == SentLoad::Unknown {
                difference.names.push((number, numbered.target.to_owned()));
            }
            *sent = SentLoad::Busy { running, prompt_tokens };
            difference.loads.push(NumberedLoad { number, running, prompt_tokens });
            if placed.is_empty() {
                self.placed.remove(&number);
            } else {
                difference.placed.push((number, placed.clone()));
                self.placed.insert(number, placed);
            }
        }
    }

    fn update_rates(&mut self, rest: &Rest<'_>, difference: &mut Difference) {
        let mut current = collections::BTreeSet::new();
        for (workspace, rate) in rest.token_rates() {
            current.insert(workspace);
            let sent = self.token_rates.get_mut(workspace);
            if sent.as_ref().is_some_and(|sent| sent.to_bits() == rate.to_bits()) {
                continue;
            }
            match sent {
                Some(sent) => *sent = rate,
                None => drop(self.token_rates.insert(workspace.to_owned(), rate)),
            }
            difference.token_rates.push(TokenRate { workspace: workspace.to_owned(), rate });
        }
        self.token_rates.retain(|workspace, _| {
            let remains = current.contains(workspace.as_str());
            if !remains {
                difference.removed_rates.push(workspace.clone());
            }
            remains
        });
    }

    fn update_demands(&mut self, rest: &Rest<'_>, difference: &mut Difference) {
        let current = rest.demands().map(|demand| (requirement(&demand), demand));
        let current: collections::BTreeMap<_, _> = current.collect();
        let changed = current.iter().filter(|(key, d)| self.demands.get(*key) != Some(*d));
        difference.demands = changed.map(|(_, demand)| demand.clone()).collect();
        let removed = self.demands.keys().filter(|key| !current.contains_key(*key));
        difference.removed_demands = removed.cloned().collect();
        self.demands = current;
    }

    fn update_gateways(&mut self, rest: &Rest<'_>, difference: &mut Difference) {
        let gateways: Vec<_> = rest.gateways().collect();
        if gateways != self.gateways {
            difference.gateways = Some(gateways.clone());
            self.gateways = gateways;
        }
    }
}

impl SentLoad {
    /// Returns whether a load differs from what was sent by a small change only.
    fn is_near(self, running: u32, prompt_tokens: u32) -> bool {
        let Self::Busy { running: before, prompt_tokens: tokens_before } = self else {
            return false;
        };
        let by = running.abs_diff(before);
        let is_part = |by: u32, of: u32| by == 0 || SMALL_PART * u64::from(by) < u64::from(of);
        by < SMALL_CHANGE
            && is_part(by, before)
            && is_part(prompt_tokens.abs_diff(tokens_before), tokens_before)
    }
}

/// What a replica has sent to the gateways and to the other replicas.
#[derive(Debug)]
pub struct Outgoing {
    epoch: u64,
    revision: u64,
    gateways: collections::BTreeMap<census::GatewayId, Sent>,
    replicas: collections::BTreeMap<raft::NodeId, Sent>,
    /// Loads in whole copies that may be sent now; negative after a large one.
    whole_loads: f64,
    refilled_at: time::Duration,
}

impl Outgoing {
    /// Creates the state of the run `epoch` of a replica.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            revision: 0,
            gateways: collections::BTreeMap::new(),
            replicas: collections::BTreeMap::new(),
            whole_loads: WHOLE_LOADS_BURST,
            refilled_at: time::Duration::ZERO,
        }
    }

    /// Returns what a gateway that has the copy `known` gets of the reports of all others.
    pub fn to_gateway(
        &mut self,
        traffic: &mut Traffic,
        gateway: census::GatewayId,
        known: Position,
        now: time::Duration,
    ) -> Loads {
        traffic.advance(now);
        let layout = traffic.layout();
        let mut sent = self.gateways.remove(&gateway).unwrap_or_default();
        let is_current = known == Position { epoch: self.epoch, revision: sent.revision };
        if !is_current || known.revision == 0 || sent.layout != layout {
            if !self.may_send_whole(traffic.numbered_targets(), now) {
                return Loads::Withheld;
            }
            sent = Sent { layout, ..Sent::default() };
        }
        let exact = now >= sent.complete_at + HOLD_TIME;
        let mut difference = self.begin(&mut sent, now);
        let rest = traffic.rest(gateway);
        sent.update_loads(&rest, exact, &mut difference);
        sent.update_rates(&rest, &mut difference);
        if exact {
            sent.complete_at = now;
        }
        self.gateways.insert(gateway, sent);
        Loads::Difference(Box::new(difference))
    }

    /// Returns what another replica gets of the reports of this one's gateways. All figures are
    /// exact: the leader decides by them.
    pub fn to_replica(
        &mut self,
        traffic: &mut Traffic,
        replica: raft::NodeId,
        now: time::Duration,
    ) -> Difference {
        traffic.advance(now);
        let layout = traffic.local_layout();
        let mut sent = self.replicas.remove(&replica).unwrap_or_default();
        if sent.layout != layout {
            sent = Sent { layout, ..Sent::default() };
        }
        let mut difference = self.begin(&mut sent, now);
        let rest = traffic.local_sums();
        sent.update_loads(&rest, true, &mut difference);
        sent.update_rates(&rest, &mut difference);
        sent.update_demands(&rest, &mut difference);
        sent.update_gateways(&rest, &mut difference);
        self.replicas.insert(replica, sent);
        difference
    }

    /// Has the next difference to a replica be a whole copy, as it does not have the one before.
    pub fn forget_replica(&mut self, replica: raft::NodeId) {
        self.replicas.remove(&replica);
    }

    /// Forgets receivers without a recent synchronization.
    pub fn remove_silent(&mut self, now: time::Duration) {
        self.gateways.retain(|_, sent| now < sent.updated_at + COPY_TTL);
        self.replicas.retain(|_, sent| now < sent.updated_at + COPY_TTL);
    }

    fn begin(&mut self, sent: &mut Sent, now: time::Duration) -> Difference {
        self.revision += 1;
        let difference = Difference {
            epoch: self.epoch,
            base: sent.revision,
            revision: self.revision,
            ..Difference::default()
        };
        sent.revision = self.revision;
        sent.updated_at = now;
        difference
    }

    fn may_send_whole(&mut self, loads: usize, now: time::Duration) -> bool {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let refilled = self.whole_loads + passed * WHOLE_LOADS_PER_SECOND;
        self.whole_loads = refilled.min(WHOLE_LOADS_BURST);
        self.refilled_at = now;
        if self.whole_loads < 0.0 {
            return false;
        }
        self.whole_loads -= f64::from(u32::try_from(loads).unwrap_or(u32::MAX));
        true
    }
}

/// What became of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The copy has its changes.
    Current,
    /// It is older than the copy, which stays as it is.
    Outdated,
    /// It belongs to another copy. This one keeps its figures, but has no position any more.
    Missing,
}

/// A copy of the sums of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReceivedSums {
    position: Position,
    names: collections::BTreeMap<u32, String>,
    loads: collections::BTreeMap<String, Load>,
    token_rates: collections::BTreeMap<String, f64>,
    demands: collections::BTreeMap<Requirement, Demand>,
    gateways: Vec<census::GatewayId>,
}

impl ReceivedSums {
    /// Returns which copy this is.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Applies a difference.
    pub fn apply(&mut self, difference: Difference) -> Applied {
        let Position { epoch, revision } = self.position;
        let is_same_run = epoch == difference.epoch;
        if is_same_run && difference.revision <= revision {
            return Applied::Outdated;
        }
        if difference.base == 0 {
            *self = Self::default();
        } else if !is_same_run || difference.base != revision {
            self.position = Position::default();
            return Applied::Missing;
        }
        self.position = Position { epoch: difference.epoch, revision: difference.revision };
        self.names.extend(difference.names);
        let names = &self.names;
        for load in difference.loads {
            let Some(target) = names.get(&load.number) else {
                self.position = Position::default();
                return Applied::Missing;
            };
            let NumberedLoad { running, prompt_tokens, .. } = load;
            let load = Load { target: target.clone(), running, prompt_tokens, placed: Vec::new() };
            self.loads.insert(target.clone(), load);
        }
        for (number, placed) in difference.placed {
            if let Some(load) = names.get(&number).and_then(|name| self.loads.get_mut(name)) {
                load.placed = placed;
            }
        }
        for number in difference.idle {
            names.get(&number).and_then(|name| self.loads.remove(name));
        }
        let rates = difference.token_rates.into_iter();
        self.token_rates.extend(rates.map(|r| (r.workspace, r.rate)));
        for removed in &difference.removed_rates {
            self.token_rates.remove(removed);
        }
        let demands = difference.demands.into_iter();
        self.demands.extend(demands.map(|demand| (requirement(&demand), demand)));
        for removed in &difference.removed_demands {
            self.demands.remove(removed);
        }
        if let Some(gateways) = difference.gateways {
            self.gateways = gateways;
        }
        Applied::Current
    }

    /// Returns the sums.
    #[must_use]
    pub fn report(&self) -> Report {
        let token_rates = self.token_rates.iter();
        let token_rates = token_rates
            .map(|(workspace, rate)| TokenRate { workspace: workspace.clone(), rate: *rate });
        Report {
            loads: self.loads.values().cloned().collect(),
            token_rates: token_rates.collect(),
            demands: self.demands.values().cloned().collect(),
            gateways: self.gateways.clone(),
            ..Report::default()
        }
    }
}

fn requirement(demand: &Demand) -> Requirement {
    Requirement {
        service: demand.service.clone(),
        model: demand.model.clone(),
        adapter: demand.adapter.clone(),
    }
}
