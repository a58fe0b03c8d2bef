//! The entry daemon of comfreyroad, as a library that `main` calls.
//!
//! One thread runs one event loop: it takes the next [`comfreyroad::Event`], passes it to [`comfreyroad::Entry`] for
//! the decisions, and executes the resulting actions. Tasks on the same thread do the I/O and queue events; they take
//! no decisions.
//!
//! - [`settings`]: flags and environment variables, all checked at the start.
//! - [`daemon`]: the event loop.
//! - [`http`]: the HTTP server for callers, peers and operators.
//! - [`executor`]: execution of the actions that call upstreams, the platform and peers.
//! - [`metrics`] and [`logger`]: Prometheus metrics and log lines.

pub mod daemon;
pub mod executor;
pub mod http;
pub mod logger;
pub mod metrics;
pub mod settings;
