//! What an upstream's answer says, and what follows from it.

mod fault;
mod head;
mod verdict;

pub use fault::Fault;
pub use head::Head;
pub use verdict::{Verdict, judge};
