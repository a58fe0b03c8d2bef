//! Load balancing: selects the upstream for a request.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use comfreyroad::rendezvous;

use super::{Requirements, Upstreams, stated_limit};
use crate::configuration::Service;
use crate::controller::evacuations::Evacuations;
use crate::id::{ModelId, PoolId};
use crate::upstream::{PrefillSpeed, Slot, Upstream};

/// Cost of a cache miss beyond the prefill time, as a duration: the compute that another upstream spends on the prompt.
const CACHE_MISS_COST: Duration = Duration::from_millis(100);
/// Delay that each open request adds to the others, as the steps of a larger batch take longer.
const BATCH_COST_PER_REQUEST: Duration = Duration::from_millis(4);
/// Expected delay of a prompt behind each one whose prefill takes longer than predicted.
const OVERDUE_PROMPT_COST: Duration = Duration::from_millis(150);
/// Expected delay by each request that waits at an engine without a free slot.
const QUEUE_COST_PER_REQUEST: Duration = Duration::from_millis(50);
/// Number of engines in the order of a key's hash among which a request chooses. Entries that read the same load reports
/// would otherwise all choose the same idle engine.
const CHOICES: usize = 4;
/// Service time of an upstream, as a factor of the median, above which it counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Number of entries not yet known for which a share of an upstream's connections is reserved.
const SPARE_ENTRIES: u32 = 1;
/// Round-trip time between zones that an upstream in the same zone saves.
const CROSS_ZONE_COST: Duration = Duration::from_millis(2);
/// Service time assumed of an upstream that has not answered yet.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// The upstreams that meet a condition, or all if none does.
fn prefer(all: Vec<&Upstream>, is_preferred: impl Fn(&Upstream) -> bool) -> Vec<&Upstream> {
    let preferred = all.iter().filter(|it| is_preferred(it));
    let preferred: Vec<&Upstream> = preferred.copied().collect();
    if preferred.is_empty() { all } else { preferred }
}

/// An upstream that can serve the request, with its load.
struct Candidate<'a> {
    upstream: &'a Upstream,
    open_requests: f64,
    is_slow: bool,
}

impl Upstreams {
    /// Takes a slot at the best upstream; `None` if none is usable and has capacity left.
    pub(crate) fn acquire_slot(
        &mut self,
        now: Instant,
        requirements: &Requirements<'_>,
        evacuations: &Evacuations,
    ) -> Option<Slot> {
        let configuration = self.configuration.clone()?;
        let service = configuration.services.get(requirements.pool)?;
        let upstream = self.select(now, requirements, evacuations, service)?;
        let slot = upstream.acquire_slot(
            now,
            self.prefill_time(requirements, requirements.prompt_tokens),
        );
        let upstream = self.upstreams.get(&slot.upstream)?;
        if upstream.is_cold(now) {
            let rate = self.cold_rate(upstream, service);
            self.cold_limiter.take(now, &slot.upstream, rate);
        }
        if let Some(rate) = self.stated_rate(upstream) {
            self.stated_limiter.take(now, &slot.upstream, rate);
        }
        Some(slot)
    }

    fn cold_rate(&self, upstream: &Upstream, service: &Service) -> f64 {
        self.cold_limit
            .rate(&self.fleet, &self.entry, &upstream.id, service)
    }

    /// This entry's share of the rate limit that an upstream states, if it states one.
    fn stated_rate(&self, upstream: &Upstream) -> Option<f64> {
        let limit = upstream.stated_rate()?;
        Some(stated_limit::rate(
            &self.fleet,
            &self.entry,
            &upstream.id,
            limit,
        ))
    }

