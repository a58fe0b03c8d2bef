use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

use comfreyroad::id::Offset;
use getopts::{Matches, Options};

use crate::Command;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A flag, and the environment variable that stands in for it.
pub(crate) struct Flag {
    pub(crate) name: &'static str,
    pub(crate) variable: Option<&'static str>,
    pub(crate) hint: &'static str,
    pub(crate) help: &'static str,
}

pub(crate) const FLAGS: [Flag; 7] = [
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
        help: "VM list, which knows the entries",
    },
    Flag {
        name: "by",
        variable: Some("COMFREYROAD_BY"),
        hint: "NAME",
        help: "who publishes (else USER)",
    },
    Flag {
        name: "timeout-ms",
        variable: Some("COMFREYROAD_TIMEOUT_MS"),
        hint: "N",
        help: "milliseconds for the whole command (30000)",
    },
    Flag {
        name: "from",
        variable: None,
        hint: "OFFSET",
        help: "first offset to show",
    },
    Flag {
        name: "customer",
        variable: None,
        hint: "NAME",
        help: "this customer only",
    },
];

/// What a command line and the environment ask for.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What to do.
    pub command: Command,
    /// Whether only its help is wanted.
    pub is_help: bool,
    /// Words after the command: files or a request.
    pub words: Vec<String>,
    /// The log service.
    pub log: Option<SocketAddr>,
    /// Entries by address.
    pub entries: Vec<SocketAddr>,
    /// The VM list.
    pub vms: Option<SocketAddr>,
    /// The operator.
    pub by: Option<String>,
    /// When the command gives up.
    pub deadline: Instant,
    /// First offset to show.
    pub from: Offset,
    /// The one customer to show.
    pub customer: Option<String>,
}

impl Settings {
    /// Reads a command line; all faults are given.
    pub fn read(
        args: &[String],
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<String>> {
        let Some((name, args)) = args.split_first() else {
            return Err(vec!["a command is missing".into()]);
        };
        let Some(command) = Command::named(name) else {
            return Err(vec![format!("`{name}` is no command")]);
        };
        let matches = options(command)
            .parse(args)
            .map_err(|error| vec![error.to_string()])?;
        let mut source = Source {
            command,
            matches,
            env,
            faults: Vec::new(),
        };
        let settings = source.settings();
        if settings.is_help || source.faults.is_empty() {
            Ok(settings)
        } else {
            Err(source.faults)
        }
    }
}

/// The flags of one command.
pub(crate) fn options(command: Command) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this");
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

/// The help of the whole program.
pub(crate) fn help() -> String {
    let mut help =
        String::from("comfreyroad: checks and publishes rules, and shows what the system does\n\n");
    for command in Command::ALL {
        help += &format!(
            "    comfreyroad {:<42} {}\n",
            command.usage(),
            command.summary()
        );
    }
    help += "\n    comfreyroad COMMAND --help shows the flags of a command.\n";
    help += "    comfreyroad --version shows the version.\n";
    help += "\nExit codes: 0 done; 1 refused, or not done in time; 2 wrong command line; 3 a peer is out of reach.\n";
    help
}

/// Where settings come from; notes what is wrong with them.
struct Source<E> {
    command: Command,
    matches: Matches,
    env: E,
    faults: Vec<String>,
}

impl<E: Fn(&str) -> Option<String>> Source<E> {
    fn settings(&mut self) -> Settings {
        let timeout: Option<u64> = self.parsed("timeout-ms", "a number of milliseconds");
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let now = Instant::now();
        let by = self.value("by").or_else(|| self.user());
        let is_given = |name: &str| self.value(name).is_some() || (name == "by" && by.is_some());
        let missing = self.command.missing(self.matches.free.len(), is_given);
        self.faults.extend(missing);
        Settings {
            command: self.command,
            is_help: self.matches.opt_present("help"),
            words: self.matches.free.clone(),
            log: self.parsed("log", "IP:PORT"),
            entries: self.entries(),
            vms: self.parsed("vms", "IP:PORT"),
            by,
            deadline: now.checked_add(timeout).unwrap_or(now + DEFAULT_TIMEOUT),
            from: self.parsed("from", "an offset").unwrap_or_default(),
            customer: self.value("customer"),
        }
    }

    /// A flag's value, or else its variable's; flags that the command does not have stay empty.
    fn value(&self, name: &str) -> Option<String> {
        if !self.command.flags().contains(&name) {
            return None;
        }
        let flag = FLAGS.iter().find(|flag| flag.name == name)?;
        let value = self.matches.opt_str(name);
        let value = value.or_else(|| (self.env)(flag.variable?));
        value.filter(|value| !value.is_empty())
    }

    fn parsed<T: FromStr>(&mut self, name: &str, expected: &str) -> Option<T> {
        let text = self.value(name)?;
        self.part(name, &text, expected)
    }

    fn part<T: FromStr>(&mut self, name: &str, text: &str, expected: &str) -> Option<T> {
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
            .filter_map(|text| self.part("entries", text, "IP:PORT"));
        parsed.collect()
    }

    fn user(&self) -> Option<String> {
        (self.env)("USER").filter(|user| !user.is_empty())
    }
}
