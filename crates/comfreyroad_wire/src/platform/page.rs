use serde::{Deserialize, Serialize};

/// One page read from a stream of the log service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record still kept.
    pub oldest: u64,
    /// Offset that the stream's next record will get.
    pub next: u64,
    /// The records, by rising offset.
    pub records: Vec<StoredRecord>,
}

/// A record as the log service keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Place in the stream.
    pub offset: u64,
    /// When the service took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Base64 of the record.
    pub body: String,
}
