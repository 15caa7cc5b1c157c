//! Messages of version 2 of the format, for builds that speak no later one.
//!
//! They have neither software versions of targets nor origins of streams, nor tunnels. A
//! message that needs one of these has no equivalent and is not sent. Targets that are known
//! from such a message have no software version, so that no stream continues at them.

use std::{net, time};

use serde::{Deserialize, Serialize};

use super::{Hello, Status, Update};
use crate::{
    process::{clock, timeline},
    request::limit::{self, turn},
    version::{announce, census, culprit, directory, placer, raft, state, traffic, view},
};

/// The version.
pub(super) const VERSION: u32 = 2;

/// The message has no equivalent in this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NoEquivalent;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Frame {
    pub(super) stamp: clock::Stamp,
    pub(super) body: Body,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Body {
    Hello(Hello),
    Raft(raft::Message),
    Call { id: u64, call: Call },
    Reply { id: u64, reply: Reply },
    Gossip { from: raft::NodeId, gossip: Gossip },
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Gossip {
    TargetAnnounced(AnnouncedTarget),
    Leaving { id: String, incarnation: Option<u64> },
    HoldingsUpdated(directory::HoldingsUpdate),
    Traffic(Report),
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct AnnouncedTarget {
    id: String,
    service: String,
    address: net::SocketAddr,
    domain: String,
    slots: u32,
    presence: view::Presence,
    incarnation: u64,
    seq: u64,
    holdings: Vec<directory::Holding>,
    cached_models: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Report {
    loads: Vec<traffic::Load>,
    demands: Vec<traffic::Demand>,
    token_rates: Vec<traffic::TokenRate>,
    gateways: Vec<census::GatewayId>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SyncRequest {
    gateway_id: census::GatewayId,
    index: raft::Index,
    epoch: u64,
    revision: u64,
    report: Report,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SyncReply {
    update: Option<Update>,
    domain: String,
    epoch: u64,
    revision: u64,
    changed_targets: Vec<AnnouncedTarget>,
    report: Report,
    reporting_gateways: u32,
    known_gateways: u32,
    replicas: Vec<raft::NodeId>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Call {
    Poll {
        index: raft::Index,
    },
    Propose(state::Change),
    Sync(SyncRequest),
    RequestPlacement {
        requirement: directory::Requirement,
        lacking: Vec<String>,
        exclude: Vec<String>,
        max_wait: time::Duration,
    },
    RequestGrant(limit::GrantRequest),
    Report(announce::Report),
    Status,
    Timeline,
    ReportCrashes(culprit::Report),
    RequestTurn(turn::TurnRequest),
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    Update(Update),
    Sync(Box<SyncReply>),
    Placement(placer::Availability),
    Committed { index: raft::Index, outcome: state::Outcome },
    Grant(limit::GrantReply),
    ReportRecorded { session_live: bool, loads: Vec<announce::Load> },
    Status(Box<Status>),
    Timeline(Vec<timeline::Event>),
    NotLeader { leader: Option<raft::NodeId> },
    OutcomeUnknown,
    CrashesRecorded,
    Turn(turn::TurnReply),
}

impl From<Body> for super::Body {
    fn from(body: Body) -> Self {
        match body {
            Body::Hello(hello) => Self::Hello(hello),
            Body::Raft(message) => Self::Raft(message),
            Body::Call { id, call } => Self::Call { id, call: call.into() },
            Body::Reply { id, reply } => Self::Reply { id, reply: reply.into() },
            Body::Gossip { from, gossip } => Self::Gossip { from, gossip: gossip.into() },
        }
    }
}

impl TryFrom<super::Body> for Body {
    type Error = NoEquivalent;

    fn try_from(body: super::Body) -> Result<Self, NoEquivalent> {
        Ok(match body {
            super::Body::Hello(hello) => Self::Hello(hello),
            super::Body::Raft(message) => Self::Raft(message),
            super::Body::Call { id, call } => Self::Call { id, call: call.try_into()? },
            super::Body::Reply { id, reply } => Self::Reply { id, reply: reply.try_into()? },
            super::Body::Gossip { from, gossip } => {
                Self::Gossip { from, gossip: gossip.try_into()? }
            }
            super::Body::OpenTunnel(_) | super::Body::TunnelOpened(_) => return Err(NoEquivalent),
        })
    }
}

impl From<Gossip> for super::Gossip {
    fn from(gossip: Gossip) -> Self {
        match gossip {
            Gossip::TargetAnnounced(announced) => Self::TargetAnnounced(announced.into()),
            Gossip::Leaving { id, incarnation } => Self::Leaving { id, incarnation },
            Gossip::HoldingsUpdated(update) => Self::HoldingsUpdated(update),
            Gossip::Traffic(report) => Self::Traffic(report.into()),
        }
    }
}

impl TryFrom<super::Gossip> for Gossip {
    type Error = NoEquivalent;

    fn try_from(gossip: super::Gossip) -> Result<Self, NoEquivalent> {
        Ok(match gossip {
            super::Gossip::TargetAnnounced(announced) => Self::TargetAnnounced(announced.into()),
            super::Gossip::Leaving { id, incarnation } => Self::Leaving { id, incarnation },
            super::Gossip::HoldingsUpdated(update) => Self::HoldingsUpdated(update),
            super::Gossip::Traffic(report) => Self::Traffic(report.into()),
            super::Gossip::StreamsBegun(_)
            | super::Gossip::TargetsAnnounced(_)
            | super::Gossip::TrafficDifference(_) => return Err(NoEquivalent),
        })
    }
}

impl From<AnnouncedTarget> for directory::AnnouncedTarget {
    fn from(announced: AnnouncedTarget) -> Self {
        Self {
            id: announced.id,
            service: announced.service,
            address: announced.address,
            domain: announced.domain,
            software: directory::UNKNOWN_SOFTWARE.to_owned(),
            slots: announced.slots,
            presence: announced.presence,
            incarnation: announced.incarnation,
            seq: announced.seq,
            holdings: announced.holdings,
            cached_models: announced.cached_models,
            cold_left: time::Duration::ZERO,
        }
    }
}

impl From<directory::AnnouncedTarget> for AnnouncedTarget {
    fn from(announced: directory::AnnouncedTarget) -> Self {
        Self {
            id: announced.id,
            service: announced.service,
            address: announced.address,
            domain: announced.domain,
            slots: announced.slots,
            presence: announced.presence,
            incarnation: announced.incarnation,
            seq: announced.seq,
            holdings: announced.holdings,
            cached_models: announced.cached_models,
        }
    }
}

impl From<Report> for traffic::Report {
    fn from(report: Report) -> Self {
        let Report { loads, demands, token_rates, gateways } = report;
        Self { loads, demands, token_rates, gateways, ..Self::default() }
    }
}

impl From<traffic::Report> for Report {
    fn from(report: traffic::Report) -> Self {
        let traffic::Report { loads, demands, token_rates, gateways, .. } = report;
        Self { loads, demands, token_rates, gateways }
    }
}

impl From<SyncRequest> for super::SyncRequest {
    fn from(request: SyncRequest) -> Self {
        let SyncRequest { gateway_id, index, epoch, revision, report } = request;
        let report = report.into();
        Self { gateway_id, index, epoch, revision, report, supplemented_at: 0, known_loads: None }
    }
}

impl From<super::SyncRequest> for SyncRequest {
    fn from(request: super::SyncRequest) -> Self {
        let super::SyncRequest { gateway_id, index, epoch, revision, report, .. } = request;
        Self { gateway_id, index, epoch, revision, report: report.into() }
    }
}

impl From<SyncReply> for super::SyncReply {
    fn from(reply: SyncReply) -> Self {
        Self {
            update: reply.update,
            domain: reply.domain,
            epoch: reply.epoch,
            revision: reply.revision,
            changed_targets: reply.changed_targets.into_iter().map(Into::into).collect(),
            report: reply.report.into(),
            reporting_gateways: reply.reporting_gateways,
            known_gateways: reply.known_gateways,
            replicas: reply.replicas,
            supplement: None,
            loads: None,
        }
    }
}

impl From<super::SyncReply> for SyncReply {
    fn from(reply: super::SyncReply) -> Self {
        Self {
            update: reply.update,
            domain: reply.domain,
            epoch: reply.epoch,
            revision: reply.revision,
            changed_targets: reply.changed_targets.into_iter().map(Into::into).collect(),
            report: reply.report.into(),
            reporting_gateways: reply.reporting_gateways,
            known_gateways: reply.known_gateways,
            replicas: reply.replicas,
        }
    }
}

impl From<Call> for super::Call {
    fn from(call: Call) -> Self {
        match call {
            Call::Poll { index } => Self::Poll { index },
            Call::Propose(change) => Self::Propose(change),
            Call::Sync(request) => Self::Sync(request.into()),
            Call::RequestPlacement { requirement, lacking, exclude, max_wait } => {
                Self::RequestPlacement { requirement, software: None, lacking, exclude, max_wait }
            }
            Call::RequestGrant(request) => Self::RequestGrant(request),
            Call::Report(report) => Self::Report(report),
            Call::Status => Self::Status,
            Call::Timeline => Self::Timeline,
            Call::ReportCrashes(report) => Self::ReportCrashes(report),
            Call::RequestTurn(request) => Self::RequestTurn(request),
        }
    }
}

impl TryFrom<super::Call> for Call {
    type Error = NoEquivalent;

    fn try_from(call: super::Call) -> Result<Self, NoEquivalent> {
        Ok(match call {
            super::Call::Poll { index } => Self::Poll { index },
            super::Call::Propose(change) => Self::Propose(change),
            super::Call::Sync(request) => Self::Sync(request.into()),
            super::Call::RequestPlacement {
                requirement,
                software: None,
                lacking,
                exclude,
                max_wait,
            } => Self::RequestPlacement { requirement, lacking, exclude, max_wait },
            super::Call::RequestGrant(request) => Self::RequestGrant(request),
            super::Call::Report(report) => Self::Report(report),
            super::Call::Status => Self::Status,
            super::Call::Timeline => Self::Timeline,
            super::Call::ReportCrashes(report) => Self::ReportCrashes(report),
            super::Call::RequestTurn(request) => Self::RequestTurn(request),
            super::Call::RequestPlacement { software: Some(_), .. }
            | super::Call::RecordStreams(_)
            | super::Call::FindStream(_)
            | super::Call::RequestPlace(_)
            | super::Call::UpdatePlaces { .. }
            | super::Call::PollAll { .. }
            | super::Call::RequestPlacementWithin { .. }
            | super::Call::RecordDeparture { .. } => return Err(NoEquivalent),
        })
    }
}

impl From<Reply> for super::Reply {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Update(update) => Self::Update(update),
            Reply::Sync(reply) => Self::Sync(Box::new((*reply).into())),
            Reply::Placement(availability) => Self::Placement(availability),
            Reply::Committed { index, outcome } => Self::Committed { index, outcome },
            Reply::Grant(reply) => Self::Grant(reply),
            Reply::ReportRecorded { session_live, loads } => {
                Self::ReportRecorded { session_live, loads }
            }
            Reply::Status(status) => Self::Status(status),
            Reply::Timeline(events) => Self::Timeline(events),
            Reply::NotLeader { leader } => Self::NotLeader { leader },
            Reply::OutcomeUnknown => Self::OutcomeUnknown,
            Reply::CrashesRecorded => Self::CrashesRecorded,
            Reply::Turn(reply) => Self::Turn(reply),
        }
    }
}

impl TryFrom<super::Reply> for Reply {
    type Error = NoEquivalent;

    fn try_from(reply: super::Reply) -> Result<Self, NoEquivalent> {
        Ok(match reply {
            super::Reply::Update(update) => Self::Update(update),
            super::Reply::Sync(reply) => Self::Sync(Box::new((*reply).into())),
            super::Reply::Placement(availability) => Self::Placement(availability),
            super::Reply::Committed { index, outcome } => Self::Committed { index, outcome },
            super::Reply::Grant(reply) => Self::Grant(reply),
            super::Reply::ReportRecorded { session_live, loads } => {
                Self::ReportRecorded { session_live, loads }
            }
            super::Reply::Status(status) => Self::Status(status),
            super::Reply::Timeline(events) => Self::Timeline(events),
            super::Reply::NotLeader { leader } => Self::NotLeader { leader },
            super::Reply::OutcomeUnknown => Self::OutcomeUnknown,
            super::Reply::CrashesRecorded => Self::CrashesRecorded,
            super::Reply::Turn(reply) => Self::Turn(reply),
            super::Reply::StreamsRecorded
            | super::Reply::Stream(_)
            | super::Reply::Place(_)
            | super::Reply::PlacesUpdated
            | super::Reply::Unsupported
            | super::Reply::UpdateAll { .. }
            | super::Reply::DepartureRecorded { .. } => return Err(NoEquivalent),
        })
    }
}
