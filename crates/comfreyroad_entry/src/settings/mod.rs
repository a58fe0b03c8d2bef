//! Settings: each a flag and an environment variable, all checked at the start, all errors at once.

mod fault;
mod flag;
mod reader;
mod settings;

pub use fault::Fault;
pub use settings::{Command, Settings, read};
