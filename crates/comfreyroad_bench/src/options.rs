//! Command line of `comfreyroad-bench`.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;

use crate::demo::Demo;
use crate::{Error, Result};

/// What a command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// A run without faults.
    Demo(Demo),
    /// The help text.
    Help(String),
}

impl Command {
    /// Reads a command line.
    pub fn parse(args: &[String]) -> Result<Self> {
        let (name, rest) = args
            .split_first()
            .map_or(("help", args), |(name, rest)| (name.as_str(), rest));
        match name {
            "demo" => demo(rest),
            "help" | "--help" => Ok(Self::Help(usage())),
            other => Err(Error::Options(vec![format!("{other}: no such command")])),
        }
    }
}

fn usage() -> String {
    let mut usage = String::from("Usage: comfreyroad-bench COMMAND\n\n");
    usage += &demo_flags().usage("comfreyroad-bench demo");
    usage
}

fn demo_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seconds", "how long requests arrive (10)", "N");
    flags.optopt("", "seed", "seed of random numbers (1)", "N");
    flags
}

fn demo(args: &[String]) -> Result<Command> {
    let mut reader = Reader::new(&demo_flags(), args)?;
    let demo = Demo::default();
    let demo = demo
        .clone()
        .with_duration(Duration::from_secs(
            reader.number("seconds", demo.duration.as_secs()),
        ))
        .with_seed(reader.number("seed", demo.seed));
    reader.end(Command::Demo(demo))
}

/// Reads the values of one command, and notes what is wrong with them.
struct Reader {
    matches: Matches,
    errors: Vec<String>,
}

impl Reader {
    fn new(flags: &getopts::Options, args: &[String]) -> Result<Self> {
        let matches = flags
            .parse(args)
            .map_err(|fail| Error::Options(vec![fail.to_string()]))?;
        let extra = matches.free.iter();
        let errors = extra.map(|word| format!("{word}: not expected")).collect();
        Ok(Self { matches, errors })
    }

    fn number<T>(&mut self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.matches.opt_str(name) else {
            return default;
        };
        match text.parse() {
            Ok(number) => number,
            Err(error) => {
                self.errors.push(format!("--{name} {text}: {error}"));
                default
            }
        }
    }

    fn end(self, command: Command) -> Result<Command> {
        if self.errors.is_empty() {
            Ok(command)
        } else {
            Err(Error::Options(self.errors))
        }
    }
}
