//! The choice of an upstream.

use std::time::{Duration, Instant};

use comfreyroad::rendezvous;

use super::{Requirements, Upstreams};
use crate::configuration::Service;
use crate::controller::evacuations::Evacuations;
use crate::id::{ModelId, PoolId};
use crate::upstream::{PrefillSpeed, Slot, Upstream};

/// What a prompt read from a cache saves beside its time, as the price of reading it again elsewhere, in time.
const CACHE_BONUS: Duration = Duration::from_millis(100);
/// Time that each request under way adds to the others, as steps of a batch take longer.
const BATCH_COST: Duration = Duration::from_millis(4);
/// Time by which a prompt is expected to be late that stands behind one which takes longer than expected.
const OVERDUE_COST: Duration = Duration::from_millis(150);
/// Pace of an upstream, as a factor of the median, above which it counts as slow.
const SLOW: f64 = 2.5;
/// Connections of an upstream that are left for entries which are not yet known.
const SPARE_ENTRIES: u32 = 1;
/// Time of a request to another zone and back that the same zone saves, in a plain answer's time.
const ZONE_COST: Duration = Duration::from_millis(2);
/// Time of a plain answer while none is known.
const ASSUMED_PACE: Duration = Duration::from_millis(20);

/// An upstream that would do, with what speaks against it.
struct Candidate<'a> {
    upstream: &'a Upstream,
    requests: f64,
    is_slow: bool,
}

impl Upstreams {
    /// Takes a place at the upstream that suits best; none if all are full, cold or out.
    pub(crate) fn acquire_slot(
        &mut self,
        now: Instant,
        need: &Requirements<'_>,
        evacuations: &Evacuations,
    ) -> Option<Slot> {
        let configuration = self.configuration.clone()?;
        let service = configuration.services.get(need.pool)?;
        let upstream = self.choose(now, need, evacuations, service)?;
        let slot = upstream.acquire_slot(now, self.takes(need, need.prompt_tokens));
        let upstream = self.known.get(&slot.upstream)?;
        if upstream.is_cold(now) {
            let rate = self.cold_rate(upstream, service);
            self.cold.take(now, &slot.upstream, rate);
        }
        Some(slot)
    }

    fn cold_rate(&self, upstream: &Upstream, service: &Service) -> f64 {
        self.cold
            .rate(&self.fleet, &self.entry, &upstream.id, service)
    }

    fn choose(
        &self,
        now: Instant,
        need: &Requirements<'_>,
        evacuations: &Evacuations,
        service: &Service,
    ) -> Option<&Upstream> {
        let usable = |upstream: &&Upstream| {
            self.is_usable(now, upstream, need, evacuations)
                && self.has_room(now, upstream, service)
        };
        let usable: Vec<&Upstream> = self.known.values().filter(usable).collect();
        // With most of a pool ejected the fault is more likely elsewhere, and all are tried.
        let healthy = usable.iter().filter(|it| !it.health.is_ejected(now));
        let healthy: Vec<&Upstream> = healthy.copied().collect();
        let chosen = if healthy.len() * 2 >= usable.len() {
            healthy
        } else {
            usable
        };
        let candidates = Self::candidates(now, &chosen);
        match &need.affinity {
            Some(affinity) => self.by_prompt(now, need, affinity, &candidates),
            None => self.by_load(need.salt, &candidates),
        }
    }

    /// Whether an upstream may get a request like this one at all.
    fn is_usable(
        &self,
        now: Instant,
        upstream: &Upstream,
        need: &Requirements<'_>,
        evacuations: &Evacuations,
    ) -> bool {
        let registration = &upstream.registration;
        let has_model =
            |model| registration.models.is_empty() || registration.models.contains(model);
        registration.pool == *need.pool
            && upstream.is_ready(now)
            && need.version.allows(&registration.version)
            && need.model.is_none_or(has_model)
            && !need.tried.contains(&upstream.id)
            && !evacuations.is_out(&registration.zone)
    }

