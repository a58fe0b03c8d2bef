//! The models that may answer a request: how urgent requests are beside the others of their pool, and what models say of their
//! answers.

mod opinions;

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use self::opinions::Opinions;
use super::Controller;
use crate::Event;
use crate::configuration::Configuration;
use crate::id::{ModelId, PoolId, RouteId};
use crate::outbox::Outbox;
use crate::request::Rank;

/// Controller of the choice among models.
#[derive(Debug, Default)]
pub struct Models {
    // The priorities of the routes of each pool that leave the model to the router, the most urgent first.
    priorities: IndexMap<PoolId, Vec<u8>>,
    opinions: IndexMap<(RouteId, ModelId), Opinions>,
}

impl Models {
    /// The rank of a request with a priority among those of a pool. None is first if all are equally urgent.
    pub fn rank(&self, pool: &PoolId, priority: u8) -> Rank {
        let priorities = self.priorities.get(pool).map_or(&[][..], |it| it);
        match priorities {
            [most_urgent, _, ..] if priority <= *most_urgent => Rank::First,
            _ => Rank::Usual,
        }
    }

    /// Records the confidence in percent that a model has in its answer to a request of a route.
    pub(crate) fn record(&mut self, route: &RouteId, model: &ModelId, confidence: u8) {
        let key = (route.clone(), model.clone());
        self.opinions.entry(key).or_default().add(confidence);
    }

    /// The recent fraction of a model's answers to requests of a route that had less than a confidence in percent; `None` before
    /// there are enough of them.
    pub fn share_below(&self, route: &RouteId, model: &ModelId, confidence: f64) -> Option<f64> {
        let key = (route.clone(), model.clone());
        self.opinions.get(&key)?.share_below(confidence)
    }

    fn apply(&mut self, configuration: &Configuration) {
        self.priorities.clear();
        let routes = configuration.routes.iter();
        for route in routes.filter(|route| !route.models.is_empty()) {
            for pool in route.split.pools() {
                let priorities = self.priorities.entry(pool.clone()).or_default();
                if let Err(at) = priorities.binary_search(&route.priority) {
                    priorities.insert(at, route.priority);
                }
            }
        }
        let is_routed = |id: &RouteId| configuration.routes.iter().any(|route| route.id == *id);
        self.opinions.retain(|(route, _), _| is_routed(route));
    }
}

impl Controller for Models {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        if let Event::ConfigurationApplied(configuration) = event {
            self.apply(configuration);
        }
    }
}
