//! What ratings tell of versions: counts, what is certain by them, and the cheapest chain of versions that is good
//! enough.
//!
//! All of it are functions of counts, so it does not matter in which order or how often an entry hears of them.

mod bound;
mod candidate;
mod cell;
mod constraints;
mod count;
mod evidence;
mod plan;
mod score;
mod subject;
mod tally;

pub use bound::{lower, upper};
pub use candidate::Candidate;
pub use cell::Cell;
pub use constraints::Constraints;
pub use count::Count;
pub use evidence::worse;
pub use plan::{MAX_STEPS, chain};
pub use score::Score;
pub use subject::{Origin, Subject};
pub use tally::Tally;
