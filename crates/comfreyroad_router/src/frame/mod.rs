//! Messages that entries gossip to each other over their control addresses.

mod frame;
mod load_report;
mod peer;
mod progress;
mod session_pin;
mod suspicion;

pub use frame::Frame;
pub use load_report::LoadReport;
pub use peer::Peer;
pub use progress::Progress;
pub use session_pin::SessionPin;
pub use suspicion::Suspicion;
