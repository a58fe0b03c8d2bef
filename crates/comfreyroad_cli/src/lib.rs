//! The operator command of comfreyroad: checks and publishes rules, and shows what the system does with them.
//!
//! Operators drive the system only by the rules file. Everything here but `publish` only reads.

mod client;
mod command;
mod entries;
mod entry;
mod error;
mod exit;
mod ledger;
mod log;
mod publish;
mod settings;
mod text;

pub use client::Client;
pub use command::Command;
pub use entries::Entries;
pub use entry::Status;
pub use error::Error;
pub use exit::Exit;
pub use ledger::{Ledger, Total};
pub use log::Log;
pub use publish::Publish;
pub use settings::Settings;

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
        // Whoever reads the output has seen enough.
        Err(Error::Stream(error)) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Ok,
        Err(error) => {
            // There is nowhere left to report a failure to report.
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
