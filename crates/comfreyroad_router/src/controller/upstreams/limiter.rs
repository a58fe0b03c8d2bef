use std::time::Instant;

use indexmap::IndexMap;

use crate::id::UpstreamId;

/// Token buckets of this entry, one for each upstream whose request rate is limited.
///
/// A bucket of one token lets through at most one request more than its refill rate in any time, so that the sum over the
/// buckets of all entries is bounded.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    buckets: IndexMap<UpstreamId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated_at: Instant,
}

impl Limiter {
    /// Whether a request may go to an upstream now, given the refill rate of its bucket in requests per second.
    pub(super) fn allows(&self, now: Instant, id: &UpstreamId, rate: f64) -> bool {
        rate > 0.0 && self.tokens(now, id, rate) >= 1.0
    }

    /// Takes a token for a request to an upstream.
    pub(super) fn take(&mut self, now: Instant, id: &UpstreamId, rate: f64) {
        let bucket = Bucket {
            tokens: (self.tokens(now, id, rate) - 1.0).max(0.0),
            updated_at: now,
        };
        self.buckets.insert(id.clone(), bucket);
    }

    /// Removes the bucket of an upstream.
    pub(super) fn remove(&mut self, id: &UpstreamId) {
        self.buckets.swap_remove(id);
    }

    fn tokens(&self, now: Instant, id: &UpstreamId, rate: f64) -> f64 {
        self.buckets.get(id).map_or(1.0, |it| it.tokens(now, rate))
    }
}

impl Bucket {
    fn tokens(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + elapsed * rate).min(1.0)
    }
}
