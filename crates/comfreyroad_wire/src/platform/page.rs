use serde::{Deserialize, Serialize};

/// One page read from a stream of the log service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the service retains.
    pub oldest: u64,
    /// Offset that the next record appended to the stream will have.
    pub next: u64,
    /// The records, in ascending order of offset.
    pub records: Vec<Record>,
}

/// A record as the log service stores it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// Time at which the service stored the record, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Bytes of the record in Base64.
    pub body: String,
}
