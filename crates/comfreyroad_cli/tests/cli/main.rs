//! The operator command against a stand-in of the platform.

mod publish;
mod reading;
mod support;
