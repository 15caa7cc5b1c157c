//! Messages between gateways, entry processes and control replicas, and their framing.
//!
//! A connection carries length-delimited `postcard` frames over TCP. The first frame
//! of each side is a [`Hello`] with the cluster's secret, and no other frame is
//! accepted before it. Each frame carries a timestamp of the sender's hybrid logical
//! clock, so that the time line orders events causally.

use std::{io, net, sync, time};

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use subtle::ConstantTimeEq as _;
use tokio::net::TcpStream;
use tokio_util::codec;

use super::tunnel::TunnelReply;
use crate::{
    process::{clock, timeline},
    request::limit::{self, place, turn},
    version::{
        announce, census, claim, culprit, directory, feed,
        origin::{BegunStream, Origin, StreamId},
        placer, raft, state, traffic, view,
    },
};

/// Maximum length of a frame, in bytes. A snapshot is sent in one frame.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Time-out for receiving the other side's [`Hello`].
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Version of the message format. Processes with different versions reject each
/// other's connections.
const PROTOCOL_VERSION: u32 = 3;

/// Why a connection failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The TCP connection failed, or a frame is too long.
    #[snafu(display("transport error: {source}"))]
    Io {
        /// Error of the connection.
        source: io::Error,
    },
    /// A frame could not be encoded or decoded.
    #[snafu(display("invalid frame: {source}"))]
    Decode {
        /// Error of the encoder or decoder.
        source: postcard::Error,
    },
    /// The other side closed the connection.
    #[snafu(display("closed by the other side"))]
    Closed,
    /// The other side sent no [`Hello`] in time, or one with another secret or
    /// version.
    #[snafu(display("handshake failed: no hello with this cluster's secret and version"))]
    HandshakeFailed,
}

/// First message of each side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the message format.
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
    /// follow, without frames.
    TunnelOpened(TunnelReply),
}

/// State that control replicas keep only in memory. The replica that learns of it
/// sends it to all others, which do not relay it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Gossip {
    /// A target announced itself.
    TargetAnnounced(directory::AnnouncedTarget),
    /// A target announced that it is leaving. Repeated until it is down.
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
}

impl Call {
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
            | Self::UpdatePlaces { .. } => true,
            Self::Propose(_)
            | Self::RequestPlacement { .. }
            | Self::Report(_)
            | Self::RequestPlace(_) => false,
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
    /// Raft role in lower case, or `starting`.
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
}

/// The sending half of a connection.
pub type Sink = futures_util::stream::SplitSink<Framed, Bytes>;

/// The receiving half of a connection.
pub type Stream = futures_util::stream::SplitStream<Framed>;

type Framed = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

/// What a process needs to authenticate its connections and to timestamp its
/// messages.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Secret that all processes of the cluster share.
    pub secret: String,
    /// Name of this process.
    pub process: String,
    /// Clocks of this process.
    pub clock: sync::Arc<clock::Clock>,
}

/// Returns the connection of both halves, or `None` if bytes were received beyond the last
/// frame.
pub(crate) fn into_stream(sink: Sink, stream: Stream) -> Option<TcpStream> {
    let parts = sink.reunite(stream).ok()?.into_parts();
    parts.read_buf.is_empty().then_some(parts.io)
}

impl Identity {
    /// Exchanges [`Hello`] messages over a new connection and checks the other side's
    /// secret and version.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the other side sends no valid
    /// [`Hello`] in time.
    pub async fn handshake(&self, stream: TcpStream) -> Result<(Sink, Stream), Error> {
        stream.set_nodelay(true).context(IoSnafu)?;
        let codec = codec::LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .little_endian()
            .new_codec();
        let (mut sink, mut stream) = codec::Framed::new(stream, codec).split();
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            secret: self.secret.clone(),
            process: self.process.clone(),
        };
        self.send(&mut sink, Body::Hello(hello)).await?;
        let received = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.receive(&mut stream)).await;
        let Ok(Ok(Body::Hello(hello))) = received else {
            return Err(Error::HandshakeFailed);
        };
        let secret_matches: bool = hello.secret.as_bytes().ct_eq(self.secret.as_bytes()).into();
        if hello.protocol != PROTOCOL_VERSION || !secret_matches {
            return Err(Error::HandshakeFailed);
        }
        Ok((sink, stream))
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or the message is too long or can't
    /// be encoded.
    pub async fn send(&self, sink: &mut Sink, body: Body) -> Result<(), Error> {
        let frame = Frame { stamp: self.clock.stamp(), body };
        let bytes = postcard::to_stdvec(&frame).context(DecodeSnafu)?;
        sink.send(Bytes::from(bytes)).await.context(IoSnafu)
    }

    /// Receives a message, and advances the hybrid logical clock to its timestamp.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or the frame can't be decoded.
    pub async fn receive(&self, stream: &mut Stream) -> Result<Body, Error> {
        let bytes = match stream.next().await {
            Some(bytes) => bytes.context(IoSnafu)?,
            None => return Err(Error::Closed),
        };
        let frame: Frame = postcard::from_bytes(&bytes).context(DecodeSnafu)?;
        self.clock.observe(frame.stamp);
        Ok(frame.body)
    }
}
