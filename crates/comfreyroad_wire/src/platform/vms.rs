use serde::{Deserialize, Serialize};

/// The VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// Time at which the list was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Every VM that is live or leaving.
    pub vms: Vec<Vm>,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: String,
    /// What runs on it.
    pub kind: Kind,
    /// Pool of an upstream; empty for an entry.
    #[serde(default)]
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// IP address and port.
    pub address: String,
    /// Whether the VM accepts new work.
    pub state: State,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An entry, which is one process of the router.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// Whether a VM accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM accepts new work.
    Live,
    /// The VM finishes its current work and accepts no new work.
    Leaving,
}
