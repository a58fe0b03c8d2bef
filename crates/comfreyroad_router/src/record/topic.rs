use serde::{Deserialize, Serialize};

/// A compacted log in the platform's store: for each key, the newest record is the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Operators' records: configuration, rollout orders, evacuations.
    Operator,
    /// Registrations of upstreams.
    Upstreams,
    /// Statuses of rollouts, written by entries.
    Status,
    /// Registrations of entries, each written by the entry itself.
    Entries,
}

impl Topic {
    /// All topics, in the order in which a new entry reads them.
    pub const ALL: [Self; 4] = [Self::Operator, Self::Upstreams, Self::Status, Self::Entries];

    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Upstreams => "upstreams",
            Self::Status => "status",
            Self::Entries => "entries",
        }
    }
}
