//! Clients of the management endpoints of model engines and plain services.

mod cache_events;
mod cancellations;
mod load_reports;
mod orders;

pub use cache_events::CacheEvents;
pub use cancellations::Cancellations;
pub use load_reports::LoadReports;
pub use orders::{OrderError, Orders};
