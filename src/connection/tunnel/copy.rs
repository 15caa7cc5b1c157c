//! The gateway between: copies bytes in both directions.

use std::io;

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use tokio::{
    io::{self as tio, ReadHalf, WriteHalf},
    net::TcpStream,
};
use tokio_util::{codec, io::ReaderStream};

use super::end::{self, EndMark};

/// Which side ended a relayed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The other gateway closed or reset it.
    ByCaller,
    /// The target closed it in the regular way.
    ByTarget,
    /// The connection to the target was reset or timed out.
    Broken,
}

impl Ended {
    /// Returns the value used in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ByCaller => "caller",
            Self::ByTarget => "target",
            Self::Broken => "broken",
        }
    }
}

/// Copies bytes between the other gateway, `caller`, and the target until one side closes or
/// resets its connection, and then closes the other one. The caller is told of a regular end of
/// the target by `mark`; without a mark, another end resets the caller's connection.
pub async fn copy(caller: TcpStream, target: TcpStream, mark: EndMark) -> Ended {
    let (mut from_caller, mut to_caller) = tio::split(caller);
    let (from_target, mut to_target) = tio::split(target);
    let ended = tokio::select! {
        _ = tio::copy(&mut from_caller, &mut to_target) => Ended::ByCaller,
        copied = copy_to_caller(from_target, &mut to_caller, mark) =>
            if copied.is_ok() { Ended::ByTarget } else { Ended::Broken },
    };
    if ended == Ended::Broken && mark == EndMark::Absent {
        // Fails only if the caller's connection is gone already.
        let _ = from_caller.unsplit(to_caller).set_zero_linger();
    }
    ended
}

async fn copy_to_caller(
    mut from_target: ReadHalf<TcpStream>,
    to_caller: &mut WriteHalf<TcpStream>,
    mark: EndMark,
) -> io::Result<()> {
    match mark {
        EndMark::Absent => tio::copy(&mut from_target, to_caller).await.map(drop),
        EndMark::Frame => {
            let mut frames = codec::FramedWrite::new(to_caller, end::frame_codec());
            let mut chunks = ReaderStream::new(from_target);
            while let Some(chunk) = chunks.next().await {
                frames.send(chunk?).await?;
            }
            frames.send(Bytes::new()).await
        }
    }
}
