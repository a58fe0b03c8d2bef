//! The commands, one per file.

mod audit;
mod check;
mod check_configuration;
mod explain;
mod hash_key;
mod ledger;
mod publish;
mod status;
mod watch;
mod wind_down;

use std::io::Write;

use compio::runtime::Runtime;

use crate::{Error, Exit, Settings, settings};

/// A command of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check rules files.
    Check,
    /// Check a configuration of the platform.
    CheckConfiguration,
    /// Hash a customer's key.
    HashKey,
    /// Publish a rules file.
    Publish,
    /// Show the status of the entries.
    Status,
    /// Show the trace of a request.
    Explain,
    /// Show the audit trail of rule changes.
    Audit,
    /// Show the billing totals of the customers.
    Ledger,
    /// Show the progress of the venture's wind-down.
    WindDown,
}

impl Command {
    /// All commands.
    pub const ALL: [Self; 9] = [
        Self::Check,
        Self::CheckConfiguration,
        Self::HashKey,
        Self::Publish,
        Self::Status,
        Self::Explain,
        Self::Audit,
        Self::Ledger,
        Self::WindDown,
    ];

    /// Finds a command by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|command| command.name() == name)
    }

    /// Name of the command.
    pub fn name(self) -> &'static str {
        let usage = self.usage();
        usage.split_once(' ').map_or(usage, |(name, _)| name)
    }

    /// Synopsis: the name, the arguments and the needed flags.
    pub fn usage(self) -> &'static str {
        match self {
            Self::Check => "check FILE..",
            Self::CheckConfiguration => "check-configuration FILE",
            Self::HashKey => "hash-key",
            Self::Publish => "publish FILE --log IP:PORT",
            Self::Status => "status [IP:PORT..]",
            Self::Explain => "explain REQUEST-ID --entries IP:PORT,..",
            Self::Audit => "audit --log IP:PORT",
            Self::Ledger => "ledger --log IP:PORT",
            Self::WindDown => "wind-down --log IP:PORT",
        }
    }

    /// Description in one line.
    pub fn summary(self) -> &'static str {
        match self {
            Self::Check => "show all faults of rules files",
            Self::CheckConfiguration => "show all faults of a configuration, and what it changes",
            Self::HashKey => "read a customer's key from standard input and print its hash",
            Self::Publish => "publish rules, and wait until they are in force on all entries",
            Self::Status => "show the status of the entries",
            Self::Explain => "show the trace of a request",
            Self::Audit => "show who published which changes, and the verdicts",
            Self::Ledger => "show what each customer has been billed",
            Self::WindDown => "show the progress of the venture's wind-down",
        }
    }

    /// Help text with the flags of the command.
    pub fn help(self) -> String {
        let brief = format!("comfreyroad {}: {}", self.usage(), self.summary());
        settings::options(self).usage(&brief)
    }

    pub(crate) fn flags(self) -> &'static [&'static str] {
        match self {
            Self::Check | Self::HashKey => &[],
            Self::CheckConfiguration => &["in-force"],
            Self::Publish => &["log", "by", "entries", "vms", "timeout-ms"],
            Self::Status | Self::Explain => &["entries", "vms", "timeout-ms"],
            Self::Audit => &["log", "from", "timeout-ms"],
            Self::Ledger => &["log", "customer", "timeout-ms"],
            Self::WindDown => &["log", "entries", "vms", "timeout-ms"],
        }
    }

    /// Error messages for missing flags and for a wrong number of positional arguments.
    pub(crate) fn missing(self, arguments: usize, is_given: impl Fn(&str) -> bool) -> Vec<String> {
        let mut missing = Vec::new();
        let flags = self.flags();
        if flags.contains(&"log") && !is_given("log") {
            missing.push("--log or COMFREYROAD_LOG: expected the log service as IP:PORT".into());
        }
        if flags.contains(&"by") && !is_given("by") {
            missing.push("--by or COMFREYROAD_BY: expected who publishes".into());
        }
        let needs_entries = matches!(self, Self::Status | Self::Explain);
        let has_arguments = self == Self::Status && arguments > 0;
        if needs_entries && !has_arguments && !is_given("entries") && !is_given("vms") {
            missing.push("--entries or --vms: expected where the entries are".into());
        }
        let (expected, is_right) = match (self, arguments) {
            (Self::Check, count) => ("one or more files", count >= 1),
            (Self::CheckConfiguration | Self::Publish, count) => ("one file", count == 1),
            (Self::Explain, count) => ("one request", count == 1),
            (Self::Status, _) => ("", true),
            (_, count) => ("no arguments", count == 0),
        };
        if !is_right {
            missing.push(format!("{}: expected {expected}", self.name()));
        }
        missing
    }
}

/// Runs the command of the settings.
pub(crate) fn run(
    settings: &Settings,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<Exit, Error> {
    match settings.command {
        Command::Check => return check::run(settings, out),
        Command::CheckConfiguration => return check_configuration::run(settings, out),
        Command::HashKey => return hash_key::run(&mut std::io::stdin().lock(), out, err),
        _ => {}
    }
    let runtime = Runtime::new().map_err(|error| Error::Start(error.to_string()))?;
    runtime.block_on(async {
        match settings.command {
            Command::Publish => publish::run(settings, out).await,
            Command::Status => status::run(settings, out).await,
            Command::Explain => explain::run(settings, out, err).await,
            Command::Audit => audit::run(settings, out).await,
            Command::Ledger => ledger::run(settings, out).await,
            Command::WindDown => wind_down::run(settings, out).await,
            Command::Check | Command::CheckConfiguration | Command::HashKey => Ok(Exit::Ok),
        }
    })
}
