//! Load balancing: selects the upstream for a request.

use std::time::{Duration, Instant};

use super::candidate::Candidate;
use super::ring::Ring;
use super::{Requirements, Upstreams, stated_limit};
use crate::configuration::Service;
use crate::controller::evacuations::Evacuations;
use crate::id::{ModelId, PoolId, UpstreamId};
use crate::upstream::{PrefillSpeed, Slot, Upstream};
use crate::work::Estimate;

/// Cost of a cache miss in relation to the time that it adds to the prefill: the compute that is spent once more delays whoever is
/// served there next, and another prefix leaves the cache.
const CACHE_MISS_FACTOR: u32 = 4;
/// Usable upstreams in the order of an affinity key among which a request chooses. One of them is likely to hold its prefix, and
/// entries that read the same load reports do not all choose the same idle upstream.
const AFFINE_CHOICES: usize = 4;
/// Usable upstreams among which a plain request chooses.
const PLAIN_CHOICES: usize = 16;
/// Fraction (1/64) of the time to the last event that counts like the time to the first: callers wait for the first one, and a slot
/// that is held for less time serves others.
const LAST_EVENT_DIVISOR: u32 = 64;
/// Number of entries not yet known for which a share of an upstream's connections is reserved.
const SPARE_ENTRIES: u32 = 1;
/// Round-trip time between zones that an upstream in the same zone saves.
const CROSS_ZONE_COST: Duration = Duration::from_millis(2);

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
        let (upstream, estimate) = self.select(now, requirements, evacuations, service)?;
        let slot = upstream.acquire_slot(now, requirements.demand, estimate);
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
    ) -> Option<(&Upstream, Estimate)> {
        let usable = |upstream: &&Upstream| {
            self.is_usable(now, upstream, requirements, evacuations)
                && self.has_capacity(now, upstream, service)
                && (!requirements.is_optional || Self::is_promising(now, upstream))
        };
        let ring = self.rings.get(requirements.pool)?;
        // If most of a pool is ejected or suspected, the fault is more likely elsewhere, and that is ignored.
        let is_sound = |it: &&Upstream| {
            let must_be_proven = requirements.is_retry && ring.is_uneven;
            let is_proven = it.is_healthy(now) && !(must_be_proven && it.is_unproven());
            usable(it) && it.leaving.is_none() && (ring.is_mostly_unhealthy || is_proven)
        };
        let is_staying = |it: &&Upstream| usable(it) && it.leaving.is_none();
        let mut chosen = self.choose(ring, requirements, &is_sound);
        if chosen.is_empty() {
            chosen = self.choose(ring, requirements, &is_staying);
        }
        if chosen.is_empty() {
            chosen = self.choose(ring, requirements, &usable);
        }
        let candidates = Self::candidates(now, &chosen, requirements.mean_work);
        match requirements.affinity {
            Some(_) => Self::select_engine(now, requirements, ring, &candidates),
            None => self.select_service(now, requirements, &candidates),
        }
    }

    /// The upstreams that are compared, of those that meet a condition.
    fn choose<'a>(
        &'a self,
        ring: &'a Ring,
        requirements: &Requirements<'_>,
        is_eligible: &dyn Fn(&&'a Upstream) -> bool,
    ) -> Vec<&'a Upstream> {
        let known = |id: &UpstreamId| self.upstreams.get(id);
        let key = requirements.affinity.unwrap_or(requirements.salt);
        let count = match requirements.affinity {
            Some(_) => AFFINE_CHOICES,
            None => PLAIN_CHOICES,
        };
        let order = ring.order(key).filter_map(known).filter(is_eligible);
        order.take(count).collect()
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
        upstream.has_free_slot(now) && upstream.leaving.is_none() && upstream.is_healthy(now)
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

    /// Describes upstreams. An engine without a recent report is not idle: it counts as loaded as the others.
    fn candidates<'a>(
        now: Instant,
        upstreams: &[&'a Upstream],
        mean_work: Option<Duration>,
    ) -> Vec<Candidate<'a>> {
        let others = |it: &Upstream| it.other_requests(now).map(f64::from);
        let engines = upstreams.iter().filter(|it| it.is_engine());
        let known: Vec<f64> = engines.filter_map(|it| others(it)).collect();
        let mean_others = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let candidate = |upstream: &&'a Upstream| {
            let default = if upstream.is_engine() {
                mean_others
            } else {
                0.0
            };
            let others = others(upstream).unwrap_or(default);
            Candidate::new(now, upstream, others, mean_work)
        };
        upstreams.iter().map(candidate).collect()
    }

    /// The prefill speed measured for a model of a pool.
    pub fn prefill_speed(&self, pool: &PoolId, model: Option<&ModelId>) -> PrefillSpeed {
        let key = (pool.clone(), model.cloned());
        self.prefill_speeds.get(&key).copied().unwrap_or_default()
    }

    /// The upstream with the earliest expected answer to a prompt. The first one in the order of the affinity key has the shared
    /// prefix in its cache.
    fn select_engine<'a>(
        now: Instant,
        requirements: &Requirements<'_>,
        ring: &Ring,
        candidates: &[Candidate<'a>],
    ) -> Option<(&'a Upstream, Estimate)> {
        let demand = &requirements.demand;
        let preferred = &candidates.first()?.upstream.id;
        let estimate = |it: &Candidate<'a>| {
            let is_preferred = it.upstream.id == *preferred;
            let prefill = if is_preferred {
                demand.cached_prefill
            } else {
                demand.prefill
            };
            let estimate = it.estimate(now, prefill, demand);
            let cost = if ring.is_uneven {
                let miss_cost = (prefill - demand.cached_prefill) * CACHE_MISS_FACTOR;
                let decode = estimate.last_event_at - estimate.first_event_at;
                let others = it.disturbance(prefill) + miss_cost;
                (estimate.first_event_at - now) + others + decode / LAST_EVENT_DIVISOR
            } else {
                it.time_by_requests(now, demand, is_preferred)
            };
            (cost, it.upstream, estimate)
        };
        // Among equal costs, the first in the order of the hash.
        let best = candidates.iter().map(estimate).min_by_key(|it| it.0);
        best.map(|(_, upstream, estimate)| (upstream, estimate))
    }

    /// The upstream with the earliest expected plain answer. Among equal ones, the first in the order of the request.
    fn select_service<'a>(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
        candidates: &[Candidate<'a>],
    ) -> Option<(&'a Upstream, Estimate)> {
        let estimate = |it: &Candidate<'a>| {
            let is_other_zone = it.upstream.registration.zone != self.zone;
            let distance = if is_other_zone {
                CROSS_ZONE_COST
            } else {
                Duration::ZERO
            };
            let estimate = it.plain_estimate(now, &requirements.demand);
            (estimate.last_event_at + distance, it.upstream, estimate)
        };
        let best = candidates.iter().map(estimate).min_by_key(|it| it.0);
        best.map(|(_, upstream, estimate)| (upstream, estimate))
    }
}
