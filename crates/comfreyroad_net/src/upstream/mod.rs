//! Clients of the management endpoints of model engines and plain services.

mod cache_events;
mod cancel;
mod load_reports;
mod orders;

pub use cache_events::CacheEvents;
pub use cancel::Cancel;
pub use load_reports::LoadReports;
pub use orders::{OrderError, Orders};
