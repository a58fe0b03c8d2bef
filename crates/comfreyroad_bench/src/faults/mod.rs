//! Fault cells: a fault brought about in real processes under load, and the promises that have to hold through it.

mod cell;
mod check;
mod evidence;
mod outcome;
mod suite;
mod testbed;

pub use cell::Cell;
pub use check::Check;
pub use evidence::Evidence;
pub use outcome::Outcome;
pub use suite::Suite;
pub use testbed::Testbed;
