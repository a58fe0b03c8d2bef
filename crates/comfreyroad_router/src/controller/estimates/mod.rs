//! What requests are likely to cost, learned from answers.
//!
//! Answers the load pattern in which requests that look alike cost very different amounts of work: an upstream with few requests
//! may have more to do than one with many.

mod average;
mod pace;

use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use crate::Event;
use crate::configuration::Configuration;
use crate::controller::Controller;
use crate::id::{ModelId, PoolId, RouteId};
use crate::outbox::Outbox;
use crate::request::{Head, Plan};
use crate::upstream::PrefillSpeed;
use crate::work::{Answer, Basis, Demand, Length, bounded};

use self::average::Average;
use self::pace::Pace;

/// Standard deviations above the median of the length that nine in ten answers do not exceed.
const NINE_IN_TEN: f64 = 1.28;
/// Time per event, or of a plain answer, that is assumed of a model without answers.
const DEFAULT_PACE: Duration = Duration::from_millis(30);

/// Controller of the estimates.
#[derive(Debug, Default)]
pub struct Estimates {
    lengths: IndexMap<(RouteId, Basis), Length>,
    paces: IndexMap<(PoolId, Option<ModelId>), Pace>,
    works: IndexMap<PoolId, Average>,
}

impl Estimates {
    /// Learns from a complete answer.
    pub(crate) fn on_finished(
        &mut self,
        now: Instant,
        (head, plan): (&Head, &Plan),
        answer: Answer,
    ) {
        let (basis, tokens) = Basis::of(head);
        let lengths = self.lengths.entry((plan.route.id.clone(), basis));
        lengths.or_default().add(now, answer.events, tokens);
        if let Some(pace) = answer.pace {
            let paces = self.paces.entry((plan.pool.clone(), plan.model.clone()));
            paces.or_default().add(pace);
        }
        let works = self.works.entry(plan.pool.clone());
        works.or_default().add(answer.work);
    }

    /// Mean time for which requests of a pool occupy a slot.
    pub(crate) fn mean_work(&self, pool: &PoolId) -> Option<Duration> {
        self.works.get(pool).and_then(Average::mean)
    }

    /// The usual time per event of a model, or of a plain answer.
    pub fn pace(&self, pool: &PoolId, model: Option<&ModelId>) -> Option<Duration> {
        let key = (pool.clone(), model.cloned());
        self.paces.get(&key).and_then(Pace::mean)
    }

    /// Time that a request is expected to take at an idle upstream of usual speed.
    pub(crate) fn demand(
        &self,
        (head, plan): (&Head, &Plan),
        model: Option<&ModelId>,
        speed: PrefillSpeed,
    ) -> Demand {
        let prompt = head.prompt_tokens();
        let pace = self.pace(&plan.pool, model).unwrap_or(DEFAULT_PACE);
        let (basis, tokens) = Basis::of(head);
        let length = self.lengths.get(&(plan.route.id.clone(), basis));
        let length = length.copied().unwrap_or_default();
        let decode = |deviations| bounded(pace.as_secs_f64() * length.events(tokens, deviations));
        Demand {
            prefill: speed.prefill_time(prompt),
            cached_prefill: speed.prefill_time(prompt - head.shared_tokens()),
            decode: decode(0.0),
            late_decode: decode(NINE_IN_TEN),
        }
    }

    /// Forgets the routes and pools that are gone.
    fn retain(&mut self, configuration: &Configuration) {
        let routes = &configuration.routes;
        let pools = &configuration.services;
        self.lengths
            .retain(|(route, _), _| routes.iter().any(|it| it.id == *route));
        self.paces.retain(|(pool, _), _| pools.contains_key(pool));
        self.works.retain(|pool, _| pools.contains_key(pool));
    }
}

impl Controller for Estimates {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        if let Event::ConfigurationApplied(configuration) = event {
            self.retain(configuration);
        }
    }
}
