//! What happens in a run.

use std::time::Duration;

use fastrand::Rng;

use super::caller::Kind;
use super::fault::Fault;
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
            Self::PlannedStops => 32,
        }
    }

    /// Time between a caller's requests.
    pub(super) fn caller_pause(self, rng: &mut Rng) -> Duration {
        let is_long = self == Self::PlannedStops && rng.u32(..100) < 30;
        Duration::from_millis(rng.u64(if is_long { 200..3500 } else { 10..40 }))
    }

    /// Time that an engine works on a request, without its pause.
    pub(super) fn work(self, kind: Kind, rng: &mut Rng) -> Duration {
        let millis = match (self, kind) {
            (Self::Faults, Kind::Events) => 150,
            (Self::Faults, Kind::Once | Kind::Retryable) => 8,
            (Self::PlannedStops, _) => match rng.u32(..100) {
                0..40 => rng.u64(10..400),
                40..70 => rng.u64(400..3000),
                _ => rng.u64(3000..6000),
            },
        };
        Duration::from_millis(millis)
    }

    /// A pause of an engine within a request.
    pub(super) fn pause(self, rng: &mut Rng) -> Option<Pause> {
        let has_pause = self == Self::PlannedStops && rng.u32(..100) < 40;
        has_pause.then(|| Pause::random(rng))
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
