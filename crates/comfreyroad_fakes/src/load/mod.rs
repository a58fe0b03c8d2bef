//! The load tool: open-loop arrivals, a client that checks each answer, and counts of the outcomes.

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
