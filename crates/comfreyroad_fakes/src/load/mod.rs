//! The load tool: open-loop arrivals, callers that check each answer, and counts of what came of them.

mod balancer;
mod caller;
mod driver;
mod events;
mod job;
mod options;
mod outcome;
mod profile;
mod session;
mod tally;

pub use balancer::Balancer;
pub use caller::Caller;
pub use driver::Driver;
pub use events::Events;
pub use job::{Job, Kind};
pub use options::{Customer, Options};
pub use outcome::{Outcome, Verdict};
pub use profile::Profile;
pub use session::Session;
pub use tally::Tally;
