use crate::rules::Fault;

/// A word of a line, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::rules) struct Word {
    pub(in crate::rules) line: usize,
    /// Column in characters, from 1.
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

    /// Creates a fault at this word.
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

    /// Splits the word at commas.
    pub(in crate::rules) fn list(&self) -> Vec<Self> {
        let mut column = self.column;
        let mut words = Vec::new();
        for part in self.text.split(',') {
            words.push(Self::new(self.line, column, part));
            column += part.chars().count() + 1;
        }
        words
    }

    /// Splits the word at the first `=` into key and value.
    pub(super) fn pair(&self) -> Option<(Self, Self)> {
        let (key, value) = self.text.split_once('=')?;
        let column = self.column + key.chars().count() + 1;
        Some((
            Self::new(self.line, self.column, key),
            Self::new(self.line, column, value),
        ))
    }
}
