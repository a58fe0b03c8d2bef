//! The entry daemon of comfreyroad, as a library with a thin `main`.
//!
//! One thread runs one loop: it takes the next [`comfreyroad::Event`], lets [`comfreyroad::Entry`] decide, and carries
//! out the actions. Tasks on the same thread move bytes and queue events; none of them decides anything.
//!
//! - [`settings`]: flags and environment variables, all checked at the start.
//! - [`daemon`]: the loop.
//! - [`http`]: what callers, peers and operators can ask.
//! - [`outside`]: actions carried out at upstreams, the platform and peers.
//! - [`metrics`] and [`logger`]: what can be watched.

pub mod daemon;
pub mod http;
pub mod logger;
pub mod metrics;
pub mod outside;
pub mod settings;
