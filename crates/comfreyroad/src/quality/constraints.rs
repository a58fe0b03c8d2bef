use std::time::Duration;

/// The constraints on a chain of versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constraints {
    /// Minimum rate of good answers.
    pub target: f64,
    /// Cost of a rating, in the unit of the candidates' costs.
    pub rating_cost: u64,
    /// Expected duration of a rating.
    pub rating_duration: Duration,
    /// Time for all steps of a chain; `None` if only a single version may answer.
    pub time_limit: Option<Duration>,
}
