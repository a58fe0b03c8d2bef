//! What entries tell each other: gossip over the control address.

mod frame;
mod kept;
mod peer;
mod progress;

pub use frame::Frame;
pub use kept::Kept;
pub use peer::Peer;
pub use progress::Progress;
