//! Messages between gateways, entry processes and control replicas, and their framing.
//!
//! A connection carries length-delimited `postcard` frames over TCP. The first frame
//! of each side is a [`Hello`] with the cluster's secret, and no other frame is
//! accepted before it. Each frame carries a timestamp of the sender's hybrid logical
//! clock, so that the time line orders events causally.
//!
//! Builds that run side by side agree on a version of the format when they connect
//! ([`version`]). The types here are those of version 3 and later: variants are only added
//! at the end of an enum and sent where they are known, and fields are added behind the
//! frame ([`section`]), where earlier builds do not read them. Version 2 has types of its own
//! ([`v2`]). `docs/design/upgrades.md` has the reasons.

mod channel;
mod frames;
mod process;
mod section;
mod v2;
pub mod version;

use std::{net, time};

use serde::{Deserialize, Serialize};

pub(crate) use self::channel::{detach, into_stream};
pub use self::{
    channel::{Error, Identity, Received, Sink, Stream},
    process::{BUILD, Builds, Connected, Process},
};
use super::tunnel::TunnelReply;
use crate::{
    process::{clock, timeline},
    request::limit::{self, place, turn},
    version::{
        announce, census, claim, culprit, difference, directory, feed,
        origin::{BegunStream, Origin, StreamId},
        placer, raft, state,
        supplement::Supplement,
        traffic, view,
    },
};

/// First message of each side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the message format. Builds of versions 2 and 3 accept only their own.
    pub protocol: u32,
    /// Secret that all processes of the cluster share.
    pub secret: String,
    /// Name of the sending process.
    pub process: String,
}

/// A message with the time at which it was sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Time of the sender's hybrid logical clock.
    pub stamp: clock::Stamp,
    /// The message.
    pub body: Body,
}

/// A message between processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// First message on a connection.
    Hello(Hello),
    /// A Raft message between control replicas.
    Raft(raft::Message),
    /// A call to a control replica.
    Call {
        /// Identifies the call on its connection; repeated in the reply.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Reply to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// The reply.
        reply: Reply,
    },
    /// State that is not in the log, sent from one control replica to the others.
    Gossip {
        /// The sending replica.
        from: raft::NodeId,
        /// The state.
        gossip: Gossip,
    },
    /// Asks a gateway for a connection to the target at this address.
    OpenTunnel(net::SocketAddr),
    /// Reply to [`Body::OpenTunnel`]. After [`TunnelReply::Open`] the bytes of the target
    /// follow, as [`EndMark`](super::tunnel::EndMark) says, and no further messages.
    TunnelOpened(TunnelReply),
}

impl Body {
    /// Returns the first version of the message format with this message.
    #[must_use]
    pub fn since(&self) -> u32 {
        match self {
            Self::Call { call, .. } => call.since(),
            Self::Reply { reply: Reply::Unsupported, .. } => 4,
            Self::Raft(raft::Message { body: raft::Body::Leaving, .. }) => 5,
            Self::Gossip {
                gossip: Gossip::TargetsAnnounced(_) | Gossip::TrafficDifference(_),
                ..
            } => 7,
            Self::OpenTunnel(_)
            | Self::TunnelOpened(_)
            | Self::Gossip { gossip: Gossip::StreamsBegun(_), .. } => 3,
            _ => version::OLDEST,
        }
    }
}

/// State that control replicas keep only in memory. The replica that learns of it
/// sends it to all others, which do not relay it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Gossip {
    /// A target announced itself.
    TargetAnnounced(directory::AnnouncedTarget),
    /// A target announced that it is leaving. Repeated for a while.
    Leaving {
        /// Id of the target.
        id: String,
        /// Incarnation that is leaving, if the target stated one.
        incarnation: Option<u64>,
    },
    /// An order changed the models or adapters that a target holds.
    HoldingsUpdated(directory::HoldingsUpdate),
    /// Traffic of the gateways that report to the sender.
    Traffic(traffic::Report),
    /// Gateways that report to the sender have sent streams to targets.
    StreamsBegun(Vec<BegunStream>),
    /// Targets announced themselves.
    TargetsAnnounced(Vec<Announced>),
    /// Changes of the traffic of the gateways that report to the sender.
    TrafficDifference(Box<TrafficDifference>),
}

/// A target that announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    target: directory::AnnouncedTarget,
    /// [`directory::AnnouncedTarget::cold_left`], which is not part of its encoding.
    cold_left: time::Duration,
}

impl From<directory::AnnouncedTarget> for Announced {
    fn from(target: directory::AnnouncedTarget) -> Self {
        Self { cold_left: target.cold_left, target }
    }
}

