use serde::{Deserialize, Serialize};

/// The VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// When the list was true, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Every VM that lives or is leaving.
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
    /// IP number and port.
    pub address: String,
    /// Whether it stays.
    pub state: State,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An entry of this system.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    Live,
    /// It finishes what it has.
    Leaving,
}
