//! Forwards requests of callers to upstreams, and the responses back.

mod attempt;
mod event_stream;
mod front;
mod in_flight;
mod stream;

pub use front::Front;
