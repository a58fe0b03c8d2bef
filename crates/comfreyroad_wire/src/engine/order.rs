use serde::{Deserialize, Serialize};

/// An order to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of whoever orders.
    pub fence: u64,
    /// Versions to load, as `model@version`.
    pub load: Vec<String>,
    /// Versions to unload.
    pub unload: Vec<String>,
    /// `prefill`, `decode` or `both`.
    pub role: String,
}

/// What an engine says of the orders that it took.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Versions that serve.
    pub loaded: Vec<String>,
    /// Versions on their way from the weight store.
    pub loading: Vec<String>,
    /// `prefill`, `decode` or `both`.
    pub role: String,
}

/// An engine's refusal of an order with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Highest fencing number seen.
    pub fence: u64,
}