    fn select(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
        evacuations: &Evacuations,
        service: &Service,
    ) -> Option<&Upstream> {
        let usable = |upstream: &&Upstream| {
            self.is_usable(now, upstream, requirements, evacuations)
                && self.has_capacity(now, upstream, service)
                && (!requirements.is_optional || Self::is_promising(now, upstream))
        };
        let usable: Vec<&Upstream> = self.upstreams.values().filter(usable).collect();
        let usable = prefer(usable, |it| it.leaving.is_none());
        // If more than half of the usable upstreams are ejected or suspected, the fault is more likely elsewhere, and that is
        // ignored.
        let is_healthy = |it: &&&Upstream| !it.health.is_ejected(now) && !it.is_suspected(now);
        let healthy = usable.iter().filter(is_healthy);
        let healthy: Vec<&Upstream> = healthy.copied().collect();
        let eligible = if healthy.len() * 2 >= usable.len() {
            healthy
        } else {
            usable
        };
        let candidates = Self::candidates(now, &eligible);
        match &requirements.affinity {
            Some(affinity) => self.select_by_first_event(now, requirements, affinity, &candidates),
            None => self.select_by_load(requirements.salt, &candidates),
        }
    }

    /// Whether some upstream meets the requirements of a request, even if it has no capacity or wants no requests now.
    pub(crate) fn has_match(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
        evacuations: &Evacuations,
    ) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|it| self.is_match(now, it, requirements, evacuations))
    }

    /// Whether an upstream would be selected for a request.
    pub(crate) fn has_slot(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
        evacuations: &Evacuations,
    ) -> bool {
        let configuration = self.configuration.as_ref();
        let service = configuration.and_then(|it| it.services.get(requirements.pool));
        service.is_some_and(|service| {
            let selected = self.select(now, requirements, evacuations, service);
            selected.is_some()
        })
    }

    /// Whether an upstream is expected to answer a request that it takes over.
    fn is_promising(now: Instant, upstream: &Upstream) -> bool {
        upstream.has_free_slot(now)
            && upstream.leaving.is_none()
            && !upstream.health.is_ejected(now)
            && !upstream.is_suspected(now)
    }

    /// Whether an upstream meets the requirements of a request and accepts new ones, regardless of its load.
    fn is_usable(
        &self,
        now: Instant,
        upstream: &Upstream,
        requirements: &Requirements<'_>,
        evacuations: &Evacuations,
    ) -> bool {
        self.is_match(now, upstream, requirements, evacuations) && !upstream.is_paused(now)
    }

    fn is_match(
        &self,
        now: Instant,
        upstream: &Upstream,
        requirements: &Requirements<'_>,
        evacuations: &Evacuations,
    ) -> bool {
        let registration = &upstream.registration;
        let has_model =
            |model| registration.models.is_empty() || registration.models.contains(model);
        registration.pool == *requirements.pool
            && upstream.is_ready(now)
            && !self.has_left(now, upstream)
            && requirements.versions.allows(&registration.version)
            && requirements.model.is_none_or(has_model)
            && !requirements.excluded.contains(&upstream.id)
            && !evacuations.is_evacuated(&registration.zone)
    }

    /// Whether this entry's share of an upstream's capacity admits one more request.
    fn has_capacity(&self, now: Instant, upstream: &Upstream, service: &Service) -> bool {
        let entries = self.fleet.possibly_serving.max(1) as u32 + SPARE_ENTRIES;
        let connections = (service.max_connections / entries).max(1);
        if upstream.open_requests() >= connections {
            return false;
        }
        let id = &upstream.id;
        let is_above_cold_rate = upstream.is_cold(now) && {
            let rate = self.cold_rate(upstream, service);
            !self.cold_limiter.allows(now, id, rate)
        };
        let stated = self.stated_rate(upstream);
        !is_above_cold_rate && stated.is_none_or(|it| self.stated_limiter.allows(now, id, it))
    }

    fn candidates<'a>(now: Instant, upstreams: &[&'a Upstream]) -> Vec<Candidate<'a>> {
        let mut service_times: Vec<Duration> = upstreams
            .iter()
            .filter_map(|it| it.service_time.mean())
            .collect();
        service_times.sort_unstable();
        let median = service_times.get(service_times.len() / 2).copied();
        let is_slow = |upstream: &Upstream| {
            let service_time = upstream.service_time.mean().zip(median);
            service_time.is_some_and(|(own, median)| own > median.mul_f64(SLOW_FACTOR))
        };
        // An engine without a recent report is not idle: it counts as loaded as the others.
        let others: Vec<f64> = upstreams
            .iter()
            .filter(|it| it.is_engine())
            .filter_map(|it| it.other_requests(now))
            .map(f64::from)
            .collect();
        let mean_others = others.iter().sum::<f64>() / others.len().max(1) as f64;
        let other_requests = |upstream: &Upstream| match upstream.other_requests(now) {
            Some(others) => f64::from(others),
            None if upstream.is_engine() => mean_others,
            None => 0.0,
        };
        let candidate = |upstream: &&'a Upstream| Candidate {
            upstream,
            open_requests: f64::from(upstream.open_requests()) + other_requests(upstream),
            is_slow: is_slow(upstream),
        };
        upstreams.iter().map(candidate).collect()
    }

    /// Predicted time for the model to process prompt tokens.
    fn prefill_time(&self, requirements: &Requirements<'_>, tokens: u32) -> Duration {
        self.prefill_speed(requirements.pool, requirements.model)
            .prefill_time(tokens)
    }

    /// The prefill speed measured for a model of a pool.
    pub fn prefill_speed(&self, pool: &PoolId, model: Option<&ModelId>) -> PrefillSpeed {
        let key = (pool.clone(), model.cloned());
        self.prefill_speeds.get(&key).copied().unwrap_or_default()
    }

    /// The upstream with the earliest predicted first event. The preferred upstream of the affinity key has the shared
    /// prefix in its cache, while others may have a shorter queue.
    fn select_by_first_event<'a>(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
        affinity: &str,
        candidates: &[Candidate<'a>],
    ) -> Option<&'a Upstream> {
        let uncached = self.prefill_time(requirements, requirements.prompt_tokens);
        let cached = self.prefill_time(
            requirements,
            requirements
                .prompt_tokens
                .saturating_sub(requirements.cacheable_tokens),
        );
        let hash = |it: &&Candidate<'_>| rendezvous::hash(affinity, &it.upstream.id);
        let mut choices: Vec<&Candidate<'_>> = candidates.iter().collect();
        choices.sort_by_cached_key(|it| Reverse(hash(it)));
        choices.truncate(CHOICES);
        let preferred = *choices.first()?;
        let cost = |it: &&Candidate<'_>| {
            let is_preferred = it.upstream.id == preferred.upstream.id;
            let prefill = if is_preferred {
                cached
            } else {
                uncached + CACHE_MISS_COST
            };
            let overdue = OVERDUE_PROMPT_COST * it.upstream.overdue_prefills(now) as u32;
            let batch = BATCH_COST_PER_REQUEST.mul_f64(it.open_requests);
            let slots = f64::from(it.upstream.registration.slots.max(1));
            let queue = QUEUE_COST_PER_REQUEST.mul_f64((it.open_requests + 1.0 - slots).max(0.0));
            let time = it.upstream.prefill_backlog(now) + overdue + prefill + batch + queue;
            if it.is_slow { time * 4 } else { time }
        };
        // Among equal costs, the first in the order of the hash.
        let best = choices.iter().min_by_key(|it| cost(it));
        best.map(|it| it.upstream)
    }

    /// The upstream with the earliest predicted answer.
    fn select_by_load<'a>(&self, salt: u64, candidates: &[Candidate<'a>]) -> Option<&'a Upstream> {
        let cost = |it: &&Candidate<'_>| {
            let upstream = it.upstream;
            let service_time = upstream.service_time.mean().unwrap_or(DEFAULT_SERVICE_TIME);
            let slots = f64::from(upstream.registration.slots.max(1));
            let queue = (it.open_requests + 1.0 - slots).max(0.0) / slots;
            let time = service_time.mul_f64(1.0 + queue + it.open_requests / (4.0 * slots));
            let is_other_zone = upstream.registration.zone != self.zone;
            time + if is_other_zone {
                CROSS_ZONE_COST
            } else {
                Duration::ZERO
            }
        };
        let tie_break = |it: &&Candidate<'_>| rendezvous::hash(&salt.to_string(), &it.upstream.id);
        let best = candidates.iter().min_by_key(|it| (cost(it), tie_break(it)));
        best.map(|it| it.upstream)
    }
}
