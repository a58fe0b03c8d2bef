//! Parsing of the command line.

use std::path::PathBuf;

use getopts::Options;
use log::LevelFilter;

/// Environment variable with the log level.
const LEVEL_VARIABLE: &str = "COMFREYROAD_LOG_LEVEL";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// The minimum level of log events.
        level: LevelFilter,
    },
    /// Check the settings file and exit.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
    /// Print a text and exit.
    Print(String),
}

/// Why a command line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag is unknown or its value is missing.
    #[error(transparent)]
    Flag(#[from] getopts::Fail),
    /// No settings file is given.
    #[error("settings: expected a path in --settings or {0}")]
    NoSettings(&'static str),
    /// The log level is unknown.
    #[error("log level {0:?}: expected error, warn, info or debug")]
    Level(String),
    /// A positional argument is given.
    #[error("argument {0:?}: expected none")]
    Argument(String),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "settings file of the platform", "PATH");
    options.optopt("", "log-level", "minimum level of log events", "LEVEL");
    options.optflag("", "check", "check the settings file and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the command line. Environment variables supply the options that no flag sets.
pub fn parse(args: &[String], variable: impl Fn(&str) -> Option<String>) -> Result<Command, Error> {
    let options = options();
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        let brief = "Usage: comfreyroad-proxy [options]\n\nEach option is an environment variable too: \
                     COMFREYROAD_BOOT (settings) and COMFREYROAD_LOG_LEVEL.";
        return Ok(Command::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Command::Print(format!("comfreyroad-proxy {version}")));
    }
    if let Some(argument) = matches.free.first() {
        return Err(Error::Argument(argument.clone()));
    }
    let name = comfreyroad_platform::settings::PATH_VARIABLE;
    let settings = matches.opt_str("settings").or_else(|| variable(name));
    let settings: PathBuf = settings.ok_or(Error::NoSettings(name))?.into();
    if matches.opt_present("check") {
        return Ok(Command::Check { settings });
    }
    let level = matches
        .opt_str("log-level")
        .or_else(|| variable(LEVEL_VARIABLE));
    let level = level.unwrap_or_else(|| "info".into());
    let parsed: Option<LevelFilter> = level.parse().ok();
    let parsed = parsed.filter(|level| *level <= LevelFilter::Debug && *level > LevelFilter::Off);
    let level = parsed.ok_or(Error::Level(level))?;
    Ok(Command::Run { settings, level })
}
