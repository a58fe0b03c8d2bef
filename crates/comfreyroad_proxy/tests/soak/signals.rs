//! A series of signals in quick succession.

use std::time::Duration;

use fastrand::Rng;

/// Rounds of signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Signals {
    pub(super) rounds: usize,
    /// Signals of a round.
    pub(super) count: usize,
    /// Interval between the signals of a round.
    pub(super) interval: Duration,
}

impl Signals {
    pub(super) const ONE: Self = Self {
        rounds: 1,
        count: 1,
        interval: Duration::ZERO,
    };

    /// Returns rounds of one to three signals within milliseconds.
    pub(super) fn random(rng: &mut Rng, rounds: usize) -> Self {
        Self {
            rounds,
            count: rng.usize(1..=3),
            interval: Duration::from_micros(rng.u64(..2000)),
        }
    }
}
