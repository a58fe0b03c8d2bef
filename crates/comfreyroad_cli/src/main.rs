//! `comfreyroad`: the operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let exit = comfreyroad_cli::run(&args, |name| std::env::var(name).ok(), &mut out, &mut err);
    ExitCode::from(exit.code())
}
