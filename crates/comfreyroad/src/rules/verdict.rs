use std::sync::Arc;

use super::Fault;
use crate::id::Generation;

/// What a publish came to at its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force from its offset on.
    Accepted {
        /// Its number.
        generation: Generation,
    },
    /// It does not follow the generation in force at its offset.
    Stale {
        /// The generation in force at its offset.
        in_force: Generation,
        /// Who published that; empty where nothing was in force yet.
        by: Arc<str>,
    },
    /// Its text has faults.
    Faulty(Vec<Fault>),
}
