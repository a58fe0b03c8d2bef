use std::time::{Duration, Instant};

/// Time from the publish that takes a zone out until its upstreams lose power.
const POWER_OFF: Duration = Duration::from_secs(4);

/// Times of the events of a run.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// Start of the load.
    pub begin: Instant,
    /// Start of the calm span.
    pub calm: Instant,
    /// End of the calm span.
    pub calm_end: Instant,
    /// Start of the bad answers of the version under rollout.
    pub bad_start: Instant,
    /// End of the bad answers.
    pub bad_end: Instant,
    /// Publish that takes the zone out of service.
    pub zone_out: Instant,
    /// Power loss of the upstreams in the zone.
    pub power_off: Instant,
    /// Return of the zone.
    pub zone_back: Instant,
    /// End of the load.
    pub end: Instant,
}

impl Timeline {
    /// The timeline of a run that starts at `begin` and lasts `duration`.
    #[must_use]
    pub fn new(begin: Instant, duration: Duration) -> Self {
        let at = |part| begin + duration.mul_f64(part);
        let zone_out = at(0.6);
        Self {
            begin,
            calm: at(0.08),
            calm_end: at(0.33),
            bad_start: at(0.34),
            bad_end: at(0.57),
            zone_out,
            power_off: zone_out + POWER_OFF,
            zone_back: at(0.82).max(zone_out + POWER_OFF),
            end: at(1.0),
        }
    }

    /// Milliseconds from the start of the load, as in the trace of the load tool.
    #[must_use]
    pub fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.duration_since(self.begin).as_millis()).unwrap_or(u64::MAX)
    }

    /// Seconds from the start of the load.
    #[must_use]
    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.begin).as_secs_f64()
    }
}
