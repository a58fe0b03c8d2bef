use crate::Settings;
use crate::configuration::Service;
use crate::controller::members::Fleet;

/// Fraction of the rate limit of a cold upstream that is used. The rest covers entries whose views of the fleet differ.
const SAFETY_FACTOR: f64 = 0.7;
/// Minimum rate of one bucket, in requests per second. Less than this is not worth dividing among more entries.
const MIN_BUCKET_RATE: f64 = 3.0;

/// Divides the request rate that cold upstreams can take among the entries, without coordination: for each cold upstream a few
/// entries, selected by rendezvous hash, hold a token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLimit {
    multiplier: f64,
    slack: f64,
}

impl ColdLimit {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            multiplier: settings.cold_multiplier,
            slack: settings.cold_slack,
        }
    }

    /// Refill rate of this entry's bucket for a cold upstream, in requests per second; 0 if it holds none.
    pub(super) fn rate(self, fleet: &Fleet, entry: &str, id: &str, service: &Service) -> f64 {
        let limit = service.warmup.requests_per_second * self.multiplier + self.slack;
        let total = limit * SAFETY_FACTOR * fleet.live_fraction();
        let holders = ((total / MIN_BUCKET_RATE) as usize).clamp(1, fleet.entries.len().max(1));
        if fleet.rank(id, entry) >= holders {
            return 0.0;
        }
        // The token of a full bucket allows one more request in a second than the refill rate.
        (total / holders as f64 - 1.0).max(0.0)
    }
}
