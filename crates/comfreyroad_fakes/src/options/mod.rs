//! Command line of `comfreyroad-fakes`.

mod pairs;

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use comfreyroad_wire::platform::Vm;
use getopts::Matches;

use pairs::Pairs;

use crate::{Error, Result, engine, log, service};

/// Stand-ins that one process hosts, with their settings.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Address of the log service; `None` hosts none.
    pub log: Option<String>,
    /// Settings of the log service.
    pub log_settings: log::Settings,
    /// Address of the VM list; `None` hosts none.
    pub vms: Option<String>,
    /// Delay until a change of the VM list becomes visible.
    pub vms_lag: Duration,
    /// Address of the rating service; `None` hosts none.
    pub ratings: Option<String>,
    /// Address of the weight store; `None` hosts none.
    pub weights: Option<String>,
    /// Rate limit of the weight store in downloads per second.
    pub weights_rate: f64,
    /// Model engines, with the VM of each.
    pub engines: Vec<(Vm, engine::Settings)>,
    /// Plain services, with the VM of each.
    pub services: Vec<(Vm, service::Settings)>,
    /// Entries, which appear in the VM list but are not hosted.
    pub entries: Vec<Vm>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// One-way network delay between clients and the stand-ins.
    pub delay: Duration,
}

impl Options {
    /// The command-line flags.
    #[must_use]
    pub fn flags() -> getopts::Options {
        let mut flags = getopts::Options::new();
        flags.optopt(
            "",
            "config",
            "file with one flag per line, as NAME VALUE",
            "FILE",
        );
        flags.optopt("", "log", "log service", "ADDR");
        flags.optopt(
            "",
            "log-settings",
            "max_records=,max_age_ms=,rate=",
            "PAIRS",
        );
        flags.optopt("", "vms", "VM list", "ADDR");
        flags.optopt(
            "",
            "vms-lag-ms",
            "delay of changes to the VM list (500)",
            "MS",
        );
        flags.optopt("", "ratings", "rating service", "ADDR");
        flags.optopt("", "weights", "weight store", "ADDR");
        flags.optopt(
            "",
            "weights-rate",
            "downloads per second of the weight store (1)",
            "N",
        );
        flags.optmulti(
            "",
            "engine",
            "id=,pool=,zone=,address=,versions=A+B,slots=,cold=,warm_ms=,queue=,fencing=checked|ignored,prefill_us=,\
             token_us=,quality.VERSION=,report_lag_ms=,event_lag_ms=,event_gaps=,cache_tokens=,load_ms=,weights=ADDR",
            "PAIRS",
        );
        flags.optmulti(
            "",
            "service",
            "id=,pool=,zone=,address=,slots=,cold=,warm_ms=,queue=,latency_ms=",
            "PAIRS",
        );
        flags.optmulti("", "entry", "id=,zone=,address=", "PAIRS");
        flags.optopt("", "seed", "seed of random numbers (1)", "N");
        flags.optopt("", "delay-ms", "one-way delay of each call (0)", "MS");
        flags
    }

    /// Parses the command line; flags of the configuration file come before those of `args`.
    pub fn parse(args: &[String]) -> Result<Self> {
        let flags = Self::flags();
        let fail = |err: getopts::Fail| Error::Settings(vec![err.to_string()]);
        let mut matches = flags.parse(args).map_err(fail)?;
        if let Some(path) = matches.opt_str("config") {
            let file =
                std::fs::read_to_string(&path).map_err(|source| Error::File { path, source })?;
            let lines = file
                .lines()
                .map(str::trim)
                .filter(|line| !line.is_empty() && !line.starts_with('#'));
            let from_file = lines.map(|line| {
                let (name, value) = line.split_once(char::is_whitespace).unwrap_or((line, ""));
                format!("--{name}={}", value.trim())
            });
            let all: Vec<_> = from_file.chain(args.iter().cloned()).collect();
            matches = flags.parse(all).map_err(fail)?;
        }
        Self::from_matches(&matches)
    }

    fn from_matches(matches: &Matches) -> Result<Self> {
        let mut errors = Vec::new();
        let mut options = Self {
            log: matches.opt_str("log"),
            vms: matches.opt_str("vms"),
            ratings: matches.opt_str("ratings"),
            weights: matches.opt_str("weights"),
            vms_lag: Duration::from_millis(number(matches, "vms-lag-ms", 500, &mut errors)),
            weights_rate: number(matches, "weights-rate", 1.0, &mut errors),
            seed: number(matches, "seed", 1, &mut errors),
            delay: delay(matches, &mut errors),
            ..Self::default()
        };
        if let Some(text) = matches.opt_str("log-settings") {
            options.log_settings = Pairs::new("log-settings", &text, &mut errors).log();
        }
        for text in matches.opt_strs("engine") {
            options
                .engines
                .push(Pairs::new("engine", &text, &mut errors).engine());
        }
        for text in matches.opt_strs("service") {
            options
                .services
                .push(Pairs::new("service", &text, &mut errors).service());
        }
        for text in matches.opt_strs("entry") {
            options
                .entries
                .push(Pairs::new("entry", &text, &mut errors).entry());
        }
        if errors.is_empty() {
            Ok(options)
        } else {
            Err(Error::Settings(errors))
        }
    }
}

/// Parses `--delay-ms`, which may have a fraction.
pub(crate) fn delay(matches: &Matches, errors: &mut Vec<String>) -> Duration {
    let ms: f64 = number(matches, "delay-ms", 0.0, errors);
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_else(|err| {
        errors.push(format!("--delay-ms {ms}: {err}"));
        Duration::ZERO
    })
}

/// Parses the number of a flag; returns `default` when the flag is absent.
pub(crate) fn number<T>(matches: &Matches, name: &str, default: T, errors: &mut Vec<String>) -> T
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = matches.opt_str(name) else {
        return default;
    };
    match text.parse() {
        Ok(number) => number,
        Err(err) => {
            errors.push(format!("--{name} {text}: {err}"));
            default
        }
    }
}
