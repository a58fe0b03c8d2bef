//! Forwards requests of callers to upstreams, and the responses back.

mod attempt;
mod call;
mod events;
mod front;
mod stream;

pub use front::Front;
