//! A connection between two processes: the handshake, and the encoding of messages in the
//! version that both sides agreed on.

use std::{collections, io, net, sync, time};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt as _, StreamExt as _};
use parking_lot::Mutex;
use serde::Deserialize;
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use subtle::ConstantTimeEq as _;
use tokio::net::TcpStream;
use tokio_util::codec;

use super::{Body, Frame, Hello, Process, frames, section, v2, version};
use crate::process::clock;

/// Time-out for receiving the other side's [`Hello`].
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Index of [`Body::Call`] in the encoding.
const CALL_VARIANT: u32 = 2;

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
    /// The other side sent no [`Hello`] in time, or one with another secret.
    #[snafu(display("handshake failed: no hello with this cluster's secret"))]
    HandshakeFailed,
    /// The other side speaks no version of the message format that this build speaks.
    #[snafu(display(
        "{process} speaks versions {oldest} to {latest} of the messages, this build {} to {}",
        version::OLDEST,
        version::LATEST
    ))]
    NoCommonVersion {
        /// Name of the other process.
        process: String,
        /// Oldest version that it speaks.
        oldest: u32,
        /// Latest version that it speaks.
        latest: u32,
    },
    /// The version of the connection has no such message. The connection lives on.
    #[snafu(display("version {version} of the messages has no such message"))]
    Unsupported {
        /// Version of the connection.
        version: u32,
    },
}

impl Error {
    /// Returns true if the connection can still be used.
    #[must_use]
    pub fn is_recoverable(&self) -> bool {
        matches!(self, Self::Unsupported { .. })
    }
}

/// What was received.
#[derive(Clone, Debug)]
#[expect(clippy::large_enum_variant, reason = "handed over once, to its handler")]
pub enum Received {
    /// A message.
    Message(Body),
    /// A call that this build can't decode, as a later one may add. The caller is to be told.
    UnknownCall {
        /// Identifies the call on its connection.
        id: u64,
    },
    /// Another message that this build can't decode.
    Unknown,
}

type Framed = codec::Framed<TcpStream, frames::Codec>;

/// The sending half of a connection.
#[derive(Debug)]
pub struct Sink {
    inner: futures_util::stream::SplitSink<Framed, Bytes>,
    version: u32,
    /// The other side; `None` during the handshake.
    other: Option<Process>,
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct Stream {
    inner: futures_util::stream::SplitStream<Framed>,
    version: u32,
}

impl Sink {
    /// Returns the version of the message format on this connection.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns what the other side stated in the handshake.
    #[must_use]
    pub fn other(&self) -> Option<&Process> {
        self.other.as_ref()
    }
}

/// Returns the connection of both halves, or `None` if bytes were received beyond the last
/// frame.
pub(crate) fn into_stream(sink: Sink, stream: Stream) -> Option<TcpStream> {
    let parts = sink.inner.reunite(stream.inner).ok()?.into_parts();
    parts.read_buf.is_empty().then_some(parts.io)
}

/// A connection after its handshake, on no runtime.
#[derive(Debug)]
pub(crate) struct Detached {
    io: std::net::TcpStream,
    /// Bytes received after the last frame.
    received: BytesMut,
    version: u32,
    other: Option<Process>,
}

/// Takes a connection off its runtime.
///
/// # Errors
///
/// Returns an error if the operating system rejects it.
pub(crate) fn detach(sink: Sink, stream: Stream) -> io::Result<Detached> {
    let (version, other) = (sink.version, sink.other);
    let framed = sink.inner.reunite(stream.inner).map_err(io::Error::other)?;
    let codec::FramedParts { io, read_buf: received, .. } = framed.into_parts();
    Ok(Detached { io: io.into_std()?, received, version, other })
}

impl Detached {
    /// Puts the connection on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects it.
    pub(crate) fn attach(self) -> io::Result<(Sink, Stream)> {
        let Self { io, received, version, other } = self;
        let mut parts =
            codec::FramedParts::new::<Bytes>(TcpStream::from_std(io)?, frames::Codec::new());
        parts.read_buf = received;
        let (sink, stream) = codec::Framed::from_parts(parts).split();
        Ok((Sink { inner: sink, version, other }, Stream { inner: stream, version }))
    }
}

/// What a process needs to authenticate its connections and to timestamp its
/// messages.
#[derive(Clone, Debug)]
pub struct Identity {
    secret: String,
    process: String,
    pub(crate) clock: sync::Arc<clock::Clock>,
    /// What to offer to processes, where that differs from the default.
    offers: sync::Arc<Mutex<collections::HashMap<net::SocketAddr, u32>>>,
}

/// What the other side stated about itself.
struct Greeting {
    hello: Hello,
    /// `None` for builds that speak one version only.
    versions: Option<version::Range>,
    /// Name of its build, if it states one.
    build: Option<String>,
}

impl Identity {
    /// Creates the identity of a process with the name `process`. All processes of a cluster
    /// share the secret.
    #[must_use]
    pub fn new(secret: &str, process: &str, clock: sync::Arc<clock::Clock>) -> Self {
        Self {
            secret: secret.to_owned(),
            process: process.to_owned(),
            clock,
            offers: sync::Arc::default(),
        }
    }

