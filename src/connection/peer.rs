//! Messages and frames between the system's own processes.
//!
//! Every connection carries length-delimited `postcard` frames over TCP. The
//! first frame of each side is a [`Hello`] that proves knowledge of the
//! cluster's secret; nothing else is read before it. Each frame carries a stamp
//! of the hybrid clock, so that the time line respects causes.

use std::{io, sync, time};

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use subtle::ConstantTimeEq as _;
use tokio::net::TcpStream;
use tokio_util::codec;

use crate::{
    process::{clock, timeline},
    request::limit,
    version::{announce, census, claim, directory, feed, placer, raft, state, traffic, view},
};

/// Largest frame, in bytes. A snapshot must fit into one.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// How long the other side may take to greet.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Version of the messages. Processes of different versions do not talk.
const PROTOCOL_VERSION: u32 = 2;

/// Why a connection can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The transport failed.
    #[snafu(display("transport: {source}"))]
    Io {
        /// What it said.
        source: io::Error,
    },
    /// A frame does not decode.
    #[snafu(display("frame: {source}"))]
    Decode {
        /// What the decoder says.
        source: postcard::Error,
    },
    /// The other side closed the connection.
    #[snafu(display("closed by the other side"))]
    Closed,
    /// The other side did not prove that it belongs to this cluster.
    #[snafu(display("the other side did not greet as a member of this cluster"))]
    HandshakeFailed,
}

/// The first frame of each side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the messages.
    pub protocol: u32,
    /// The cluster's secret.
    pub secret: String,
    /// Name of the process.
    pub process: String,
}

/// A frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Sender's hybrid clock.
    pub stamp: clock::Stamp,
    /// Content.
    pub body: Body,
}

/// Content of a frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// Greets.
    Hello(Hello),
    /// A message between replicas.
    Raft(raft::Message),
    /// A question of an entry to a control replica.
    Call {
        /// Echoed in the reply.
        id: u64,
        /// The question.
        call: Call,
    },
    /// The answer.
    Reply {
        /// Echo of the call's id.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// Soft state that one replica tells another.
    Gossip {
        /// Who tells it.
        from: raft::NodeId,
        /// What it tells.
        gossip: Gossip,
    },
}

/// Soft state that replicas exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Gossip {
    /// A target announced itself.
    TargetAnnounced(directory::AnnouncedTarget),
    /// A target leaves by its own word.
    Leaving {
        /// Identifies the target.
        id: String,
        /// Start that it spoke of, if it named one.
        incarnation: Option<u64>,
    },
    /// An order changed what a target holds.
    HoldingsUpdated(directory::HoldingsUpdate),
    /// Traffic of the entries that report to the sender.
    Traffic(traffic::Report),
}

/// What a gateway tells a replica in exchange for what it lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Stands for the gateway, over its restarts.
    pub gateway_id: census::GatewayId,
    /// Index of its view.
    pub index: raft::Index,
    /// Run of the replica that its directory was last told by.
    pub epoch: u64,
    /// Revision of that replica's directory that it knows.
    pub revision: u64,
    /// Its traffic.
    pub report: traffic::Report,
}

/// What a replica tells a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Changes of the view, if the replica can prove that they are all.
    pub update: Option<Update>,
    /// Failure domain of the replica.
    pub domain: String,
    /// Run of the replica.
    pub epoch: u64,
    /// Revision that the directory has with these changes.
    pub revision: u64,
    /// Targets that changed.
    pub changed_targets: Vec<directory::AnnouncedTarget>,
    /// Traffic of all other gateways.
    pub report: traffic::Report,
    /// Gateways heard at present, the one that asked included.
    pub reporting_gateways: u32,
    /// Gateways that there are, including those that are not heard.
    pub known_gateways: u32,
    /// Replicas that may be called.
    pub replicas: Vec<raft::NodeId>,
}

/// Changes of the view.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Update {
    /// The changes since the index that was asked for.
    Delta {
        /// Index that the view has with these changes.
        index: raft::Index,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The whole view, for who lags behind the changes kept.
    Full {
        /// Index of the view.
        index: raft::Index,
        /// The view.
        view: Box<view::View>,
    },
}

