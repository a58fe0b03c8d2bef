//! Routing decisions for requests that are forwarded unchanged: no I/O, no clock, no encoding.
//!
//! A [`Router`] decides which upstream answers each request. Its host passes each request through [`Router::admit`],
//! [`Router::place`], [`Router::send`] and the methods for its answer, feeds the router each [`Event`], and performs the
//! [`Action`]s that it returns. The router reads no socket, file or clock.
//!
//! - [`filter`]: the filter chain for requests, in the order of [`filter::chain`].
//! - [`answer`]: how upstreams' answers are judged.
//! - [`controller`]: the state, divided among controllers, each the only writer of its part.
//! - [`request`]: the life cycle of a request as typestates, so that a request that may have run cannot be reported as not run.
//! - [`configuration`], [`rollout`], [`upstream`]: decoded data from operators and upstreams.
//! - [`work`]: what requests are likely to cost, and how fast upstreams do it.
//! - [`record`] and [`frame`]: decoded data from the platform's store and from other entries.

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
pub mod work;

pub use action::Action;
pub use event::Event;
pub use refusal::Refusal;
pub use request::Request;
pub use router::Router;
pub use settings::Settings;
