//! Command line of `comfreyroad-bench`.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;

use crate::demo::Demo;
use crate::faults::{Cell, Suite};
use crate::measure::Measure;
use crate::router::{Policy, Settings};
use crate::{Error, Result};

/// What a command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// A run without faults.
    Demo(Demo),
    /// Fault cells.
    Faults(Suite),
    /// Measurements beside simple routers.
    Measure(Measure),
    /// A simple router to compare with.
    Router(Settings),
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
            "faults" => faults(rest),
            "measure" => measure(rest),
            "router" => router(rest),
            "help" | "--help" => Ok(Self::Help(usage())),
            other => Err(Error::Options(vec![format!("{other}: no such command")])),
        }
    }
}

fn usage() -> String {
    let mut usage = String::from("Usage: comfreyroad-bench COMMAND\n\n");
    usage += &demo_flags().usage("comfreyroad-bench demo");
    usage += &faults_flags().usage("comfreyroad-bench faults");
    usage += &measure_flags().usage("comfreyroad-bench measure");
    usage += &router_flags().usage("comfreyroad-bench router");
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
            reader.value("seconds", demo.duration.as_secs()),
        ))
        .with_seed(reader.value("seed", demo.seed));
    reader.end(Command::Demo(demo))
}

fn faults_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    let names = Cell::ALL.map(Cell::name).join(", ");
    flags.optopt("", "seed", "seed of random numbers (1)", "N");
    flags.optopt("", "only", &format!("one cell: {names}"), "NAME");
    flags
}

fn faults(args: &[String]) -> Result<Command> {
    let mut reader = Reader::new(&faults_flags(), args)?;
    let default = Suite::default();
    let only: String = reader.value("only", String::new());
    let mut cells = default.cells;
    cells.retain(|cell| only.is_empty() || cell.name() == only);
    if cells.is_empty() {
        reader.errors.push(format!("--only {only}: no such cell"));
    }
    let seed = reader.value("seed", default.seed);
    reader.end(Command::Faults(Suite { cells, seed }))
}

fn measure_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt("", "firm", "inkwell, tahtiaskel or both (both)", "NAME");
    flags.optopt("", "seed", "first seed (1)", "N");
    flags.optopt("", "seeds", "number of seeds (5)", "N");
    flags.optopt("", "seconds", "how long requests arrive in a run (34)", "N");
    flags.optopt("", "out", "folder to write to (target/measure)", "DIR");
    flags
}

fn measure(args: &[String]) -> Result<Command> {
    let mut reader = Reader::new(&measure_flags(), args)?;
    let default = Measure::default();
    let firm: String = reader.value("firm", "both".to_owned());
    let mut firms = default.firms;
    firms.retain(|own| firm == "both" || own.name == firm);
    if firms.is_empty() {
        reader.errors.push(format!("--firm {firm}: no such firm"));
    }
    let measure = Measure {
        firms,
        seed: reader.value("seed", default.seed),
        seeds: reader.value("seeds", default.seeds),
        duration: Duration::from_secs(reader.value("seconds", default.duration.as_secs())),
        out: reader
            .value("out", default.out.display().to_string())
            .into(),
    };
    reader.end(Command::Measure(measure))
}

fn router_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt(
        "",
        "policy",
        "round-robin, least-loaded, dearest or cheapest (round-robin)",
        "NAME",
    );
    flags.optopt("", "entry", "name of this router", "NAME");
    flags.optopt("", "zone", "its availability zone", "NAME");
    flags.optopt("", "listen", "where it listens", "ADDR");
    flags.optopt("", "log", "log service", "ADDR");
    flags.optopt("", "vms", "VM list", "ADDR");
    flags.optopt("", "seed", "seed of random numbers (1)", "N");
    flags
}

fn router(args: &[String]) -> Result<Command> {
    let mut reader = Reader::new(&router_flags(), args)?;
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
        entry: reader.value("entry", "router".to_owned()),
        zone: reader.value("zone", String::new()),
        listen: reader.value("listen", nowhere),
        log: reader.value("log", nowhere),
        vms: reader.value("vms", nowhere),
        policy: reader.value("policy", Policy::default()),
        seed: reader.value("seed", 1),
    };
    reader.end(Command::Router(settings))
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

    fn value<T>(&mut self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.matches.opt_str(name) else {
            return default;
        };
        match text.parse() {
            Ok(value) => value,
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
