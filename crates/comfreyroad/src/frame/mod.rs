//! Messages between entries.
//!
//! An exchange consists of a frame and a frame in reply. Each controller writes and reads its own part of a frame.
//! Frames contain only soft state, so losing one does no harm.

mod digest;
mod frame;
mod heartbeat;
mod log_outage;
#[cfg(feature = "serde")]
mod millis;
mod pins;
mod rules_status;
mod text;
mod view;

pub use digest::Digest;
pub use frame::Frame;
pub use heartbeat::Heartbeat;
pub use log_outage::LogOutage;
pub use pins::Pins;
pub use rules_status::RulesStatus;
pub use text::Text;
pub use view::View;
