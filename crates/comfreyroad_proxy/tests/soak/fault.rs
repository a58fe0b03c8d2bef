//! Faults that a run injects.

use std::time::Duration;

use fastrand::Rng;

use super::health::Health;
use super::link::Mode;
use super::signals::Signals;
use super::starvation::Duty;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Puts the link between an entry and the store into a faulty mode for some time.
    Store(usize, Mode, Duration),
    /// Silences the open connections of an entry to the store permanently.
    StoreSilence(usize),
    /// Puts the link to an engine into a faulty mode for some time.
    Engine(usize, Mode, Duration),
    /// Silences the open connections to an engine permanently.
    EngineSilence(usize),
    /// Crashes an engine, which restarts after some time.
    Crash(usize, Duration),
    /// Drains an engine, which restarts after [`DRAIN_DURATION`].
    Drain(usize),
    /// Pauses an entry for some time.
    Pause(usize, Duration),
    /// Kills an entry, which then restarts.
    Kill(usize),
    /// Shuts down an entry, which then restarts.
    Shutdown(usize),
    /// Shuts down some entries at an interval, starting with the given one, each by a series of signals.
    Shutdowns(usize, usize, Duration, Signals),
    /// Has an entry reload its settings.
    Reload(usize, Signals),
    /// Drains all engines but some, which restart after some time.
    Shrink(usize, Duration),
    /// Publishes some configurations and takes the store away for some time, after which it is back from a copy of some
    /// age, which lacks them.
    Restore(usize, Duration, Duration),
    /// Publishes a configuration.
    Configure,
    /// Publishes three configurations at an interval.
    ConfigureInSeries(Duration),
    /// Changes the health of an engine for some time.
    Weaken(usize, Health, Duration),
    /// Leaves an entry little processor time for some time.
    Starve(usize, Duty, Duration),
}

/// Time for which a draining engine keeps serving.
pub(super) const DRAIN_DURATION: Duration = Duration::from_millis(3500);

impl Fault {
    /// Returns a random fault.
    pub(super) fn random(rng: &mut Rng, entries: usize, engines: usize) -> Self {
        let (entry, engine) = (rng.usize(..entries), rng.usize(..engines));
        let duration = Duration::from_millis(rng.u64(200..2500));
        let delay = Mode::Delay(Duration::from_millis(rng.u64(5..150)));
        let mode = [delay, Mode::Cut, Mode::OneWay, Mode::Reset][rng.usize(..4)];
        match rng.u32(..100) {
            0..14 => Self::Store(entry, mode, duration),
            14..20 => Self::StoreSilence(entry),
            20..34 => Self::Engine(engine, mode, duration),
            34..40 => Self::EngineSilence(engine),
            40..48 => Self::Crash(engine, duration),
            48..56 => Self::Drain(engine),
            56..66 => Self::Pause(entry, duration),
            66..74 => Self::Kill(entry),
            74..84 => Self::Shutdown(entry),
            84..88 => Self::Reload(entry, Signals::random(rng, 1)),
            88..92 => {
                let absence = Duration::from_millis(rng.u64(200..2000));
                let age = Duration::from_millis(rng.u64(1000..8000));
                Self::Restore(rng.usize(0..5), absence, age)
            }
            _ => Self::Configure,
        }
    }

    /// Returns a random fault that is planned work.
    pub(super) fn random_planned(rng: &mut Rng, entries: usize, engines: usize) -> Self {
        let (entry, engine) = (rng.usize(..entries), rng.usize(..engines));
        let duration = Duration::from_millis(rng.u64(1000..9000));
        match rng.u32(..130) {
            100..106 => Self::ConfigureInSeries(Duration::from_millis(rng.u64(..1500))),
            106..118 => {
                let health = [Health::Breaking, Health::Silent, Health::Cold][rng.usize(..3)];
                Self::Weaken(engine, health, duration)
            }
            118.. => Self::Starve(entry, Duty::random(rng), duration),
            0..30 => {
                let interval = Duration::from_millis([0, rng.u64(1..3000)][rng.usize(..2)]);
                let signals = Signals::random(rng, 1);
                Self::Shutdowns(entry, rng.usize(1..=3), interval, signals)
            }
            30..60 => Self::Reload(entry, Signals::random(rng, 5)),
            60..75 => Self::Shrink(rng.usize(1..=2), Duration::from_millis(rng.u64(4000..8000))),
            75..85 => Self::Drain(engine),
            _ => Self::Configure,
        }
    }
}
