//! What entries tell each other.
//!
//! One frame goes out and one comes back. Each controller adds its part to a frame and takes its part out of one;
//! everything in it is soft state that any entry can lose.

mod beat;
mod digest;
mod doubt;
mod frame;
#[cfg(feature = "serde")]
mod millis;
mod news;
mod pins;
mod text;
mod view;

pub use beat::Beat;
pub use digest::Digest;
pub use doubt::Doubt;
pub use frame::Frame;
pub use news::News;
pub use pins::Pins;
pub use text::Text;
pub use view::View;
