//! Encodings of comfreyroad.
//!
//! The decisions in the `comfreyroad` crate know nothing of bytes. This crate turns their types into messages and back:
//!
//! - [`platform`]: JSON of the log service, VM list, rating service and weight store.
//! - [`engine`]: JSON and server-sent events of model engines and plain services.
//! - [`record`] and [`frame`]: records of the log and frames between entries, in rmp-serde.
//! - [`sse`]: server-sent events.
//! - [`caller`]: requests, refusals and answers as callers see them.
//!
//! A second front end brings encodings of its own and leaves the decisions as they are.

pub mod caller;
pub mod engine;
pub mod frame;
pub mod platform;
pub mod record;
pub mod sse;
