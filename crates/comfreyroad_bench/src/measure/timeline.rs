use std::time::{Duration, Instant};

/// Time from a zone's publish until its upstreams are without power.
const POWER_OFF: Duration = Duration::from_secs(4);

/// When what happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// When the load begins.
    pub begin: Instant,
    /// When the calm span begins.
    pub calm: Instant,
    /// When it ends.
    pub calm_end: Instant,
    /// When the version turns bad.
    pub bad_start: Instant,
    /// When it is good again.
    pub bad_end: Instant,
    /// When the zone is taken out.
    pub zone_out: Instant,
    /// When its upstreams are without power.
    pub power_off: Instant,
    /// When it comes back.
    pub zone_back: Instant,
    /// When the load ends.
    pub end: Instant,
}

impl Timeline {
    /// A run that begins now.
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

    /// Milliseconds from the begin, as the load tool's trace counts them.
    #[must_use]
    pub fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.duration_since(self.begin).as_millis()).unwrap_or(u64::MAX)
    }

    /// Seconds from the begin.
    #[must_use]
    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.begin).as_secs_f64()
    }
}
