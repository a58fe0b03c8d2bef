use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, Instant};

use comfreyroad::id::Offset;
use getopts::{Matches, Options};

use crate::Command;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A flag, and the environment variable that is its default.
pub(crate) struct Flag {
    pub(crate) name: &'static str,
    pub(crate) variable: Option<&'static str>,
    pub(crate) hint: &'static str,
    pub(crate) help: &'static str,
}

pub(crate) const FLAGS: [Flag; 8] = [
    Flag {
        name: "log",
        variable: Some("COMFREYROAD_LOG"),
        hint: "IP:PORT",
        help: "log service",
    },
    Flag {
        name: "entries",
        variable: Some("COMFREYROAD_ENTRIES"),
        hint: "IP:PORT,..",
        help: "entries",
    },
    Flag {
        name: "vms",
        variable: Some("COMFREYROAD_VMS"),
        hint: "IP:PORT",
        help: "VM list, to find the entries",
    },
    Flag {
        name: "by",
        variable: Some("COMFREYROAD_BY"),
        hint: "NAME",
        help: "name of the operator who publishes (default: USER)",
    },
    Flag {
        name: "timeout-ms",
        variable: Some("COMFREYROAD_TIMEOUT_MS"),
        hint: "N",
        help: "timeout of the whole command in milliseconds (default: 30000)",
    },
    Flag {
        name: "from",
        variable: None,
        hint: "OFFSET",
        help: "offset of the first record to show",
    },
    Flag {
        name: "customer",
        variable: None,
        hint: "NAME",
        help: "show this customer only",
    },
    Flag {
        name: "in-force",
        variable: None,
        hint: "FILE",
        help: "configuration in force, to show what changes",
    },
];

/// Settings from the command line and the environment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The command to run.
    pub command: Command,
    /// Whether to print the help of the command instead.
    pub is_help: bool,
    /// Positional arguments: files, a request id or entries.
    pub arguments: Vec<String>,
    /// Address of the log service.
    pub log: Option<SocketAddr>,
    /// Addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// Address of the VM list.
    pub vms: Option<SocketAddr>,
    /// Name of the operator.
    pub by: Option<String>,
    /// When the command times out.
    pub deadline: Instant,
    /// Offset of the first record to show.
    pub from: Offset,
    /// The only customer to show.
    pub customer: Option<String>,
    /// File with the configuration in force.
    pub in_force: Option<PathBuf>,
}

impl Settings {
    /// Parses a command line. An error holds a message for each fault.
    pub fn read(
        args: &[String],
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<String>> {
        let Some((name, args)) = args.split_first() else {
            return Err(vec!["missing command".into()]);
        };
        let Some(command) = Command::from_name(name) else {
            return Err(vec![format!("unknown command `{name}`")]);
        };
        let matches = options(command)
            .parse(args)
            .map_err(|error| vec![error.to_string()])?;
        let mut reader = Reader {
            command,
            matches,
            env,
            faults: Vec::new(),
        };
        let settings = reader.settings();
        if settings.is_help || reader.faults.is_empty() {
            Ok(settings)
        } else {
            Err(reader.faults)
        }
    }
}

/// The options of one command.
pub(crate) fn options(command: Command) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this help");
    for flag in FLAGS
        .iter()
        .filter(|flag| command.flags().contains(&flag.name))
    {
        let help = match flag.variable {
            Some(variable) => format!("{} [{variable}]", flag.help),
            None => flag.help.into(),
        };
        options.optopt("", flag.name, &help, flag.hint);
    }
    options
}

/// Help text of the whole program.
pub(crate) fn help() -> String {
    let mut help = String::from(
        "comfreyroad: checks and publishes rules, checks configurations, and shows the state of the system\n\n",
    );
    for command in Command::ALL {
        help += &format!(
            "    comfreyroad {:<42} {}\n",
            command.usage(),
            command.summary()
        );
    }
    help += "\n    comfreyroad COMMAND --help shows the flags of a command.\n";
    help += "    comfreyroad --version shows the version.\n";
    help += "\nExit codes: 0 done; 1 refused, incomplete or not done in time; 2 invalid command line; 3 a peer is unreachable.\n";
    help
}

/// Reads settings from flags and environment variables, and collects the faults.
struct Reader<E> {
    command: Command,
    matches: Matches,
    env: E,
    faults: Vec<String>,
}

impl<E: Fn(&str) -> Option<String>> Reader<E> {
    fn settings(&mut self) -> Settings {
        let timeout: Option<u64> = self.parse("timeout-ms", "a number of milliseconds");
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let now = Instant::now();
        let by = self.value("by").or_else(|| self.user());
        let is_given = |name: &str| self.value(name).is_some() || (name == "by" && by.is_some());
        let missing = self.command.missing(self.matches.free.len(), is_given);
        self.faults.extend(missing);
        Settings {
            command: self.command,
            is_help: self.matches.opt_present("help"),
            arguments: self.matches.free.clone(),
            log: self.parse("log", "IP:PORT"),
            entries: self.entries(),
            vms: self.parse("vms", "IP:PORT"),
            by,
            deadline: now.checked_add(timeout).unwrap_or(now + DEFAULT_TIMEOUT),
            from: self.parse("from", "an offset").unwrap_or_default(),
            customer: self.value("customer"),
            in_force: self.value("in-force").map(PathBuf::from),
        }
    }

    /// Value of a flag, or else of its environment variable; `None` for a flag that the command does not have.
    fn value(&self, name: &str) -> Option<String> {
        if !self.command.flags().contains(&name) {
            return None;
        }
        let flag = FLAGS.iter().find(|flag| flag.name == name)?;
        let value = self.matches.opt_str(name);
        let value = value.or_else(|| (self.env)(flag.variable?));
        value.filter(|value| !value.is_empty())
    }

    fn parse<T: FromStr>(&mut self, name: &str, expected: &str) -> Option<T> {
        let text = self.value(name)?;
        self.parse_text(name, &text, expected)
    }

    fn parse_text<T: FromStr>(&mut self, name: &str, text: &str, expected: &str) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.faults
                .push(format!("--{name}: `{text}`: expected {expected}"));
        }
        value
    }

    fn entries(&mut self) -> Vec<SocketAddr> {
        let mut texts: Vec<String> = Vec::new();
        if let Some(list) = self.value("entries") {
            texts.extend(list.split(',').map(String::from));
        }
        if self.command == Command::Status {
            texts.extend(self.matches.free.iter().cloned());
        }
        let parsed = texts
            .iter()
            .filter_map(|text| self.parse_text("entries", text, "IP:PORT"));
        parsed.collect()
    }

    fn user(&self) -> Option<String> {
        (self.env)("USER").filter(|user| !user.is_empty())
    }
}
