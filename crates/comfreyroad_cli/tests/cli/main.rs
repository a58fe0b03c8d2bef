//! Tests of the operators' command against a fake platform and fake entries.

mod check_configuration;
mod publish;
mod reading;
mod support;
