/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Stream {
    /// Publishes, checkpoints, holds and everything else that changes the rules in force.
    Rules,
    /// Claims and results of requests that may run at most once.
    Claims,
    /// Bills and totals.
    Ledger,
    /// Leases and orders to engines.
    Orders,
}

impl Stream {
    /// All streams.
    pub const ALL: [Self; 4] = [Self::Rules, Self::Claims, Self::Ledger, Self::Orders];

    /// The name of the stream at the log service.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rules => "rules",
            Self::Claims => "claims",
            Self::Ledger => "ledger",
            Self::Orders => "orders",
        }
    }
}
