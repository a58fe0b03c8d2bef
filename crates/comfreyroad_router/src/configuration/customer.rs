use serde::{Deserialize, Serialize};

use crate::id::{ApiKey, CustomerId};

/// A customer and the keys that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name, as upstreams are told it.
    pub id: CustomerId,
    /// Its keys.
    #[serde(rename = "keys")]
    pub api_keys: Vec<ApiKey>,
    /// Urgency of its requests, in place of that of their route; 0 is the most urgent.
    pub priority: Option<u8>,
}
