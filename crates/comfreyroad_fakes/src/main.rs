//! Hosts stand-ins for the external systems that comfreyroad works with.

use std::process::ExitCode;

use comfreyroad_fakes::fleet::Fleet;
use comfreyroad_fakes::options::Options;

/// Signal that terminates the process.
const SIGTERM: i32 = 15;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|arg| arg == "--help") {
        print!("{}", Options::flags().usage("comfreyroad-fakes"));
        return ExitCode::SUCCESS;
    }
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            eprint!("{}", Options::flags().usage("comfreyroad-fakes"));
            ExitCode::FAILURE
        }
    }
}

fn run(args: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let options = Options::parse(args)?;
    compio::runtime::Runtime::new()?.block_on(async {
        let _fleet = Fleet::start(&options)?;
        println!("ready");
        compio::signal::unix::signal(SIGTERM).await?;
        Ok(())
    })
}
