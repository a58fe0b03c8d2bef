use std::sync::Arc;

use super::parse::Line;
use super::{Fault, Rules, check, parse};

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
    lines: Vec<Line>,
}

/// All lines agree with each other.
#[derive(Clone, Debug)]
pub struct Checked {
    rules: Rules,
}

impl Draft<Text> {
    /// A file's text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self {
            text: text.into(),
            state: Text,
        }
    }

    /// Whether it is in a newer format than this program reads, so that only a newer program can judge it.
    pub fn is_newer(&self) -> bool {
        parse::is_newer(&self.text)
    }

    /// Reads each line; all faults are given.
    pub fn parse(self) -> Result<Draft<Parsed>, Vec<Fault>> {
        let (rules, lines) = parse::file(&self.text)?;
        Ok(Draft {
            text: self.text,
            state: Parsed { rules, lines },
        })
    }
}

impl Draft<Parsed> {
    /// Holds the lines against each other.
    pub fn check(self) -> Result<Draft<Checked>, Vec<Fault>> {
        let Parsed { rules, lines } = self.state;
        check::file(&rules, &lines)?;
        Ok(Draft {
            text: self.text,
            state: Checked { rules },
        })
    }
}

impl Draft<Checked> {
    /// The rules.
    pub fn rules(&self) -> &Rules {
        &self.state.rules
    }

    /// The file as written.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    pub(crate) fn into_parts(self) -> (Arc<str>, Rules) {
        (self.text, self.state.rules)
    }
}
