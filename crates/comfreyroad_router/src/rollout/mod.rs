//! Rollouts of new versions: what is asked for, and how far it is.

mod order;
mod status;
mod tally;

pub use order::RolloutOrder;
pub use status::{RolloutState, RolloutStatus};
pub use tally::{RouteScore, Tally};