impl Update {
    /// Advances a copy of the view by changes that were asked for at `sent_at`.
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

/// What an entry asks a control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Changes of the view after an index; any replica answers.
    Poll {
        /// Index that the entry's view has.
        index: raft::Index,
    },
    /// Replicate a change; the leader answers.
    Propose(state::Change),
    /// Exchange traffic for changes of the view and the directory; any replica
    /// answers.
    Sync(SyncRequest),
    /// Have a model or adapter made resident; the leader answers.
    RequestPlacement {
        /// What is needed.
        requirement: directory::Requirement,
        /// Targets that said that they lack it.
        lacking: Vec<String>,
        /// Targets that have too much to do; one besides them is needed.
        exclude: Vec<String>,
        /// How long it is of use.
        max_wait: time::Duration,
    },
    /// Ask for tokens, or report their use; the leader answers.
    RequestGrant(limit::GrantRequest),
    /// What the entry heard and saw; the leader answers.
    Report(announce::Report),
    /// Describe yourself.
    Status,
    /// Hand out the time line.
    Timeline,
}

/// What a control replica answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Changes of the view.
    Update(Update),
    /// Answer to a sync.
    Sync(Box<SyncReply>),
    /// Answer to a want.
    Placement(placer::Availability),
    /// A proposal was committed and applied.
    Committed {
        /// Index in the log.
        index: raft::Index,
        /// What became of it.
        outcome: state::Outcome,
    },
    /// Answer to an ask.
    Grant(limit::GrantReply),
    /// Answer to a report.
    ReportRecorded {
        /// Whether the entry's session is live.
        session_live: bool,
        /// Requests on targets, by name.
        loads: Vec<announce::Load>,
    },
    /// Answer to a status call.
    Status(Box<Status>),
    /// Answer to a time line call.
    Timeline(Vec<timeline::Event>),
    /// This replica can't answer; another may.
    NotLeader {
        /// The leader, as far as known.
        leader: Option<raft::NodeId>,
    },
    /// The proposal may or may not be decided later.
    OutcomeUnknown,
}

/// One change of the view.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Index in the log.
    pub index: raft::Index,
    /// Log time in ms.
    pub log_time_ms: u64,
    /// The change.
    pub command: view::Command,
}

/// What a control replica says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its id.
    pub node: raft::NodeId,
    /// Its role.
    pub role: String,
    /// The leader, as far as known.
    pub leader: Option<raft::NodeId>,
    /// Term.
    pub term: raft::Term,
    /// Commit index.
    pub commit: raft::Index,
    /// Applied index.
    pub applied: raft::Index,
    /// Entries after the snapshot.
    pub entries: usize,
    /// Voters.
    pub voters: Vec<raft::NodeId>,
    /// Learners.
    pub learners: Vec<raft::NodeId>,
    /// Claims kept.
    pub claims: usize,
    /// Live sessions of entries.
    pub sessions: Vec<claim::Session>,
}

/// The sending half of a connection.
pub type Sink = futures_util::stream::SplitSink<Framed, Bytes>;

/// The receiving half of a connection.
pub type Stream = futures_util::stream::SplitStream<Framed>;

type Framed = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

/// What each side needs to greet and to stamp.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The cluster's secret.
    pub secret: String,
    /// Name of this process.
    pub process: String,
    /// Clocks of this process.
    pub clock: sync::Arc<clock::Clock>,
}

impl Identity {
    /// Greets over a new connection and waits to be greeted.
    ///
    /// # Errors
    ///
    /// Returns an error if the transport fails or the other side is a stranger.
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
        let heard = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.receive(&mut stream)).await;
        let Ok(Ok(Body::Hello(hello))) = heard else {
            return Err(Error::HandshakeFailed);
        };
        let known: bool = hello.secret.as_bytes().ct_eq(self.secret.as_bytes()).into();
        if hello.protocol != PROTOCOL_VERSION || !known {
            return Err(Error::HandshakeFailed);
        }
        Ok((sink, stream))
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the transport fails or the content is too large.
    pub async fn send(&self, sink: &mut Sink, body: Body) -> Result<(), Error> {
        let frame = Frame { stamp: self.clock.stamp(), body };
        let bytes = postcard::to_stdvec(&frame).context(DecodeSnafu)?;
        sink.send(Bytes::from(bytes)).await.context(IoSnafu)
    }

    /// Receives one frame and follows its stamp.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or the frame does not decode.
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
