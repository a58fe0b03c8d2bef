//! What an upstream's answer says, and what follows from it.

mod end;
mod fault;
mod head;
mod verdict;

pub use end::End;
pub use fault::Fault;
pub use head::Head;
pub use verdict::{Verdict, judge};