impl From<Announced> for directory::AnnouncedTarget {
    fn from(announced: Announced) -> Self {
        Self { cold_left: announced.cold_left, ..announced.target }
    }
}

/// Changes of the traffic of a replica's gateways.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficDifference {
    /// Changes of the sums.
    pub difference: difference::Difference,
    /// All of [`traffic::Report::brittle_services`].
    pub brittle_services: Vec<traffic::BrittleService>,
    /// All of [`traffic::Report::relays`].
    pub relays: Vec<net::SocketAddr>,
    /// Whether the sender lacks the traffic of the receiver's gateways, and needs all of it.
    pub lacks_copy: bool,
    /// All of [`traffic::Report::paces`].
    #[serde(skip)]
    pub paces: Vec<traffic::Pace>,
}

/// Periodic report of a gateway to a control replica, which replies with the changes
/// that the gateway does not have yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Identifies the gateway over its restarts.
    pub gateway_id: census::GatewayId,
    /// Log index of the gateway's view.
    pub index: raft::Index,
    /// Epoch of the last [`SyncReply`], to which `revision` belongs.
    pub epoch: u64,
    /// Directory revision up to which the gateway has all changes.
    pub revision: u64,
    /// Traffic of the gateway.
    pub report: traffic::Report,
    /// Log index of the latest change of the [`Supplement`] that the gateway knows.
    #[serde(skip)]
    pub supplemented_at: raft::Index,
    /// The copy of the sums that the gateway has; `None` if it reads whole sums only.
    #[serde(skip)]
    pub known_loads: Option<difference::Position>,
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Changes of the view; `None` if the replica can't prove that it has all of
    /// them.
    pub update: Option<Update>,
    /// Failure domain of the replica.
    pub domain: String,
    /// Random number that identifies one run of the replica. Directory revisions of
    /// different epochs are not comparable.
    pub epoch: u64,
    /// Directory revision that includes `changed_targets`.
    pub revision: u64,
    /// Targets that changed since the revision in the request.
    pub changed_targets: Vec<directory::AnnouncedTarget>,
    /// Traffic of all other gateways.
    pub report: traffic::Report,
    /// Number of gateways that reported lately, including the requesting one.
    pub reporting_gateways: u32,
    /// Number of all known gateways.
    pub known_gateways: u32,
    /// Control replicas that may be called.
    pub replicas: Vec<raft::NodeId>,
    /// Later parts of the view, if they have changed since the gateway got them.
    #[serde(skip)]
    pub supplement: Option<Supplement>,
    /// Loads and rates, which `report` then lacks. `None` if the gateway or the replica knows
    /// whole sums only.
    #[serde(skip)]
    pub loads: Option<difference::Loads>,
}

/// Changes that bring a copy of the view up to date.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Update {
    /// The changes since the index in the call.
    Delta {
        /// Log index of the view with these changes applied.
        index: raft::Index,
        /// The changes, in log order.
        changes: Vec<Change>,
    },
    /// The full view, sent if the replica no longer keeps all changes since the index
    /// in the call.
    Full {
        /// Log index of the view.
        index: raft::Index,
        /// The view.
        view: Box<view::View>,
    },
}

impl Update {
    /// Returns the log index of the view with the changes applied.
    #[must_use]
    pub fn index(&self) -> raft::Index {
        match self {
            Self::Delta { index, .. } | Self::Full { index, .. } => *index,
        }
    }

    /// Applies the changes to a copy of the view. `sent_at` is the monotonic time at
    /// which the call was sent, from which the freshness of the copy is counted.
    pub fn apply_to(self, cached_view: &mut feed::CachedView, sent_at: time::Duration) {
        match self {
            Self::Delta { index, changes } => {
                let changes = changes.iter().map(|c| (c.index, c.log_time_ms, &c.command));
                cached_view.apply_changes(index, changes, sent_at);
            }
            Self::Full { index, view } => cached_view.replace(index, *view, sent_at),
        }
    }
}

