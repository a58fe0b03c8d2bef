//! Decisions of a router for requests that are forwarded unchanged: no I/O, no clock, no encoding.
//!
//! A [`Router`] stands between callers and upstreams. Whoever runs it takes each request through it
//! ([`Router::admit`], [`Router::place`], [`Router::send`] and what follows), feeds it each [`Event`] that changes what is
//! known, and carries out the [`Action`]s that come back. Nothing in here reads a socket, a file or a clock.
//!
//! - [`filter`]: the chain that a request passes, one filter a file, in the order of [`filter::chain`].
//! - [`answer`]: what an upstream's answer means.
//! - [`controller`]: the state, one controller a file, each the only writer of its part.
//! - [`request`]: a request's life as types, so that a false promise that it has not run cannot be built.
//! - [`configuration`], [`rollout`], [`upstream`]: what operators and upstreams say, decoded.
//! - [`record`] and [`frame`]: what comes from the platform's store and from other entries.

pub mod action;
pub mod answer;
pub mod configuration;
pub mod controller;
pub mod event;
pub mod filter;
pub mod frame;
pub mod id;
pub mod note;
pub mod outbox;
pub mod record;
pub mod refusal;
pub mod request;
pub mod rollout;
pub mod router;
pub mod settings;
pub mod upstream;

pub use action::Action;
pub use event::Event;
pub use refusal::Refusal;
pub use request::Request;
pub use router::Router;
pub use settings::Settings;
