use serde::{Deserialize, Serialize};

use crate::id::{ApiKey, CustomerId};

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The name, which is also sent to upstreams.
    pub id: CustomerId,
    /// The API keys.
    #[serde(rename = "keys")]
    pub api_keys: Vec<ApiKey>,
    /// Priority of its requests, which overrides that of their route; 0 is the most urgent.
    pub priority: Option<u8>,
}
