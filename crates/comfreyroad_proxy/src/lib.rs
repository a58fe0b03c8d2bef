//! The daemon that forwards requests on the platform.
//!
//! Everything runs on one event loop on one thread, with a task for each connection and each call. Tasks do the I/O;
//! all decisions are made by the [`Router`](comfreyroad_router::Router), whose actions are executed by [`actions`].
//!
//! - [`daemon`]: listeners, ticks and signals.
//! - [`front`]: forwards requests of callers to upstreams, and the responses back.
//! - [`control`]: requests of peers and operators.
//! - [`actions`]: calls to the store and to peers.

pub mod actions;
pub mod clock;
pub mod control;
pub mod daemon;
mod frames;
pub mod front;
pub mod logger;
pub mod metrics;
pub mod options;
pub mod shared;