/// A call to a control replica. A replica that can't answer it, for example because
/// the call needs the leader, replies with [`Reply::NotLeader`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Returns the changes of the view after an index. Any replica answers that can
    /// prove that it has all of them.
    Poll {
        /// Log index of the caller's view.
        index: raft::Index,
    },
    /// Replicates a change. Needs the leader.
    Propose(state::Change),
    /// Reports the traffic of a gateway and returns changes of the view and of the
    /// targets. Any replica answers.
    Sync(SyncRequest),
    /// Has a model or adapter loaded. Needs the leader.
    RequestPlacement {
        /// Service, model and adapter that a target must have.
        requirement: directory::Requirement,
        /// Software version that the target must have; `None` for any.
        software: Option<String>,
        /// Targets that answered that they do not hold it.
        lacking: Vec<String>,
        /// Overloaded targets, which are not returned.
        exclude: Vec<String>,
        /// How long the caller waits for the placement.
        max_wait: time::Duration,
    },
    /// Requests tokens of a rate limit, or reports their use. Needs the leader.
    RequestGrant(limit::GrantRequest),
    /// Reports an entry process's announcements of targets and demand for models.
    /// Needs the leader.
    Report(announce::Report),
    /// Returns the state of this replica.
    Status,
    /// Returns the events in the time line of this replica.
    Timeline,
    /// Reports crashes of targets, or suspected fingerprints that were served. Needs the
    /// leader.
    ReportCrashes(culprit::Report),
    /// Requests a turn at a target that states a limit of requests. Needs the leader.
    RequestTurn(turn::TurnRequest),
    /// Reports resumable streams that a gateway has sent to targets. Any replica answers.
    RecordStreams(Vec<BegunStream>),
    /// Returns where a stream began. Any replica answers.
    FindStream(StreamId),
    /// Requests a place at a target that must not be overfilled, and waits for it. Needs the
    /// leader.
    RequestPlace(place::PlaceRequest),
    /// Tells what became of requests that hold places. Needs the leader.
    UpdatePlaces {
        /// The gateway of the requests.
        gateway: census::GatewayId,
        /// What became of them, in this order.
        updates: Vec<place::PlaceUpdate>,
    },
    /// Does the same as [`Self::Poll`], and returns the later parts of the view with the changes.
    PollAll {
        /// Log index of the caller's view.
        index: raft::Index,
        /// Log index of the latest change of the [`Supplement`] that the caller knows.
        supplemented_at: raft::Index,
    },
    /// Has a model or adapter loaded in one of some failure domains. Needs the leader. Otherwise
    /// as [`Call::RequestPlacement`].
    RequestPlacementWithin {
        /// Failure domains that the target must be in one of.
        domains: Vec<String>,
        /// Service, model and adapter that a target must have.
        requirement: directory::Requirement,
        /// Software version that the target must have; `None` for any.
        software: Option<String>,
        /// Targets that answered that they do not hold it.
        lacking: Vec<String>,
        /// Overloaded targets, which are not returned.
        exclude: Vec<String>,
        /// How long the caller waits for the placement.
        max_wait: time::Duration,
    },
    /// Has this replica store that a target leaves, and wait until that is on its disk.
    RecordDeparture {
        /// The replica that the target told.
        told: raft::NodeId,
        /// The incarnation that leaves.
        departed: traffic::LeavingTarget,
    },
}

impl Call {
    /// Returns the call for a placement request. Only one that is limited to failure domains needs
    /// a version that knows of them.
    #[must_use]
    pub fn placement(request: placer::PlacementRequest, lacking: Vec<String>) -> Self {
        let placer::PlacementRequest { requirement, software, domains, exclude, max_wait } =
            request;
        if domains.is_empty() {
            return Self::RequestPlacement { requirement, software, lacking, exclude, max_wait };
        }
        Self::RequestPlacementWithin { domains, requirement, software, lacking, exclude, max_wait }
    }

    /// Returns the first version of the message format with this call.
    #[must_use]
    pub fn since(&self) -> u32 {
        match self {
            Self::RequestPlace(_) | Self::UpdatePlaces { .. } => 4,
            Self::RecordStreams(_) | Self::FindStream(_) => 3,
            Self::Propose(change) => change.since(),
            Self::PollAll { .. } | Self::RequestPlacementWithin { .. } => 7,
            Self::RecordDeparture { .. } => 8,
            _ => version::OLDEST,
        }
    }

