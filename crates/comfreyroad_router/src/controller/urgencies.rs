//! How urgent the requests of each pool are beside each other, by the priorities of the configuration in force.

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use super::Controller;
use crate::Event;
use crate::configuration::Configuration;
use crate::id::PoolId;
use crate::outbox::Outbox;
use crate::request::Rank;

/// Controller of the priorities of each pool.
#[derive(Debug, Default)]
pub struct Urgencies {
    // The priorities that requests of a pool may have if they leave the model to the router, the most urgent first.
    priorities: IndexMap<PoolId, Vec<u8>>,
}

impl Urgencies {
    /// The rank of a request with a priority among those of a pool. None is first if all are equally urgent.
    pub fn rank(&self, pool: &PoolId, priority: u8) -> Rank {
        let priorities = self.priorities.get(pool).map_or(&[][..], |it| it);
        match priorities {
            [most_urgent, _, ..] if priority <= *most_urgent => Rank::First,
            _ => Rank::Usual,
        }
    }

    fn apply(&mut self, configuration: &Configuration) {
        self.priorities.clear();
        let routes = configuration.routes.iter();
        for route in routes.filter(|route| !route.models.is_empty()) {
            for pool in route.split.pools() {
                let priorities = self.priorities.entry(pool.clone()).or_default();
                for priority in configuration.priorities(route) {
                    if let Err(at) = priorities.binary_search(&priority) {
                        priorities.insert(at, priority);
                    }
                }
            }
        }
    }
}

impl Controller for Urgencies {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        if let Event::ConfigurationApplied(configuration) = event {
            self.apply(configuration);
        }
    }
}
