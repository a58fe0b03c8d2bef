//! The command line.

use std::path::PathBuf;

use getopts::Options;
use log::LevelFilter;

/// Environment variable of the log level.
const LEVEL_VARIABLE: &str = "COMFREYROAD_LOG_LEVEL";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// The least level of log events.
        level: LevelFilter,
    },
    /// Check the settings file and end.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
    /// Print a text and end.
    Print(String),
}

/// A command line that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag is not known or lacks its value.
    #[error(transparent)]
    Flag(#[from] getopts::Fail),
    /// The settings file is not named.
    #[error("settings: expected a path in --settings or {0}")]
    NoSettings(&'static str),
    /// The log level is not known.
    #[error("log level {0:?}: expected error, warn, info or debug")]
    Level(String),
    /// There is an argument without a flag.
    #[error("argument {0:?}: expected none")]
    Argument(String),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "settings file of the platform", "PATH");
    options.optopt("", "log-level", "least level of log events", "LEVEL");
    options.optflag("", "check", "check the settings file and end");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Reads the command line. Settings come from the environment where no flag names them.
pub fn read(args: &[String], variable: impl Fn(&str) -> Option<String>) -> Result<Command, Error> {
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
    let name = comfreyroad_platform::settings::VARIABLE;
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
