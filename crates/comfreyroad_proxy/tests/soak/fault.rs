//! The faults of a run.

use std::time::Duration;

use fastrand::Rng;

use super::link::Mode;

/// A fault of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The way between an entry and the store is harmed for a while.
    Store(usize, Mode, Duration),
    /// An entry's connections to the store go silent for good.
    StoreSilence(usize),
    /// The way to an engine is harmed for a while.
    Engine(usize, Mode, Duration),
    /// Connections to an engine go silent for good.
    EngineSilence(usize),
    /// An engine ends without a word, and starts anew after a while.
    Crash(usize, Duration),
    /// An engine says that it leaves, and is gone after a while.
    Drain(usize),
    /// An entry is paused for a while.
    Pause(usize, Duration),
    /// An entry is killed, and starts anew.
    Kill(usize),
    /// An entry is told to end, and starts anew.
    Shutdown(usize),
    /// An entry is told that its settings have changed.
    Reload(usize),
    /// A configuration is published.
    Configure,
}

/// Time for which a leaving engine serves on.
pub(super) const LEAVING: Duration = Duration::from_millis(3500);

impl Fault {
    /// A fault by chance.
    pub(super) fn draw(rng: &mut Rng, entries: usize, engines: usize) -> Self {
        let (entry, engine) = (rng.usize(..entries), rng.usize(..engines));
        let lasts = Duration::from_millis(rng.u64(200..2500));
        let delay = Mode::Delay(Duration::from_millis(rng.u64(5..150)));
        let mode = [delay, Mode::Cut, Mode::OneWay, Mode::Reset][rng.usize(..4)];
        match rng.u32(..100) {
            0..14 => Self::Store(entry, mode, lasts),
            14..20 => Self::StoreSilence(entry),
            20..34 => Self::Engine(engine, mode, lasts),
            34..40 => Self::EngineSilence(engine),
            40..48 => Self::Crash(engine, lasts),
            48..56 => Self::Drain(engine),
            56..66 => Self::Pause(entry, lasts),
            66..74 => Self::Kill(entry),
            74..84 => Self::Shutdown(entry),
            84..88 => Self::Reload(entry),
            _ => Self::Configure,
        }
    }
}
