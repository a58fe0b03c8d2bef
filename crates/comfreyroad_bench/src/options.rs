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

/// A parsed command line.
#[derive(Clone, Debug)]
pub enum Command {
    /// A demonstration run without faults.
    Demo(Demo),
    /// Runs fault cells.
    Faults(Suite),
    /// Measures comfreyroad against baseline routers.
    Measure(Measure),
    /// Runs a baseline router.
    Router(Settings),
    /// The help text.
    Help(String),
}

impl Command {
    /// Parses a command line.
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
            other => Err(Error::Options(vec![format!("{other}: unknown command")])),
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
    flags.optopt(
        "",
        "seconds",
        "seconds during which requests arrive (10)",
        "N",
    );
    flags.optopt("", "seed", "random seed (1)", "N");
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
    reader.finish(Command::Demo(demo))
}

fn faults_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    let names = Cell::ALL.map(Cell::name).join(", ");
    flags.optopt("", "seed", "random seed (1)", "N");
    flags.optopt("", "only", &format!("run only this cell: {names}"), "NAME");
    flags
}

fn faults(args: &[String]) -> Result<Command> {
    let mut reader = Reader::new(&faults_flags(), args)?;
    let default = Suite::default();
    let only: String = reader.value("only", String::new());
    let mut cells = default.cells;
    cells.retain(|cell| only.is_empty() || cell.name() == only);
    if cells.is_empty() {
        reader.errors.push(format!("--only {only}: unknown cell"));
    }
    let seed = reader.value("seed", default.seed);
    reader.finish(Command::Faults(Suite { cells, seed }))
}

fn measure_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt("", "firm", "inkwell, tahtiaskel or both (both)", "NAME");
    flags.optopt("", "seed", "first seed (1)", "N");
    flags.optopt("", "seeds", "number of seeds (5)", "N");
    flags.optopt(
        "",
        "seconds",
        "seconds during which requests arrive in a run (34)",
        "N",
    );
    flags.optopt("", "out", "output folder (target/measure)", "DIR");
    flags
}

fn measure(args: &[String]) -> Result<Command> {
    let mut reader = Reader::new(&measure_flags(), args)?;
    let default = Measure::default();
    let firm: String = reader.value("firm", "both".to_owned());
    let mut firms = default.firms;
    firms.retain(|known| firm == "both" || known.name == firm);
    if firms.is_empty() {
        reader.errors.push(format!("--firm {firm}: unknown firm"));
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
    reader.finish(Command::Measure(measure))
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
    flags.optopt("", "zone", "availability zone of this router", "NAME");
    flags.optopt("", "listen", "listen address", "ADDR");
    flags.optopt("", "log", "address of the log service", "ADDR");
    flags.optopt("", "vms", "address of the VM list", "ADDR");
    flags.optopt("", "seed", "random seed (1)", "N");
    flags
}

fn router(args: &[String]) -> Result<Command> {
    let mut reader = Reader::new(&router_flags(), args)?;
    let unspecified = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
        entry: reader.value("entry", "router".to_owned()),
        zone: reader.value("zone", String::new()),
        listen: reader.value("listen", unspecified),
        log: reader.value("log", unspecified),
        vms: reader.value("vms", unspecified),
        policy: reader.value("policy", Policy::default()),
        seed: reader.value("seed", 1),
    };
    reader.finish(Command::Router(settings))
}

/// Parses the options of one command and collects the errors.
struct Reader {
    matches: Matches,
    errors: Vec<String>,
}

impl Reader {
    fn new(flags: &getopts::Options, args: &[String]) -> Result<Self> {
        let matches = flags
            .parse(args)
            .map_err(|error| Error::Options(vec![error.to_string()]))?;
        let extra = matches.free.iter();
        let errors = extra
            .map(|argument| format!("{argument}: unexpected argument"))
            .collect();
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

    fn finish(self, command: Command) -> Result<Command> {
        if self.errors.is_empty() {
            Ok(command)
        } else {
            Err(Error::Options(self.errors))
        }
    }
}
