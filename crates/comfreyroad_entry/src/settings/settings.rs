use std::net::SocketAddr;

use super::Fault;
use super::flag::FLAGS;
use super::reader::{self, Reader};
use crate::logger::{Format, Level};

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the entry's decisions.
    pub core: comfreyroad::Settings,
    /// Address of the listener for callers and peers.
    pub listen: SocketAddr,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Address of the platform's VM list.
    pub vms: SocketAddr,
    /// Address of the rating service, if there is one.
    pub ratings: Option<SocketAddr>,
    /// Format of log lines.
    pub log_format: Format,
    /// Minimum level of log lines.
    pub log_level: Level,
}

/// What the command line requests.
#[derive(Debug)]
pub enum Command {
    /// Run an entry.
    Run(Box<Settings>),
    /// Print a text and exit.
    Print(String),
}

/// Reads the settings from the command line and, where a flag is not given, from the environment.
pub fn read(
    args: &[String],
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Command, Vec<Fault>> {
    let options = options();
    let matches = options
        .parse(args)
        .map_err(|error| vec![Fault::Usage(error.to_string())])?;
    if matches.opt_present("help") {
        let brief = "Usage: comfreyroad-entry [OPTIONS]\n\nEach option can be given as an environment variable: \
                     --peer-timeout-ms as COMFREYROAD_PEER_TIMEOUT_MS.\nExit codes: 0 shut down, 1 failed, 2 invalid settings.";
        return Ok(Command::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!(
            "comfreyroad-entry {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if let Some(argument) = matches.free.first() {
        return Err(vec![Fault::Usage(format!(
            "unexpected argument {argument:?}"
        ))]);
    }
    let mut reader = Reader::new(matches, environment);
    let settings = settings(&mut reader);
    match reader.faults {
        faults if faults.is_empty() => Ok(Command::Run(Box::new(settings))),
        faults => Err(faults),
    }
}

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    for flag in FLAGS {
        let default = flag.default.filter(|default| !default.is_empty());
        let help = match default {
            Some(default) => format!("{}: {} [{default}]", flag.help, flag.expected),
            None => format!("{}: {}", flag.help, flag.expected),
        };
        options.optopt("", flag.name, &help, "VALUE");
    }
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn settings(reader: &mut Reader<'_>) -> Settings {
    let listen = reader.get("listen", reader::address);
    let log = reader.get("log", reader::address);
    let vms = reader.get("vms", reader::address);
    // A missing address has added a fault, so settings with the placeholder address are never used.
    let ratings = reader.get("ratings", reader::optional_address);
    let mut core = core(reader, listen);
    if ratings.is_none() {
        core.ratings_per_second = 0;
    }
    Settings {
        core,
        listen: listen.unwrap_or_else(unspecified),
        log: log.unwrap_or_else(unspecified),
        vms: vms.unwrap_or_else(unspecified),
        ratings,
        log_format: reader.get("log-format", Format::parse),
        log_level: reader.get("log-level", Level::parse),
    }
}

fn unspecified() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn core(reader: &mut Reader<'_>, listen: Option<SocketAddr>) -> comfreyroad::Settings {
    let seed = reader.get("seed", reader::optional_number);
    comfreyroad::Settings {
        entry: reader.get("entry", reader::name).into(),
        boot: format!("{:08x}", fastrand::u32(..)).into(),
        zone: reader.get("zone", reader::name).into(),
        address: listen
            .map(|address| address.to_string())
            .unwrap_or_default()
            .into(),
        peers: reader
            .get("peers", reader::addresses)
            .iter()
            .map(|peer| peer.to_string().into())
            .collect(),
        session_keys: reader.get("session-keys", reader::keys),
        stale_after: reader.get("stale-after-ms", reader::milliseconds),
        checkpoint_after: reader.get("checkpoint-after-ms", reader::milliseconds),
        rules_readers: reader.get("rules-readers", reader::count),
        peer_timeout: reader.get("peer-timeout-ms", reader::milliseconds),
        bill_wait: reader.get("bill-wait-ms", reader::milliseconds),
        drain_timeout: reader.get("drain-timeout-ms", reader::milliseconds),
        drain_notice: reader.get("drain-notice-ms", reader::milliseconds),
        max_calls: reader.get("max-calls", reader::count),
        max_body_bytes: reader.get("max-body-bytes", reader::count),
        session_lifetime: reader.get("session-life-ms", reader::milliseconds),
        session_idle_timeout: reader.get("session-idle-ms", reader::milliseconds),
        session_cutoff: reader.get("last-sessions-ms", reader::milliseconds),
        ratings_per_second: reader.get("ratings-rate", reader::number),
        rating_cost: reader.get("rating-cost", reader::number).into(),
        seed: seed.unwrap_or_else(|| fastrand::u64(..)),
        ..comfreyroad::Settings::default()
    }
}
