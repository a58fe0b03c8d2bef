//! Upstreams: their registrations, load reports, and what this entry observes of them.

mod average;
mod backlog;
mod health;
mod leaving;
mod load;
mod prefill_speed;
mod rate_limit;
mod registration;
mod slot;
mod upstream;

pub use average::Average;
pub use backlog::{Backlog, JobId};
pub use health::Health;
pub use leaving::Leaving;
pub use load::Load;
pub use prefill_speed::PrefillSpeed;
pub use rate_limit::RateLimit;
pub use registration::{Registration, Stage};
pub use slot::Slot;
pub use upstream::Upstream;
