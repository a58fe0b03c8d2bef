//! Clients of what model engines and plain services offer beside their work.

mod cache;
mod cancel;
mod load;
mod orders;

pub use cache::CacheEvents;
pub use cancel::Cancel;
pub use load::LoadReports;
pub use orders::{OrderError, Orders};
