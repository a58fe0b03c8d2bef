use std::fmt;

use super::Kind;

/// A log event with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Its kind.
    pub kind: &'static Kind,
    /// Names and values of the fields.
    pub fields: Vec<(&'static str, String)>,
}

impl Note {
    /// Creates an event without fields.
    pub fn new(kind: &'static Kind) -> Self {
        Self {
            kind,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
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
