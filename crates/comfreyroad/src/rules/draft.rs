use std::sync::Arc;

use super::parse::Line;
use super::{Fault, Rules, check, parse};

/// Rules that are not in force yet, in one of the states [`Text`], [`Parsed`] and [`Checked`].
#[derive(Clone, Debug)]
pub struct Draft<S> {
    text: Arc<str>,
    state: S,
}

/// The text as written by an operator.
#[derive(Clone, Copy, Debug)]
pub struct Text;

/// Each line is parsed by itself.
#[derive(Clone, Debug)]
pub struct Parsed {
    rules: Rules,
    lines: Vec<Line>,
}

/// The lines are checked against each other.
#[derive(Clone, Debug)]
pub struct Checked {
    rules: Rules,
}

impl Draft<Text> {
    /// Creates a draft from the text of a file.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self {
            text: text.into(),
            state: Text,
        }
    }

    /// Whether the file has a newer format than this program reads, so that only a newer program can validate it.
    pub fn is_newer_format(&self) -> bool {
        parse::is_newer_format(&self.text)
    }

    /// Parses each line. On failure, returns all faults.
    pub fn parse(self) -> Result<Draft<Parsed>, Vec<Fault>> {
        let (rules, lines) = parse::file(&self.text)?;
        Ok(Draft {
            text: self.text,
            state: Parsed { rules, lines },
        })
    }
}

impl Draft<Parsed> {
    /// Checks the lines against each other. On failure, returns all faults.
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

    /// The text as written.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    pub(crate) fn into_parts(self) -> (Arc<str>, Rules) {
        (self.text, self.state.rules)
    }
}
