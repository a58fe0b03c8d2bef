//! Upstreams' answers and how they are judged.

mod completion;
mod fault;
mod head;
mod pace;
mod rate_limit;
mod verdict;

pub use completion::Completion;
pub use fault::Fault;
pub use head::Head;
pub use pace::Pace;
pub use rate_limit::RateLimit;
pub use verdict::{Verdict, judge};
