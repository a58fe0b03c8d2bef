//! Encoding of frames between entries: rmp-serde with named fields, so that different versions of the program can
//! read each other's frames.

use comfreyroad::frame::Frame;

/// A frame that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("decode frame: {0}")]
pub struct Error(#[from] rmp_serde::decode::Error);

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    rmp_serde::to_vec_named(frame).unwrap_or_default()
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}
