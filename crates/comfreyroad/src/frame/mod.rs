//! What entries tell each other.
//!
//! One frame goes out and one comes back. Each controller adds its part to a frame and takes its part out of one;
//! everything in it is soft state that any entry can lose.

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
