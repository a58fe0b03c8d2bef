//! Fault cells: each injects one fault into real processes under load and checks the guarantees that must hold meanwhile.

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
