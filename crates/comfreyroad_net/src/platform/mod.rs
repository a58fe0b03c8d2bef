//! Clients of the platform's services.

mod log;
mod ratings;
mod vms;
mod weights;

pub use log::{AppendError, Log, Offset, Page, Record};
pub use ratings::Ratings;
pub use vms::Vms;
pub use weights::{FetchError, Weights};
