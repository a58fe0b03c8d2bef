use serde::{Deserialize, Serialize};

/// An order to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    /// Versions to load, as `model@version`.
    pub load: Vec<String>,
    /// Versions to unload.
    pub unload: Vec<String>,
    /// `prefill`, `decode` or `both`.
    pub role: String,
}

/// State of an engine after the orders that it accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number that the engine has received.
    pub fence: u64,
    /// Versions that are ready to serve requests.
    pub loaded: Vec<String>,
    /// Versions that are being fetched from the weight store.
    pub loading: Vec<String>,
    /// `prefill`, `decode` or `both`.
    pub role: String,
}

/// Response of an engine that rejects an order with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Highest fencing number that the engine has received.
    pub fence: u64,
}
