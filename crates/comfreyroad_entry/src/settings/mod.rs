//! Settings, each as a flag or an environment variable. All are checked at the start, and all errors reported at once.

mod fault;
mod flag;
mod reader;
mod settings;

pub use fault::Fault;
pub use settings::{Command, Settings, read};
