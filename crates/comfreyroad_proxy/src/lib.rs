//! The daemon that forwards requests on the platform.
//!
//! Everything runs on one loop on one thread: each connection and each call is a task of it. Tasks move bytes; what is to
//! be done they ask the [`Router`](comfreyroad_router::Router), and its actions are carried out by [`outside`].
//!
//! - [`daemon`]: listeners, timer and signals.
//! - [`front`]: requests of callers, on their way to upstreams and back.
//! - [`control`]: what peers and operators ask.
//! - [`outside`]: calls to the store and to peers.

pub mod clock;
pub mod control;
pub mod daemon;
pub mod front;
pub mod logger;
pub mod metrics;
pub mod options;
pub mod outside;
pub mod shared;
