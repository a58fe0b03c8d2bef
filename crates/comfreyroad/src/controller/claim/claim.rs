use std::time::SystemTime;

use crate::record::{Outcome, Writer};

/// A claim on the log that was not released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The call that made the claim.
    pub writer: Writer,
    /// When the log accepted the claim.
    pub at: SystemTime,
    /// Whether it is certain that no earlier claim was used: this reader has read every record that could precede it,
    /// and each earlier claim was released.
    pub is_conclusive: bool,
    /// How the request ended, once known.
    pub outcome: Option<Outcome>,
}
