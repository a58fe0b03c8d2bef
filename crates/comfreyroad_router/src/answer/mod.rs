//! What an upstream's answer says, and what follows from it.

mod completion;
mod fault;
mod head;
mod verdict;

pub use completion::Completion;
pub use fault::Fault;
pub use head::Head;
pub use verdict::{Verdict, judge};
