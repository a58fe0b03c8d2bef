use crate::rules::Fault;

/// A piece of a line, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::rules) struct Word {
    pub(in crate::rules) line: usize,
    /// In characters, from 1.
    pub(in crate::rules) column: usize,
    pub(in crate::rules) text: String,
}

impl Word {
    pub(super) fn new(line: usize, column: usize, text: impl Into<String>) -> Self {
        Self {
            line,
            column,
            text: text.into(),
        }
    }

    /// A fault at this word.
    pub(in crate::rules) fn fault(&self, expected: impl Into<String>) -> Fault {
        let found = if self.text.is_empty() {
            "nothing".into()
        } else {
            format!("`{}`", self.text)
        };
        Fault {
            line: self.line,
            column: self.column,
            found,
            expected: expected.into(),
        }
    }

    /// The words between commas.
    pub(in crate::rules) fn list(&self) -> Vec<Self> {
        let mut column = self.column;
        let mut words = Vec::new();
        for part in self.text.split(',') {
            words.push(Self::new(self.line, column, part));
            column += part.chars().count() + 1;
        }
        words
    }

    /// Both sides of the first `=`.
    pub(super) fn pair(&self) -> Option<(Self, Self)> {
        let (key, value) = self.text.split_once('=')?;
        let column = self.column + key.chars().count() + 1;
        Some((
            Self::new(self.line, self.column, key),
            Self::new(self.line, column, value),
        ))
    }
}
