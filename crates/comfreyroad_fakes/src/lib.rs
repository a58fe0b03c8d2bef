//! Small stand-ins for the systems beside comfreyroad, and the load tool.
//!
//! Each stand-in is an HTTP/1.1 server on the one loop of the thread that starts it. All of them take `POST /faults` and
//! answer `GET /journal`.

pub mod answer;
pub mod bucket;
pub mod call;
pub mod chat;
pub mod engine;
pub mod error;
pub mod fleet;
pub mod gate;
pub mod load;
pub mod log;
pub mod options;
pub mod ratings;
pub mod reply;
pub mod server;
pub mod service;
pub mod slots;
pub mod time;
pub mod vms;
pub mod weights;

pub use error::{Error, Result};

/// Names one request; its retries share it.
pub type RequestId = String;
/// Names one attempt of a request at an upstream.
pub type AttemptId = String;
/// A model version, as `model@version`.
pub type VersionId = String;
/// Hash of a conversation's first messages, in hexadecimal.
pub type PrefixId = String;
