//! Records of the log as bytes: rmp-serde, with the names of fields kept so that two versions of the program can read
//! each other.

use comfreyroad::record::Record;

/// A record that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("decode record: {0}")]
pub struct Error(#[from] rmp_serde::decode::Error);

/// Bytes of a record.
pub fn encode(record: &Record) -> Vec<u8> {
    rmp_serde::to_vec_named(record).unwrap_or_default()
}

/// Reads a record.
pub fn decode(bytes: &[u8]) -> Result<Record, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}
