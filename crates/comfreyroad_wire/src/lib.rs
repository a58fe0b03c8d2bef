//! Encodings of comfreyroad.
//!
//! The `comfreyroad` crate makes decisions and contains no encoding. This crate converts its types to messages and
//! back:
//!
//! - [`platform`]: JSON of the log service, VM list, rating service and weight store.
//! - [`engine`]: JSON and server-sent events of model engines and plain services.
//! - [`record`] and [`frame`]: records of the log and frames between entries, in rmp-serde.
//! - [`sse`]: server-sent events.
//! - [`caller`]: requests, refusals and answers in the format of the callers' API.
//!
//! Another front end can add its own encodings without a change to the decisions.

pub mod caller;
pub mod engine;
pub mod frame;
pub mod platform;
pub mod record;
pub mod sse;
