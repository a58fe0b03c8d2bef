//! `comfreyroad-entry`: runs one entry.

use std::process::ExitCode;

use comfreyroad_entry::{daemon, logger, settings};

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code for an entry that failed to start or to run.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let settings = match settings::read(&args, |name| std::env::var(name).ok()) {
        Ok(settings::Command::Run(settings)) => settings,
        Ok(settings::Command::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(faults) => {
            for fault in faults {
                eprintln!("comfreyroad-entry: {fault}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if let Err(error) = logger::init(settings.log_format, settings.log_level) {
        eprintln!("comfreyroad-entry: start log: {error}");
        return ExitCode::from(EXIT_FAILED);
    }
    match daemon::run(*settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreyroad-entry: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
