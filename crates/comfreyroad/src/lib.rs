//! The decisions of comfreyroad, a model-aware router, without I/O, clocks or encoding.
//!
//! An [`Entry`] routes requests from callers to upstreams. A front end passes it each [`Event`] with the current time
//! and carries out the [`Action`]s that it returns. Nothing in this crate reads a socket, a file or a clock, so a test
//! can simulate a whole fleet, and another front end can use the same decisions.
//!
//! - [`filter`]: the filter chain for requests, one filter per file, in the order of [`filter::chain::run`].
//! - [`answer`]: the checks of an answer on its way back to the caller.
//! - [`controller`]: the state. Each controller is the only writer of its part.
//! - [`request`]: the life cycle of a request as types, so that a wrong "not run" cannot be constructed.
//! - [`rules`]: the operators' rules file, from its text to the rules in force.
//! - [`upstream`]: model engines and plain services, and their life cycle.
//! - [`record`] and [`frame`]: records on the platform's log and messages to other entries.
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
