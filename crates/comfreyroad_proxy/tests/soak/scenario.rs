//! What happens in a run.

use std::time::Duration;

use fastrand::Rng;

use super::body::Body;
use super::caller::{Kind, Request};
use super::fault::Fault;
use super::health::Health;
use super::pause::Pause;

/// Kind of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scenario {
    /// Faults of links and processes, beside short requests.
    Faults,
    /// Planned work only, beside long requests and engines that pause them.
    PlannedStops,
}

impl Scenario {
    /// Duration of the phase in which faults are injected.
    pub(super) fn fault_phase(self) -> Duration {
        Duration::from_secs(match self {
            Self::Faults => 12,
            Self::PlannedStops => 9,
        })
    }

    /// Grace period of a shutdown.
    pub(super) fn grace(self) -> Duration {
        Duration::from_secs(match self {
            Self::Faults => 4,
            Self::PlannedStops => 8,
        })
    }

    /// Time from the end of the grace period until a process is killed.
    pub(super) fn kill_delay(self) -> Duration {
        Duration::from_secs(match self {
            Self::Faults => 1,
            Self::PlannedStops => 0,
        })
    }

    /// Time limit of a request, of its caller and of its route.
    pub(super) fn request_timeout(self) -> Duration {
        Duration::from_secs(match self {
            Self::Faults => 4,
            Self::PlannedStops => 20,
        })
    }

    /// Number of concurrent callers.
    pub(super) fn callers(self) -> u64 {
        match self {
            Self::Faults => 8,
            Self::PlannedStops => 64,
        }
    }

    /// Time between a caller's requests.
    pub(super) fn caller_pause(self, rng: &mut Rng) -> Duration {
        let is_long = self == Self::PlannedStops && rng.u32(..100) < 30;
        Duration::from_millis(rng.u64(if is_long { 200..3500 } else { 10..40 }))
    }

    /// Returns a random request.
    pub(super) fn request(self, kind: Kind, rng: &mut Rng) -> Request {
        let work = self.work(kind, rng);
        let is_planned = self == Self::PlannedStops;
        // A third of all requests.
        let has_body = is_planned && kind != Kind::Retryable && rng.bool();
        let reads_late = is_planned && rng.u32(..100) < 10;
        Request {
            kind,
            work,
            body: if has_body {
                Body::random(rng)
            } else {
                Body::default()
            },
            reading_pause: Duration::from_millis(if reads_late { rng.u64(..1500) } else { 0 }),
        }
    }

    /// Time that an engine works on a request, without its pause.
    fn work(self, kind: Kind, rng: &mut Rng) -> Duration {
        let millis = match (self, kind) {
            (Self::Faults, Kind::Events) => 150,
            (Self::Faults, Kind::Once | Kind::Retryable) => 8,
            (Self::PlannedStops, _) => match rng.u32(..100) {
                0..40 => rng.u64(10..400),
                40..70 => rng.u64(400..3000),
                70..90 => rng.u64(3000..6000),
                _ => rng.u64(6000..10_000),
            },
        };
        Duration::from_millis(millis)
    }

    /// A pause of an engine within a request.
    pub(super) fn pause(self, health: Health, rng: &mut Rng) -> Option<Pause> {
        match health {
            Health::Silent => Some(Pause::long(rng)),
            Health::Cold => Some(Pause::at_start(rng)),
            Health::Sound | Health::Breaking => {
                let has_pause = self == Self::PlannedStops && rng.u32(..100) < 40;
                has_pause.then(|| Pause::random(rng))
            }
        }
    }

    /// Time until the next fault.
    pub(super) fn fault_interval(self, rng: &mut Rng) -> Duration {
        Duration::from_millis(match self {
            Self::Faults => rng.u64(100..1500),
            Self::PlannedStops => rng.u64(50..400),
        })
    }

    pub(super) fn fault(self, rng: &mut Rng, entries: usize, engines: usize) -> Fault {
        match self {
            Self::Faults => Fault::random(rng, entries, engines),
            Self::PlannedStops => Fault::random_planned(rng, entries, engines),
        }
    }
}
