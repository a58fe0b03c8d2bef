use std::time::Duration;

/// What a chain of versions has to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constraints {
    /// Least part of answers that must be good.
    pub target: f64,
    /// Cost of a rating, in the unit of the candidates' costs.
    pub rating_cost: u64,
    /// Time that a rating takes.
    pub rating_duration: Duration,
    /// Time for all steps of a chain; `None` where only a single version may answer.
    pub room: Option<Duration>,
}