    /// Whether this entry's share of an upstream leaves room for a request.
    fn has_room(&self, now: Instant, upstream: &Upstream, service: &Service) -> bool {
        let entries = self.fleet.possibly_serving.max(1) as u32 + SPARE_ENTRIES;
        let connections = (service.max_connections / entries).max(1);
        if upstream.open_requests() >= connections {
            return false;
        }
        let is_cold = upstream.is_cold(now);
        !is_cold || {
            let rate = self.cold_rate(upstream, service);
            self.cold.has(now, &upstream.id, rate)
        }
    }

    fn candidates<'a>(now: Instant, upstreams: &[&'a Upstream]) -> Vec<Candidate<'a>> {
        let mut paces: Vec<Duration> = upstreams
            .iter()
            .filter_map(|it| it.service_time.mean())
            .collect();
        paces.sort_unstable();
        let median = paces.get(paces.len() / 2).copied();
        let is_slow = |upstream: &Upstream| {
            let pace = upstream.service_time.mean().zip(median);
            pace.is_some_and(|(own, median)| own > median.mul_f64(SLOW))
        };
        let candidate = |upstream: &&'a Upstream| Candidate {
            upstream,
            requests: f64::from(upstream.estimated_requests(now)),
            is_slow: is_slow(upstream),
        };
        upstreams.iter().map(candidate).collect()
    }

    /// Time to read tokens.
    fn takes(&self, need: &Requirements<'_>, tokens: u32) -> Duration {
        self.reading(need.pool, need.model).prefill_time(tokens)
    }

    /// How fast a model of a pool reads.
    pub fn reading(&self, pool: &PoolId, model: Option<&ModelId>) -> PrefillSpeed {
        let key = (pool.clone(), model.cloned());
        self.readings.get(&key).copied().unwrap_or_default()
    }

    /// The upstream that is likely to give the first event first: one has the prompt's shared parts in its cache, others
    /// have less to read before.
    fn by_prompt<'a>(
        &self,
        now: Instant,
        need: &Requirements<'_>,
        affinity: &str,
        candidates: &[Candidate<'a>],
    ) -> Option<&'a Upstream> {
        let whole = self.takes(need, need.prompt_tokens);
        let own = self.takes(
            need,
            need.prompt_tokens.saturating_sub(need.cacheable_tokens),
        );
        let hash = |it: &&Candidate<'_>| rendezvous::hash(affinity, &it.upstream.id);
        let usual = candidates.iter().max_by_key(hash)?;
        let cost = |it: &&Candidate<'_>| {
            let is_usual = it.upstream.id == usual.upstream.id;
            let read = if is_usual { own } else { whole + CACHE_BONUS };
            let overdue = OVERDUE_COST * it.upstream.overdue_prefills(now) as u32;
            let batch = BATCH_COST.mul_f64(it.requests);
            let work = it.upstream.prefill_backlog(now) + overdue + read + batch;
            if it.is_slow { work * 4 } else { work }
        };
        let best = candidates
            .iter()
            .min_by_key(|it| (cost(it), u64::MAX - hash(it)));
        best.map(|it| it.upstream)
    }

    /// The upstream that is likely to answer first.
    fn by_load<'a>(&self, salt: u64, candidates: &[Candidate<'a>]) -> Option<&'a Upstream> {
        let cost = |it: &&Candidate<'_>| {
            let upstream = it.upstream;
            let pace = upstream.service_time.mean().unwrap_or(ASSUMED_PACE);
            let slots = f64::from(upstream.registration.slots.max(1));
            let queue = (it.requests + 1.0 - slots).max(0.0) / slots;
            let work = pace.mul_f64(1.0 + queue + it.requests / (4.0 * slots));
            let is_far = upstream.registration.zone != self.zone;
            work + if is_far { ZONE_COST } else { Duration::ZERO }
        };
        let tie = |it: &&Candidate<'_>| rendezvous::hash(&salt.to_string(), &it.upstream.id);
        let best = candidates.iter().min_by_key(|it| (cost(it), tie(it)));
        best.map(|it| it.upstream)
    }
}
