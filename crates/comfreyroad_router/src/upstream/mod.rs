//! Upstreams: what they say of themselves, and what this entry has seen of them.

mod health;
mod load;
mod pace;
mod registration;
mod slot;
mod upstream;

pub use health::Health;
pub use load::Load;
pub use pace::Pace;
pub use registration::{Registration, Stage};
pub use slot::Slot;
pub use upstream::Upstream;
