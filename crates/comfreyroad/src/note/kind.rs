use super::Level;

/// A kind of log event.
#[derive(Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its number, which never changes its meaning.
    pub number: u16,
    /// How much it matters.
    pub level: Level,
    /// What happened, in a few words.
    pub title: &'static str,
}

impl Kind {
    /// A kind of event for a catalogue.
    pub const fn new(number: u16, level: Level, title: &'static str) -> Self {
        Self {
            number,
            level,
            title,
        }
    }
}
