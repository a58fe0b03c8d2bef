use std::time::SystemTime;

use crate::record::{Outcome, Writer};

/// A claim on the log that was not given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveClaim {
    /// Who made it.
    pub writer: Writer,
    /// When the log took it.
    pub at: SystemTime,
    /// Whether it is certain that no claim before it was used: this reader has read all that could have come before,
    /// and each of those was given back.
    pub is_conclusive: bool,
    /// How it ended, once known.
    pub outcome: Option<Outcome>,
}
