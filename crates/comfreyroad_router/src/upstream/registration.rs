use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Address, Incarnation, ModelId, PoolId, VersionId, ZoneId};

/// What an upstream has registered of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// IP number and port.
    pub address: Address,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The version of its software.
    pub version: VersionId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: Stage,
    /// How much longer it is cold, when it was registered.
    pub cold_for: Duration,
    /// The models that it has loaded; empty for a plain service.
    pub models: Vec<ModelId>,
    /// The start of its program.
    pub incarnation: Incarnation,
    /// Number of the registration since that start, by which a late one is told from a new one.
    pub sequence: u64,
}

impl Registration {
    /// Whether this says the same as another one of the same start.
    pub fn is_renewal_of(&self, other: &Self) -> bool {
        let renewed = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == renewed
    }

    /// Place in the order in which an upstream's registrations were made.
    pub fn ordering_key(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}
