//! What entries tell each other: gossip over the control address.

mod frame;
mod peer;
mod rollout_progress;
mod session_pin;

pub use frame::Frame;
pub use peer::Peer;
pub use rollout_progress::RolloutProgress;
pub use session_pin::SessionPin;
