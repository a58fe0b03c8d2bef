//! Forwards requests of callers to upstreams, and the responses back.

mod attempt;
mod call;
mod events;
mod front;
mod memory;
mod open;
mod registration;
mod registry;
mod stream;

pub use front::Front;
pub use memory::Memory;
pub use open::Open;
pub use registry::Registry;
