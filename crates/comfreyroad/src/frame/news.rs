use std::sync::Arc;
use std::time::Duration;

use crate::id::{Generation, Offset};

/// What an entry knows of the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct News {
    /// The generation in force.
    pub generation: Generation,
    /// Age of the moment at which that generation was last known to be the newest.
    pub age: Option<Duration>,
    /// The rules themselves, for a peer known to be behind: offset, operator and text.
    pub rules: Option<(Offset, Arc<str>, Arc<str>)>,
}
