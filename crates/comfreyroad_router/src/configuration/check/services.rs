use indexmap::IndexSet;

use super::{Finding, Place};
use crate::configuration::Configuration;
use crate::id::PoolId;

/// Checks the pools of upstreams.
pub(super) fn check(configuration: &Configuration, findings: &mut Vec<Finding>) {
    let routes = configuration.routes.iter();
    let used: IndexSet<&PoolId> = routes.flat_map(|route| route.split.pools()).collect();
    for (index, service) in configuration.services.values().enumerate() {
        let place = Place::Service(index, service.id.clone());
        if !used.contains(&service.id) {
            let text = "no route sends requests to it";
            findings.push(Finding::warning(place.clone(), text));
        }
        if service.max_connections == 0 {
            let text = "upstreams must allow at least 1 connection";
            findings.push(Finding::error(place.clone(), text));
        }
        if service.warmup.requests_per_second < 0.0 {
            let text = "the request rate of cold upstreams is below 0";
            findings.push(Finding::error(place, text));
        }
    }
}
