//! How the other gateway tells that a target ended its connection.
//!
//! When a process ends, the operating system closes its connections in the same way as a
//! target that has sent all of a response without a length. So the end of a relayed connection
//! proves nothing, and the gateway between sends the target's bytes in frames, of which an
//! empty one is the last.

use std::{io, pin::Pin};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _, TryStreamExt as _, stream};
use tokio::{
    io::{self as tio, Join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::{
    codec,
    io::{ReaderStream, StreamReader},
};

/// First version of the messages between gateways with [`EndMark::Frame`].
const FRAMES_SINCE: u32 = 6;

/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// How a regular end of the target is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMark {
    /// By an empty frame.
    Frame,
    /// Not at all. The bytes come as they are.
    Absent,
}

impl EndMark {
    /// Returns what two gateways use that speak this version of the messages.
    #[must_use]
    pub fn of_version(version: u32) -> Self {
        if version >= FRAMES_SINCE { Self::Frame } else { Self::Absent }
    }
}

type Chunks = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// A connection to a target through another gateway. It ends in the regular way only if that
/// gateway has marked the end; otherwise the last read fails with
/// [`UnexpectedEof`](io::ErrorKind::UnexpectedEof).
pub type RelayedStream = Join<StreamReader<Chunks, Bytes>, OwnedWriteHalf>;

/// Reads and writes the bytes of a target over the connection to another gateway.
#[must_use]
pub fn relayed(stream: TcpStream, mark: EndMark) -> RelayedStream {
    let (reader, writer) = stream.into_split();
    tio::join(StreamReader::new(until_marked(chunks(reader, mark))), writer)
}

pub(super) fn frame_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn chunks(reader: OwnedReadHalf, mark: EndMark) -> Chunks {
    match mark {
        EndMark::Frame => {
            Box::pin(codec::FramedRead::new(reader, frame_codec()).map_ok(BytesMut::freeze))
        }
        EndMark::Absent => Box::pin(ReaderStream::new(reader)),
    }
}

/// Returns the chunks up to an empty one. If there is none, an error follows the last chunk.
fn until_marked(chunks: Chunks) -> Chunks {
    let marked = stream::unfold(Some(chunks), |chunks| async {
        let Some(mut chunks) = chunks else {
            return Some((Err(unmarked_end()), None));
        };
        match chunks.next().await {
            Some(Ok(chunk)) if chunk.is_empty() => None,
            Some(Ok(chunk)) => Some((Ok(chunk), Some(chunks))),
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(unmarked_end()), None)),
        }
    });
    // Readers may read again after the end.
    Box::pin(marked.fuse())
}

fn unmarked_end() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "a relayed connection ended without the mark of the target's end",
    )
}
