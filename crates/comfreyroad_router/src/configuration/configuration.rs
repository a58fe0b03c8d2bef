use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Customer, Limits, Route, Service};
use crate::id::{Generation, PoolId};

/// A published configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Generation number; increases with each publish.
    pub generation: Generation,
    /// The routes of requests.
    pub routes: Vec<Arc<Route>>,
    /// The pools of upstreams that routes refer to.
    pub services: IndexMap<PoolId, Arc<Service>>,
    /// Limits on requests.
    pub limits: Limits,
    /// The customers, whose keys requests need; `None` if no request needs a key.
    pub customers: Option<Vec<Customer>>,
}

impl Configuration {
    /// The route that matches a host and path; with several, the one with the longest path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| route.matches(host, path));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// The priorities that requests of a route may have: those of the customers that have one, and the route's for the others.
    pub fn priorities(&self, route: &Route) -> impl Iterator<Item = u8> {
        let customers = self.customers.iter().flatten().filter(|_| !route.is_public);
        let own = customers.clone().filter_map(|customer| customer.priority);
        let is_usual = customers.clone().any(|it| it.priority.is_none())
            || route.is_public
            || self.customers.is_none();
        own.chain(is_usual.then_some(route.priority))
    }

    /// The customer that owns an API key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let mut customers = self.customers.iter().flatten();
        customers.find(|customer| customer.api_keys.iter().any(|owned| **owned == *key))
    }
}
