//! `comfreyroad-proxy`: the daemon of one entry on the platform.

use std::process::ExitCode;

use comfreyroad_platform::settings::Settings;
use comfreyroad_proxy::options::Command;
use comfreyroad_proxy::{daemon, logger, options};

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code for a daemon that could not start or that failed.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match options::parse(&args, |name| std::env::var(name).ok()) {
        Ok(Command::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Check { settings }) => match Settings::read(&settings) {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => fail(&error, EXIT_USAGE),
        },
        Ok(Command::Run { settings, level }) => {
            if let Err(error) = logger::init(level) {
                return fail(&error, EXIT_FAILED);
            }
            match Settings::read(&settings) {
                Ok(read) => match daemon::run(&settings, &read) {
                    Ok(()) => ExitCode::SUCCESS,
                    Err(error) => fail(&error, EXIT_FAILED),
                },
                Err(error) => fail(&error, EXIT_USAGE),
            }
        }
        Err(error) => fail(&error, EXIT_USAGE),
    }
}

fn fail(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("comfreyroad-proxy: {error}");
    ExitCode::from(code)
}
