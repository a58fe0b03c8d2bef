use std::fmt;

use serde::Serialize;

use super::Check;

/// What a cell came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The cell's name.
    pub name: &'static str,
    /// Seed of the load and the stand-ins.
    pub seed: u64,
    /// Whether all promises held.
    pub passed: bool,
    /// The promises checked.
    pub checks: Vec<Check>,
}

impl Outcome {
    /// A cell's checks.
    #[must_use]
    pub fn new(name: &'static str, seed: u64, checks: Vec<Check>) -> Self {
        Self {
            name,
            seed,
            passed: checks.iter().all(|check| check.held),
            checks,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.passed { "pass" } else { "FAIL" };
        write!(f, "{} {} seed {}:", verdict, self.name, self.seed)?;
        for check in &self.checks {
            let held = if check.held { "" } else { "NOT HELD: " };
            write!(f, " {held}{} ({});", check.guarantee, check.details)?;
        }
        Ok(())
    }
}
