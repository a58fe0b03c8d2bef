//! Tests of the operators' command against a fake platform and fake entries.

mod publish;
mod reading;
mod support;
