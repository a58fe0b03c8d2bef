//! What requests are likely to cost, learned from answers.
//!
//! Answers the load pattern in which requests that look alike cost very different amounts of work: an upstream with few requests
//! may have more to do than one with many.

mod average;
mod pace;

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::{ModelId, PoolId, RouteId};
use crate::request::{Head, Plan};
use crate::upstream::PrefillSpeed;
use crate::work::{Basis, Demand, Estimate, Length};

use self::average::Average;
use self::pace::Pace;

/// Maximum number of routes, and of pools with their models, whose answers are remembered.
const MAX_KEYS: usize = 1024;
/// Standard deviations above the median of the length that nine in ten answers do not exceed.
const NINE_IN_TEN: f64 = 1.28;
/// Time per event that is assumed of a model without answers.
const DEFAULT_PACE: Duration = Duration::from_millis(30);

/// Controller of the estimates.
#[derive(Debug, Default)]
pub struct Estimates {
    lengths: IndexMap<(RouteId, Basis), Length>,
    paces: IndexMap<(PoolId, Option<ModelId>), Pace>,
    works: IndexMap<PoolId, Average>,
}

impl Estimates {
    /// Records a complete answer: its number of events, its time per event, and the time for which it occupied a slot.
    pub(crate) fn on_finished(
        &mut self,
        now: Instant,
        (head, plan): (&Head, &Plan),
        events: u32,
        (pace, work): (Option<Duration>, Duration),
    ) {
        let (basis, tokens) = Basis::of(head);
        let key = (plan.route.id.clone(), basis);
        if self.lengths.len() < MAX_KEYS || self.lengths.contains_key(&key) {
            let length = self.lengths.entry(key).or_default();
            length.add(now, events, tokens);
        }
        let key = (plan.pool.clone(), plan.model.clone());
        if let Some(pace) = pace
            && (self.paces.len() < MAX_KEYS || self.paces.contains_key(&key))
        {
            self.paces.entry(key).or_default().add(pace);
        }
        self.record_work(plan, work);
    }

    fn record_work(&mut self, plan: &Plan, work: Duration) {
        if self.works.len() < MAX_KEYS || self.works.contains_key(&plan.pool) {
            self.works.entry(plan.pool.clone()).or_default().add(work);
        }
    }

    /// Mean time for which requests of a pool occupy a slot.
    pub(crate) fn mean_work(&self, pool: &PoolId) -> Option<Duration> {
        self.works.get(pool).and_then(|it| it.mean())
    }

    /// The usual time per event of a model.
    pub fn pace(&self, pool: &PoolId, model: Option<&ModelId>) -> Option<Duration> {
        let key = (pool.clone(), model.cloned());
        self.paces.get(&key).and_then(Pace::mean)
    }

    /// Expected number of events, at the given number of standard deviations above the median.
    fn events(&self, head: &Head, plan: &Plan, deviations: f64) -> f64 {
        let (basis, tokens) = Basis::of(head);
        let length = self.lengths.get(&(plan.route.id.clone(), basis));
        length.map_or(1.0, |it| it.events(tokens, deviations))
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
        Demand {
            prefill: speed.prefill_time(prompt),
            cached_prefill: speed.prefill_time(prompt - head.shared_tokens()),
            decode: pace.mul_f64(self.events(head, plan, 0.0)),
            late_decode: pace.mul_f64(self.events(head, plan, NINE_IN_TEN)),
        }
    }

    /// When a request would be answered by a model if it were sent now to the pool's usual upstream.
    pub fn estimate(
        &self,
        now: Instant,
        (head, plan): (&Head, &Plan),
        model: Option<&ModelId>,
        speed: PrefillSpeed,
    ) -> Estimate {
        let demand = self.demand((head, plan), model, speed);
        let own = head.prompt_tokens() - head.shared_tokens();
        let first_event_at = now + speed.time_to_first_event(now, own);
        Estimate {
            first_event_at,
            last_event_at: first_event_at + demand.decode,
            late_last_event_at: first_event_at + demand.late_decode,
        }
    }
}
