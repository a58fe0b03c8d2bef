//! Sends a mix of requests to a running system and prints counts of the outcomes as one line of JSON.

use std::process::ExitCode;

use comfreyroad_fakes::load::{Driver, Options};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|arg| arg == "--help") {
        print!("{}", Options::flags().usage("comfreyroad-load"));
        return ExitCode::SUCCESS;
    }
    match run(&args) {
        Ok(counts) => {
            println!("{counts}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            eprint!("{}", Options::flags().usage("comfreyroad-load"));
            ExitCode::FAILURE
        }
    }
}

fn run(args: &[String]) -> Result<serde_json::Value, Box<dyn std::error::Error>> {
    let options = Options::parse(args)?;
    let runtime = compio::runtime::Runtime::new()?;
    Ok(runtime.block_on(async { Driver::new(options)?.run().await })?)
}
