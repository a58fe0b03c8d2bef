//! Upstreams: what they say of themselves, and what this entry has seen of them.

mod backlog;
mod health;
mod load;
mod median;
mod pace;
mod reading;
mod registration;
mod slot;
mod upstream;

pub use backlog::{Backlog, JobId};
pub use health::Health;
pub use load::Load;
pub use median::Median;
pub use pace::Pace;
pub use reading::Reading;
pub use registration::{Registration, Stage};
pub use slot::Slot;
pub use upstream::Upstream;
