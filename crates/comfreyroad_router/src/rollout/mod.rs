//! Rollouts of new versions: what is asked for, and how far it is.

mod order;
mod status;
mod tally;

pub use order::Order;
pub use status::{State, Status};
pub use tally::{RouteScore, Tally};