    /// Returns the value used in metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Poll { .. } => "poll",
            Self::Propose(_) => "propose",
            Self::Sync(_) => "sync",
            Self::RequestPlacement { .. } => "request_placement",
            Self::RequestGrant(_) => "request_grant",
            Self::Report(_) => "report",
            Self::Status => "status",
            Self::Timeline => "timeline",
            Self::ReportCrashes(_) => "report_crashes",
            Self::RequestTurn(_) => "request_turn",
            Self::RecordStreams(_) => "record_streams",
            Self::FindStream(_) => "find_stream",
            Self::RequestPlace(_) => "request_place",
            Self::UpdatePlaces { .. } => "update_places",
            Self::PollAll { .. } => "poll_all",
            Self::RequestPlacementWithin { .. } => "request_placement_within",
            Self::RecordDeparture { .. } => "record_departure",
        }
    }

    /// Returns true if the call is answered without a wait, and may take effect more than
    /// once without harm.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self {
            Self::Poll { .. }
            | Self::Sync(_)
            | Self::RequestGrant(_)
            | Self::Status
            | Self::Timeline
            | Self::ReportCrashes(_)
            | Self::RequestTurn(_)
            | Self::RecordStreams(_)
            | Self::FindStream(_)
            | Self::UpdatePlaces { .. }
            | Self::PollAll { .. } => true,
            Self::Propose(_)
            | Self::RequestPlacement { .. }
            | Self::RequestPlacementWithin { .. }
            | Self::Report(_)
            | Self::RequestPlace(_)
            | Self::RecordDeparture { .. } => false,
        }
    }
}

/// Reply of a control replica to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Call::Poll`].
    Update(Update),
    /// Reply to [`Call::Sync`].
    Sync(Box<SyncReply>),
    /// Reply to [`Call::RequestPlacement`].
    Placement(placer::Availability),
    /// Reply to [`Call::Propose`]: the change was committed and applied.
    Committed {
        /// Log index of the change.
        index: raft::Index,
        /// Result of applying the change.
        outcome: state::Outcome,
    },
    /// Reply to [`Call::RequestGrant`].
    Grant(limit::GrantReply),
    /// Reply to [`Call::Report`].
    ReportRecorded {
        /// Whether the session of the reporting entry process is live.
        session_live: bool,
        /// Number of requests on each target.
        loads: Vec<announce::Load>,
    },
    /// Reply to [`Call::Status`].
    Status(Box<Status>),
    /// Reply to [`Call::Timeline`].
    Timeline(Vec<timeline::Event>),
    /// This replica can't answer the call, because it is not the leader or can't prove
    /// that it is up to date.
    NotLeader {
        /// The current leader, if known.
        leader: Option<raft::NodeId>,
    },
    /// The proposal may or may not be committed later.
    OutcomeUnknown,
    /// Reply to [`Call::ReportCrashes`].
    CrashesRecorded,
    /// Reply to [`Call::RequestTurn`].
    Turn(turn::TurnReply),
    /// Reply to [`Call::RecordStreams`].
    StreamsRecorded,
    /// Reply to [`Call::FindStream`]; `None` if this replica does not know the stream.
    Stream(Option<Origin>),
    /// Reply to [`Call::RequestPlace`].
    Place(place::PlaceReply),
    /// Reply to [`Call::UpdatePlaces`].
    PlacesUpdated,
    /// The replica, or the version of the connection, does not know the call.
    Unsupported,
    /// Reply to [`Call::PollAll`].
    UpdateAll {
        /// Changes of the view.
        update: Update,
        /// Later parts of the view, if they have changed.
        supplement: Option<Supplement>,
    },
    /// Reply to [`Call::RecordDeparture`].
    DepartureRecorded {
        /// Whether the departure is on the disk of the replica.
        stored: bool,
    },
}

impl Reply {
    /// Returns the value used in metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotLeader { .. } => "not_leader",
            Self::Sync(reply) if reply.update.is_none() => "not_current",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Unsupported => "unsupported",
            _ => "answered",
        }
    }
}

/// A committed change of the view.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Log index of the change.
    pub index: raft::Index,
    /// Log time at which the change was applied, in ms.
    pub log_time_ms: u64,
    /// The change.
    pub command: view::Command,
}

/// State of a control replica. The administration API also returns it as JSON, with
/// these field names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Node id of the replica.
    pub node: raft::NodeId,
    /// Raft role in lower case, `starting`, or `stalled` if this build can't apply a committed
    /// entry.
    pub role: String,
    /// The current leader, if known.
    pub leader: Option<raft::NodeId>,
    /// Current Raft term.
    pub term: raft::Term,
    /// Index of the last committed log entry.
    pub commit: raft::Index,
    /// Index of the last applied log entry.
    pub applied: raft::Index,
    /// Number of log entries after the snapshot.
    pub entries: usize,
    /// Members that vote.
    pub voters: Vec<raft::NodeId>,
    /// Members that do not vote.
    pub learners: Vec<raft::NodeId>,
    /// Number of claims on idempotency keys that are stored.
    pub claims: usize,
    /// Live sessions of entry processes.
    pub sessions: Vec<claim::Session>,
    /// Builds of this replica and of the processes that are connected to it; `None` if the
    /// replica's build does not state them.
    #[serde(skip)]
    pub builds: Option<Builds>,
}