    /// Exchanges [`Hello`] messages over a connection that this process has opened, checks
    /// the other side's secret and agrees on a version.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the other side sends no valid [`Hello`] in
    /// time, or there is no common version.
    pub async fn handshake(&self, stream: TcpStream) -> Result<(Sink, Stream), Error> {
        let address = stream.peer_addr().context(IoSnafu)?;
        let offer = self.offers.lock().get(&address).copied().unwrap_or(version::DEFAULT_OFFER);
        let (mut sink, mut stream) = split(stream)?;
        self.send_hello(&mut sink, offer).await?;
        let greeting = self.receive_hello(&mut stream).await?;
        let next_offer = match greeting.versions {
            Some(_) => Some(version::DEFAULT_OFFER),
            None => version::next_offer(offer, greeting.hello.protocol),
        };
        if let Some(next) = next_offer {
            self.offers.lock().insert(address, next);
        }
        let agreed = greeting.agree(offer);
        if next_offer.is_none() {
            agreed.as_ref().inspect_err(|error| log_no_common_version(error)).ok();
        }
        let agreed = agreed?;
        (sink.version, stream.version) = (agreed, agreed);
        sink.other = Some(greeting.into());
        Ok((sink, stream))
    }

    /// Does the same as [`Self::handshake`] over a connection that the other side has opened.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::handshake`] does.
    pub async fn accept(&self, stream: TcpStream) -> Result<(Sink, Stream), Error> {
        let (mut sink, mut stream) = split(stream)?;
        let greeting = self.receive_hello(&mut stream).await?;
        // A build that speaks one version only expects to read that.
        let answer = greeting.hello.protocol.clamp(version::OLDEST, version::LATEST);
        self.send_hello(&mut sink, answer).await?;
        let agreed = greeting.agree(answer).inspect_err(log_no_common_version)?;
        (sink.version, stream.version) = (agreed, agreed);
        sink.other = Some(greeting.into());
        Ok((sink, stream))
    }

    async fn send_hello(&self, sink: &mut Sink, protocol: u32) -> Result<(), Error> {
        let (secret, process) = (self.secret.clone(), self.process.clone());
        self.send(sink, Body::Hello(Hello { protocol, secret, process })).await
    }

    /// Receives the first message of the other side and checks its secret.
    async fn receive_hello(&self, stream: &mut Stream) -> Result<Greeting, Error> {
        let received = tokio::time::timeout(HANDSHAKE_TIMEOUT, stream.inner.next()).await;
        let bytes = received.ok().flatten().context(HandshakeFailedSnafu)?.context(IoSnafu)?;
        let (frame, rest) = postcard::take_from_bytes::<Frame>(&bytes).context(DecodeSnafu)?;
        let Body::Hello(hello) = frame.body else {
            return HandshakeFailedSnafu.fail();
        };
        let secret_matches: bool = hello.secret.as_bytes().ct_eq(self.secret.as_bytes()).into();
        if !secret_matches {
            return HandshakeFailedSnafu.fail();
        }
        self.clock.observe(frame.stamp);
        let sections = decode_sections(rest).context(DecodeSnafu)?;
        let versions = section::versions(&sections).context(DecodeSnafu)?;
        let build = section::build(&sections).context(DecodeSnafu)?;
        Ok(Greeting { hello, versions, build })
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the message is too long or can't be
    /// encoded, or the version of the connection has no such message.
    pub async fn send(&self, sink: &mut Sink, body: Body) -> Result<(), Error> {
        let bytes = self.encode(body, sink.version)?;
        sink.inner.send(Bytes::from(bytes)).await.context(IoSnafu)
    }

    fn encode(&self, body: Body, version: u32) -> Result<Vec<u8>, Error> {
        let unsupported = UnsupportedSnafu { version };
        if body.since() > version {
            return unsupported.fail();
        }
        let stamp = self.clock.stamp();
        if version == v2::VERSION && !matches!(body, Body::Hello(_)) {
            let body = v2::Body::try_from(body).ok().context(unsupported)?;
            return postcard::to_stdvec(&v2::Frame { stamp, body }).context(DecodeSnafu);
        }
        let sections = section::of(&body).context(DecodeSnafu)?;
        let bytes = postcard::to_stdvec(&Frame { stamp, body }).context(DecodeSnafu)?;
        if sections.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&sections, bytes).context(DecodeSnafu)
    }

