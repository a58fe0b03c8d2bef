//! Frames between entries as bytes: rmp-serde, with the names of fields kept so that two versions of the program can
//! read each other.

use comfreyroad::frame::Frame;

/// A frame that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("decode frame: {0}")]
pub struct Error(#[from] rmp_serde::decode::Error);

/// Bytes of a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    rmp_serde::to_vec_named(frame).unwrap_or_default()
}

/// Reads a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}
