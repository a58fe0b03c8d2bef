//! Encoding of gossip frames.

use comfreyroad_router::frame::Frame;

/// Bytes that most frames take at 100 entries; a buffer that grows is copied several times.
const TYPICAL_FRAME_BYTES: usize = 32 * 1024;

/// Encodes a frame with the names of its fields, so that other versions can leave fields out.
pub(crate) fn encode(frame: &Frame) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = Vec::with_capacity(TYPICAL_FRAME_BYTES);
    rmp_serde::encode::write_named(&mut bytes, frame)?;
    Ok(bytes)
}
