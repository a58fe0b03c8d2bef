use serde::{Deserialize, Serialize};

/// Request body of an append to a stream of the log service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Records in Base64, in the order in which they are stored.
    pub records: Vec<String>,
}

/// Response of the log service to a successful append.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first: u64,
    /// Offset after the last appended record.
    pub next: u64,
}
