//! The HTTP server for callers, peers and operators, on one listener.

mod answer;
mod calls;
mod explain;
mod handler;
mod headers;
mod status;

pub use calls::{Calls, Part};
pub use handler::Handler;
