//! Stand-ins for the external systems that comfreyroad works with, and the load tool.
//!
//! Each stand-in is an HTTP/1.1 server on the event loop of the thread that starts it. All of them accept `POST /faults`,
//! which injects faults, and `GET /journal`, which returns what they have executed.

pub mod answer;
pub mod bucket;
pub mod call;
pub mod chat;
pub mod engine;
pub mod error;
pub mod fleet;
pub mod injector;
pub mod load;
pub mod log;
pub mod options;
pub mod port;
pub mod ratings;
pub mod reply;
pub mod server;
pub mod service;
pub mod slots;
pub mod time;
pub mod vms;
pub mod weights;

pub use error::{Error, Result};

/// Id of a request, shared by its retries.
pub type RequestId = String;
/// Id of one attempt of a request at an upstream.
pub type AttemptId = String;
/// A model version, as `model@version`.
pub type VersionId = String;
/// Hash of a conversation's first messages, in hexadecimal.
pub type PrefixId = String;
