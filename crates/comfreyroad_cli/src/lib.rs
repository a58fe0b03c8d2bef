//! The operators' command of comfreyroad: checks and publishes rules, and shows the state of the system.
//!
//! Operators control the system only through the rules file. All commands except `publish` are read-only.

mod client;
mod command;
mod entries;
mod error;
mod exit;
mod ledger;
mod log;
mod publication;
mod settings;
mod status;
mod text;

pub use client::Client;
pub use command::Command;
pub use entries::Entries;
pub use error::Error;
pub use exit::Exit;
pub use ledger::{Ledger, Total};
pub use log::Log;
pub use publication::Publication;
pub use settings::Settings;
pub use status::Status;

use std::io::{self, Write};

/// Runs one command line.
pub fn run(
    args: &[String],
    env: impl Fn(&str) -> Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    match try_run(args, env, out, err) {
        Ok(exit) => exit,
        // The reader of the output closed the pipe, as `head` does: not an error.
        Err(Error::Stream(error)) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Ok,
        Err(error) => {
            // If standard error fails too, there is no other place to report to.
            let _ = writeln!(err, "comfreyroad: {error}");
            error.exit()
        }
    }
}

fn try_run(
    args: &[String],
    env: impl Fn(&str) -> Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<Exit, Error> {
    match args.first().map(String::as_str) {
        Some("--help" | "-h" | "help") => {
            write!(out, "{}", settings::help())?;
            return Ok(Exit::Ok);
        }
        Some("--version" | "-V") => {
            writeln!(out, "comfreyroad {}", env!("CARGO_PKG_VERSION"))?;
            return Ok(Exit::Ok);
        }
        _ => {}
    }
    match Settings::read(args, env) {
        Ok(settings) if settings.is_help => {
            write!(out, "{}", settings.command.help())?;
            Ok(Exit::Ok)
        }
        Ok(settings) => command::run(&settings, out, err),
        Err(faults) => {
            for fault in faults {
                writeln!(err, "comfreyroad: {fault}")?;
            }
            writeln!(err, "see `comfreyroad --help`")?;
            Ok(Exit::Usage)
        }
    }
}
