//! Rollouts of new versions: orders, statuses and answer counts.

pub mod evidence;
mod histogram;
mod order;
mod status;
mod tally;

pub use histogram::Histogram;
pub use order::Order;
pub use status::{State, Status};
pub use tally::{RouteScore, Tally};
