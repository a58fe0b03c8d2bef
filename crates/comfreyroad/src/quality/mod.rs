//! Quality of versions by ratings: counts, confidence bounds, and the cheapest chain of versions that meets a target.
//!
//! Everything is a function of counts that merge idempotently, so the order and repetition of messages do not matter.

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
pub use evidence::{log_evidence, log_evidence_below};
pub use plan::{MAX_STEPS, cheapest_chain};
pub use score::Score;
pub use subject::{Origin, Subject};
pub use tally::Tally;
