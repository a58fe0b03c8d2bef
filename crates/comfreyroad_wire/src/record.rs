//! Encoding of log records: rmp-serde with named fields, so that different versions of the program can read each
//! other's records.

use comfreyroad::record::Record;

/// A record that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("decode record: {0}")]
pub struct Error(#[from] rmp_serde::decode::Error);

/// Encodes a record.
pub fn encode(record: &Record) -> Vec<u8> {
    rmp_serde::to_vec_named(record).unwrap_or_default()
}

/// Decodes a record.
pub fn decode(bytes: &[u8]) -> Result<Record, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}
