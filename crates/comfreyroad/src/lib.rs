//! Decisions of comfreyroad, a model-aware router: no I/O, no clock, no encoding.
//!
//! An [`Entry`] stands between callers and upstreams. Whoever runs it feeds it each [`Event`] with the time at which it
//! happened and carries out the [`Action`]s that it answers with. Nothing in here reads a socket, a file or a clock, so
//! a test can drive a whole fleet by hand, and another front end can use the same decisions.
//!
//! - [`filter`]: the chain that a request passes, one filter a file, in the order of [`filter::chain::run`].
//! - [`answer`]: the steps that an answer passes on its way back.
//! - [`controller`]: the state, one controller a file, each the only writer of its part.
//! - [`request`]: a request's life as types, so that a false "not run" cannot be built.
//! - [`rules`]: the operators' file, from text to what is in force.
//! - [`upstream`]: model engines and plain services, from cold to warm.
//! - [`record`] and [`frame`]: what goes to the platform's log and to other entries.
//!
//! ```
//! use comfreyroad::{Entry, Event, Settings, clock::Now};
//! use std::time::{Instant, SystemTime};
//!
//! let mut entry = Entry::new(&Settings::default());
//! let now = Now { instant: Instant::now(), system: SystemTime::now() };
//! let actions = entry.handle(now, Event::Started);
//! assert!(!actions.is_empty());
//! ```

pub mod action;
pub mod answer;
pub mod clock;
pub mod controller;
pub mod dispatcher;
pub mod entry;
pub mod event;
pub mod filter;
pub mod frame;
pub mod id;
pub mod mechanism;
pub mod note;
pub mod outbox;
pub mod quality;
pub mod record;
pub mod refusal;
pub mod rendezvous;
pub mod request;
pub mod rules;
pub mod session;
pub mod settings;
pub mod upstream;

pub use action::Action;
pub use entry::Entry;
pub use event::Event;
pub use refusal::Refusal;
pub use request::Request;
pub use settings::Settings;
