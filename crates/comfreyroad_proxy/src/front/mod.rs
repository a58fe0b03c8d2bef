//! Requests of callers, on their way to upstreams and back.

mod attempt;
mod events;
mod flight;
mod front;
mod stream;

pub use front::Front;
