use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Customer, Limits, Route, Service};
use crate::id::{Generation, PoolId};

/// One published configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number; rises with each publish.
    pub generation: Generation,
    /// Where requests go.
    pub routes: Vec<Arc<Route>>,
    /// The pools of upstreams that routes name.
    pub services: IndexMap<PoolId, Arc<Service>>,
    /// What callers may send.
    pub limits: Limits,
    /// Who may ask; without customers nobody is asked for a key.
    pub customers: Vec<Customer>,
}

impl Configuration {
    /// The route of a host with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| route.matches(host, path));
        matching.max_by_key(|route| route.path_prefix.len())
    }

    /// The customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let mut customers = self.customers.iter();
        customers.find(|customer| customer.api_keys.iter().any(|held| **held == *key))
    }
}
