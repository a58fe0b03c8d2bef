use std::fmt;

use super::Kind;

/// A log event with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Its kind.
    pub kind: &'static Kind,
    /// Names and values of the details.
    pub fields: Vec<(&'static str, String)>,
}

impl Note {
    /// An event without details.
    pub fn new(kind: &'static Kind) -> Self {
        Self {
            kind,
            fields: Vec::new(),
        }
    }

    /// Adds a detail.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.kind.number, self.kind.title)?;
        for (name, value) in &self.fields {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}
