//! Work: what requests are likely to cost, and how fast it is done. Pure types; the controllers own the state.

mod basis;
mod demand;
mod estimate;
mod length;
mod slowness;

pub use basis::Basis;
pub use demand::Demand;
pub use estimate::Estimate;
pub use length::Length;
pub use slowness::Slowness;

/// How long work takes at an upstream now, by its load reports. Half of a deviation is gone after 1.5 s.
pub type WorkTime = Slowness<1_500>;
/// How long the answers of an upstream take beyond that, in relation to its pool. Half of a deviation is gone after 30 s.
pub type Pace = Slowness<30_000>;