    /// Receives a message, and advances the hybrid logical clock to its timestamp.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends.
    pub async fn receive(&self, stream: &mut Stream) -> Result<Received, Error> {
        let bytes = match stream.inner.next().await {
            Some(bytes) => bytes.context(IoSnafu)?,
            None => return Err(Error::Closed),
        };
        let Ok(frame) = decode(&bytes, stream.version) else {
            return Ok(unknown(&bytes));
        };
        self.clock.observe(frame.stamp);
        Ok(Received::Message(frame.body))
    }
}

impl From<Greeting> for Process {
    fn from(greeting: Greeting) -> Self {
        let messages = greeting.messages();
        Self { name: greeting.hello.process, build: greeting.build, messages }
    }
}

impl Greeting {
    /// Returns the versions that the other side speaks.
    fn messages(&self) -> version::Range {
        self.versions.unwrap_or(version::Range::single(self.hello.protocol))
    }

    /// Returns the version to use. `named` is the version that this side named in its own
    /// hello, which is all that a build without a range reads.
    fn agree(&self, named: u32) -> Result<u32, Error> {
        let other = self.messages();
        let own = match self.versions {
            Some(_) => version::Range::OWN,
            None => version::Range::single(named),
        };
        own.common(other).with_context(|| NoCommonVersionSnafu {
            process: self.hello.process.clone(),
            oldest: other.oldest,
            latest: other.latest,
        })
    }
}

fn split(stream: TcpStream) -> Result<(Sink, Stream), Error> {
    stream.set_nodelay(true).context(IoSnafu)?;
    let (sink, stream) = codec::Framed::new(stream, frames::Codec::new()).split();
    let version = version::DEFAULT_OFFER;
    Ok((Sink { inner: sink, version, other: None }, Stream { inner: stream, version }))
}

fn decode(bytes: &[u8], version: u32) -> Result<Frame, postcard::Error> {
    if version == v2::VERSION {
        let frame: v2::Frame = postcard::from_bytes(bytes)?;
        return Ok(Frame { stamp: frame.stamp, body: frame.body.into() });
    }
    let (mut frame, rest) = postcard::take_from_bytes::<Frame>(bytes)?;
    section::apply(&mut frame.body, &decode_sections(rest)?)?;
    Ok(frame)
}

fn decode_sections(bytes: &[u8]) -> Result<Vec<section::Section>, postcard::Error> {
    if bytes.is_empty() {
        return Ok(Vec::new());
    }
    postcard::from_bytes(bytes)
}

/// Returns what is known of a frame that can't be decoded. The position of calls among the
/// messages and the position of their id never change.
fn unknown(bytes: &[u8]) -> Received {
    #[derive(Deserialize)]
    struct CallHeader {
        #[expect(dead_code, reason = "precedes the other fields")]
        stamp: clock::Stamp,
        variant: u32,
        id: u64,
    }
    match postcard::take_from_bytes::<CallHeader>(bytes) {
        Ok((CallHeader { variant: CALL_VARIANT, id, .. }, _)) => Received::UnknownCall { id },
        _ => Received::Unknown,
    }
}

fn log_no_common_version(error: &Error) {
    if matches!(error, Error::NoCommonVersion { .. }) {
        spdlog::warn!("connection to another build failed", kv: {
            reason = error.to_string().as_str()
        });
    }
}
