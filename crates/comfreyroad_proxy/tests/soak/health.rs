//! How well an engine works.

/// Health of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Health {
    #[default]
    Sound,
    /// Breaks off half of its responses, and sends its rejections twice.
    Breaking,
    /// Begins late, or pauses in the middle.
    Silent,
    /// Has just started: it says so, and begins late.
    Cold,
}
