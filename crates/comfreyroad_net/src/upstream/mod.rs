//! Clients of the management endpoints of model engines and plain services.

mod cache;
mod cancel;
mod load;
mod orders;

pub use cache::CacheEvents;
pub use cancel::Cancel;
pub use load::LoadReports;
pub use orders::{OrderError, Orders};
