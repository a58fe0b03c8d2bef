//! Messages that entries gossip to each other over their control addresses.

mod crash_report;
mod frame;
mod leaving_report;
mod load_report;
mod part_answer;
mod peer;
mod pool_usage;
mod progress;
mod rate_limit_report;
mod session_pin;
mod suspicion;
mod text;
mod zone_usage;

pub use crash_report::CrashReport;
pub use frame::Frame;
pub use leaving_report::LeavingReport;
pub use load_report::LoadReport;
pub use part_answer::PartAnswer;
pub use peer::Peer;
pub use pool_usage::PoolUsage;
pub use progress::Progress;
pub use rate_limit_report::RateLimitReport;
pub use session_pin::SessionPin;
pub use suspicion::Suspicion;
pub use zone_usage::ZoneUsage;
