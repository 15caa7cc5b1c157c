//! Length-delimited frames whose buffers do not stay as large as the largest frame.
//!
//! A gateway gets the whole directory of 3,000 targets in one frame, once, and then changes of a
//! few kB. Without this each connection would keep buffers for the whole directory for good, which
//! is more memory than a replica has with 300 gateways.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{self, Decoder, Encoder};

/// Maximum length of a frame, in bytes. A snapshot is sent in one frame.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Frames of more bytes have their buffer freed after them.
const MAX_KEPT_BYTES: usize = 32 << 10;

/// Encodes and decodes frames.
#[derive(Debug)]
pub(super) struct Codec {
    inner: codec::LengthDelimitedCodec,
    /// Length of the largest frame in the buffer for sending since that was new.
    largest_sent: usize,
    /// The same of the buffer for receiving.
    largest_received: usize,
}

impl Codec {
    pub(super) fn new() -> Self {
        let inner = codec::LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .little_endian()
            .new_codec();
        Self { inner, largest_sent: 0, largest_received: 0 }
    }
}

impl Encoder<Bytes> for Codec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        free_large(buffer, &mut self.largest_sent);
        self.largest_sent = self.largest_sent.max(frame.len());
        self.inner.encode(frame, buffer)
    }
}

impl Decoder for Codec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let decoded = self.inner.decode(buffer)?;
        match &decoded {
            Some(frame) => self.largest_received = self.largest_received.max(frame.len()),
            None => free_large(buffer, &mut self.largest_received),
        }
        Ok(decoded)
    }
}

/// Frees an empty buffer that has held a large frame.
fn free_large(buffer: &mut BytesMut, largest: &mut usize) {
    if buffer.is_empty() && *largest > MAX_KEPT_BYTES {
        *buffer = BytesMut::new();
        *largest = 0;
    }
}
