//! Upstreams' answers and how they are judged.

mod completion;
mod fault;
mod head;
mod milestone;
mod pace;
mod statement;
mod verdict;

pub use completion::Completion;
pub use fault::Fault;
pub use head::Head;
pub use milestone::Milestone;
pub use pace::Pace;
pub use statement::Statement;
pub use verdict::{Verdict, judge};
