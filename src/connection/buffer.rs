//! Reading of whole responses into memory.
//!
//! A faulty target may send bytes without end to many requests at once. Each response
//! has a limit, and all of a process together have a budget: a limit that suits one large
//! response would let a few hundred of them take all memory. A small response is not
//! counted, so that it can always be read.

use std::sync::atomic::{self, AtomicUsize};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use snafu::Snafu;

/// Bytes of each response that do not count towards the budget.
const UNCOUNTED_BYTES: usize = 32 << 10;

/// Why a response could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The connection failed or was closed before the end.
    #[snafu(display("{source}"))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The response is longer than the limit.
    #[snafu(display("the response is longer than {limit} bytes"))]
    TooLong {
        /// In bytes.
        limit: usize,
    },
    /// Too many bytes of other responses are in memory.
    #[snafu(display("no memory for more than {read} bytes of the response"))]
    BudgetExhausted {
        /// Bytes that were read.
        read: usize,
    },
}

/// Memory for the responses that are being read.
#[derive(Debug)]
pub(crate) struct Budget {
    available: AtomicUsize,
}

/// Bytes taken from a budget, which are returned on drop.
#[derive(Debug)]
struct Reservation<'b> {
    budget: &'b Budget,
    bytes: usize,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { available: AtomicUsize::new(bytes) }
    }

    /// Reads a body of at most `limit` bytes.
    pub(crate) async fn read(&self, body: Incoming, limit: usize) -> Result<Bytes, Error> {
        let mut body = body;
        let mut buffer = BytesMut::new();
        let mut reservation = Reservation { budget: self, bytes: 0 };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|source| Error::Broken { source })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = buffer.len() + data.len();
            if length > limit {
                return Err(Error::TooLong { limit });
            }
            if !reservation.grow_to(length.saturating_sub(UNCOUNTED_BYTES)) {
                return Err(Error::BudgetExhausted { read: buffer.len() });
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    }
}

impl Reservation<'_> {
    /// Returns false if the budget has too little left.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let (set, fetch) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        let taken =
            self.budget.available.fetch_update(set, fetch, |left| left.checked_sub(more)).is_ok();
        self.bytes += if taken { more } else { 0 };
        taken
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget.available.fetch_add(self.bytes, atomic::Ordering::AcqRel);
    }
}
