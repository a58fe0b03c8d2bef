//! Rollouts of new versions: what is asked for, and how far it is.

mod order;
mod score;
mod status;

pub use order::Order;
pub use score::Tally;
pub use status::{State, Status};
