use std::fmt;

use serde::Serialize;

use super::Check;

/// Outcome of one run of a cell.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the cell.
    pub name: &'static str,
    /// Seed of the load and the fake services.
    pub seed: u64,
    /// Whether all checks passed.
    pub passed: bool,
    /// Results of the checks.
    pub checks: Vec<Check>,
}

impl Outcome {
    /// Creates the outcome of a cell from its checks.
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
