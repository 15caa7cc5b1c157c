//! Frames, in which all files of a data folder are written: a magic number, a length, a CRC and a
//! body that is encoded with `postcard`.

use serde::Serialize;

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"HBDf";

/// Length of the magic number, the body length and the CRC, in bytes.
pub(super) const HEADER_BYTES: usize = 12;

/// Maximum body length of a frame, in bytes. A frame that states a larger length counts as corrupt.
const MAX_FRAME_BYTES: usize = 256 << 20;

/// Returns the frame with a value as its body.
pub(super) fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_stdvec(value)?;
    let length = u32::try_from(body.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Returns the body of the frame at the start of `bytes`, or `None` if the frame is
/// incomplete or corrupt.
pub(super) fn parse(bytes: &[u8]) -> Option<&[u8]> {
    let (magic, rest) = bytes.split_at_checked(MAGIC.len())?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    if magic != MAGIC || length > MAX_FRAME_BYTES {
        return None;
    }
    let body = rest.get(..length)?;
    (crc32fast::hash(body) == u32::from_le_bytes(*crc)).then_some(body)
}

/// Returns true if a valid frame starts anywhere in `bytes`.
pub(super) fn is_within(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|start| parse(&bytes[start..]).is_some())
}
