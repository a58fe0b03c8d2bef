//! Rollouts of new versions: orders, statuses and answer counts.

mod order;
mod status;
mod tally;

pub use order::Order;
pub use status::{State, Status};
pub use tally::{RouteScore, Tally};
