use serde::{Deserialize, Serialize};

/// A log of records in the platform's store, of which the newest of each key counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// What operators ask for: configuration, rollouts, evacuations.
    Operator,
    /// The upstreams that are registered.
    Upstreams,
    /// How far rollouts are, written by entries.
    Status,
    /// The entries of the fleet, written by themselves.
    Entries,
}

impl Topic {
    /// All topics, in the order in which a new entry reads them.
    pub const ALL: [Self; 4] = [Self::Operator, Self::Upstreams, Self::Status, Self::Entries];

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Upstreams => "upstreams",
            Self::Status => "status",
            Self::Entries => "entries",
        }
    }
}
