use std::time::Instant;

use indexmap::IndexMap;

use crate::Settings;
use crate::configuration::Service;
use crate::controller::members::Fleet;
use crate::id::UpstreamId;

/// Fraction of the rate limit of a cold upstream that is used. The rest covers entries whose views of the fleet differ.
const SAFETY_FACTOR: f64 = 0.7;
/// Minimum rate of one bucket, in requests per second. Less than this is not worth dividing among more entries.
const MIN_BUCKET_RATE: f64 = 3.0;

/// Divides the request rate that cold upstreams can take among the entries, without coordination.
///
/// For each cold upstream a few entries, selected by rendezvous hash, hold a token bucket. A bucket of one token lets
/// through at most one request more than its refill rate in any second, so the sum over all buckets is bounded.
#[derive(Debug)]
pub(super) struct Limiter {
    multiplier: f64,
    slack: f64,
    buckets: IndexMap<UpstreamId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated_at: Instant,
}

impl Limiter {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            multiplier: settings.cold_multiplier,
            slack: settings.cold_slack,
            buckets: IndexMap::new(),
        }
    }

    /// Refill rate of this entry's bucket for a cold upstream, in requests per second; 0 if it holds none.
    pub(super) fn rate(&self, fleet: &Fleet, entry: &str, id: &str, service: &Service) -> f64 {
        let limit = service.warmup.requests_per_second * self.multiplier + self.slack;
        let total = limit * SAFETY_FACTOR * fleet.live_fraction();
        let holders = ((total / MIN_BUCKET_RATE) as usize).clamp(1, fleet.entries.len().max(1));
        if fleet.rank(id, entry) >= holders {
            return 0.0;
        }
        // The token of a full bucket allows one more request in a second than the refill rate.
        (total / holders as f64 - 1.0).max(0.0)
    }

    /// Whether a request may go to a cold upstream now.
    pub(super) fn allows(&self, now: Instant, id: &UpstreamId, rate: f64) -> bool {
        let tokens = self.buckets.get(id).map_or(1.0, |it| it.tokens(now, rate));
        rate > 0.0 && tokens >= 1.0
    }

    /// Takes a token for a request to a cold upstream.
    pub(super) fn take(&mut self, now: Instant, id: &UpstreamId, rate: f64) {
        let tokens = self.buckets.get(id).map_or(1.0, |it| it.tokens(now, rate));
        let bucket = Bucket {
            tokens: (tokens - 1.0).max(0.0),
            updated_at: now,
        };
        self.buckets.insert(id.clone(), bucket);
    }

    /// Removes the bucket of an upstream.
    pub(super) fn remove(&mut self, id: &UpstreamId) {
        self.buckets.swap_remove(id);
    }
}

impl Bucket {
    fn tokens(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + elapsed * rate).min(1.0)
    }
}
