//! A pause of an engine in the middle of its work, as when it preempts a request for want of memory.

use std::time::Duration;

use fastrand::Rng;

use super::engine::EVENTS;

/// Where an engine pauses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Before it begins to work on the request.
    Start,
    /// Before it produces the event with this number, counted from the first one of the run.
    Event(u64),
}

/// A pause, after which the engine goes on soundly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pause {
    pub(super) step: Step,
    pub(super) duration: Duration,
}

impl Pause {
    /// Returns a random pause, shorter than what callers bear.
    pub(super) fn random(rng: &mut Rng) -> Self {
        let step = match rng.u32(..100) {
            0..25 => Step::Start,
            25..50 => Step::Event(1),
            _ => Step::Event(rng.u64(2..=EVENTS)),
        };
        let duration = Duration::from_millis(rng.u64(300..3000));
        Self { step, duration }
    }

    /// Returns a random pause that is longer than what callers bear.
    pub(super) fn long(rng: &mut Rng) -> Self {
        let duration = Duration::from_millis(rng.u64(3000..7000));
        Self {
            duration,
            ..Self::random(rng)
        }
    }

    /// Returns a random pause before the work.
    pub(super) fn at_start(rng: &mut Rng) -> Self {
        Self {
            step: Step::Start,
            ..Self::random(rng)
        }
    }
}
