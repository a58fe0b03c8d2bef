use super::Level;

/// A kind of log event.
#[derive(Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its number, which is never reused for another meaning.
    pub number: u16,
    /// Its severity.
    pub level: Level,
    /// A short description.
    pub title: &'static str,
}

impl Kind {
    /// Creates a kind of event for a catalogue.
    pub const fn new(number: u16, level: Level, title: &'static str) -> Self {
        Self {
            number,
            level,
            title,
        }
    }
}
