use serde::{Deserialize, Serialize};

/// The body of an append to a stream of the log service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Base64 bodies, in the order in which they are to stand.
    pub records: Vec<String>,
}

/// The log service's answer to an append that it took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record of the append.
    pub first: u64,
    /// Offset after the last one.
    pub next: u64,
}
