use std::sync::Arc;

use super::Fault;
use crate::id::Generation;

/// The verdict on a publish, which depends on its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rules are in force from this offset on.
    Accepted {
        /// Generation of the rules.
        generation: Generation,
    },
    /// The publish does not follow the generation in force at its offset.
    Stale {
        /// The generation in force at its offset.
        in_force: Generation,
        /// The operator who published that generation. Empty if no rules were in force yet.
        by: Arc<str>,
    },
    /// The text has faults.
    Faulty(Vec<Fault>),
}
