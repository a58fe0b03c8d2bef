use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Address, Incarnation, ModelId, PoolId, VersionId, ZoneId};

/// The registration of an upstream, written by the upstream itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The pool that the upstream belongs to.
    pub pool: PoolId,
    /// IP address and port.
    pub address: Address,
    /// The availability zone.
    pub zone: ZoneId,
    /// The software version.
    pub version: VersionId,
    /// Requests that the upstream can process concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub stage: Stage,
    /// Remaining warm-up time when the registration was written.
    pub cold_for: Duration,
    /// The loaded models; empty for a service without models.
    pub models: Vec<ModelId>,
    /// Start time of the process, which tells restarts of the upstream apart.
    pub incarnation: Incarnation,
    /// Number of the registration since that start, which tells a new registration from a delayed old one.
    pub sequence: u64,
}

impl Registration {
    /// Whether this registration differs from another one in its sequence number at most.
    pub fn is_renewal_of(&self, other: &Self) -> bool {
        let renewed = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == renewed
    }

    /// Sort key: registrations of one upstream are ordered by the time of their writing.
    pub fn ordering_key(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It accepts new requests.
    Ready,
    /// It finishes its open requests and accepts no new ones.
    Draining,
}
