use std::time::Instant;

use indexmap::IndexMap;

use crate::Settings;
use crate::configuration::Service;
use crate::controller::members::Fleet;
use crate::id::UpstreamId;

/// Part of what a cold upstream may get that is given out; the rest covers entries whose views of the fleet differ.
const USED: f64 = 0.7;
/// Requests a second that make it worth while for an entry to send to a cold upstream at all.
const LEAST: f64 = 3.0;

/// Divides among the entries what cold upstreams bear, without a word between them.
///
/// A few entries, found by rendezvous hash, hold a token bucket each. A bucket of one token that fills at a rate lets
/// through one request more than the rate in any second, so the sum over all holders is bounded.
#[derive(Debug)]
pub(super) struct Cold {
    multiplier: f64,
    slack: f64,
    buckets: IndexMap<UpstreamId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Instant,
}

impl Cold {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            multiplier: settings.cold_multiplier,
            slack: settings.cold_slack,
            buckets: IndexMap::new(),
        }
    }

    /// Requests a second that this entry may send to a cold upstream.
    pub(super) fn rate(&self, fleet: &Fleet, entry: &str, id: &str, service: &Service) -> f64 {
        let bound = service.cold_limit.requests_per_second * self.multiplier + self.slack;
        let given = bound * USED * fleet.live_fraction();
        let holders = ((given / LEAST) as usize).clamp(1, fleet.entries.len().max(1));
        if fleet.rank(id, entry) >= holders {
            return 0.0;
        }
        // One request of each second comes from the bucket's content.
        (given / holders as f64 - 1.0).max(0.0)
    }

    /// Whether a request may go to a cold upstream now.
    pub(super) fn has(&self, now: Instant, id: &UpstreamId, rate: f64) -> bool {
        let level = self.buckets.get(id).map_or(1.0, |it| it.level(now, rate));
        rate > 0.0 && level >= 1.0
    }

    /// A request goes to a cold upstream.
    pub(super) fn take(&mut self, now: Instant, id: &UpstreamId, rate: f64) {
        let level = self.buckets.get(id).map_or(1.0, |it| it.level(now, rate));
        let bucket = Bucket {
            level: (level - 1.0).max(0.0),
            at: now,
        };
        self.buckets.insert(id.clone(), bucket);
    }

    /// An upstream is gone.
    pub(super) fn forget(&mut self, id: &UpstreamId) {
        self.buckets.swap_remove(id);
    }
}

impl Bucket {
    fn level(&self, now: Instant, rate: f64) -> f64 {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        (self.level + since * rate).min(1.0)
    }
}
