//! Work: what requests are likely to cost, and how fast it is done. Pure types; the controllers own the state.

use std::time::Duration;

mod answer;
mod basis;
mod demand;
mod estimate;
mod length;
mod slowness;

pub use answer::Answer;
pub use basis::Basis;
pub use demand::Demand;
pub use estimate::Estimate;
pub use length::Length;
pub use slowness::Slowness;

/// How long work takes at an upstream now, by its load reports.
pub type WorkTime = Slowness<1_500, 10>;
/// How long the answers of an upstream take beyond that, in relation to its pool. One answer says little, as it shared the engine
/// with others.
pub type Pace = Slowness<30_000, 3>;

/// Longest time that is estimated, in seconds. Statements and reports may be absurd.
const MAX_SECONDS: f64 = 3600.0;

/// A time in seconds as a duration, within the bounds of estimates.
pub(crate) fn bounded(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.min(MAX_SECONDS)).unwrap_or_default()
}
