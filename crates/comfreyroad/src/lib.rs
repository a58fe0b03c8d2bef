//! Decisions of comfreyroad, a model-aware router: no I/O, no clock, no encoding.

pub mod id;
pub mod record;
pub mod request;
pub mod rules;
