/// One setting.
#[derive(Debug)]
pub(super) struct Flag {
    /// Its flag, without dashes.
    pub(super) name: &'static str,
    /// What it is for.
    pub(super) help: &'static str,
    /// What its value should be.
    pub(super) expected: &'static str,
    /// Its value where none is given; `None` if it must be given.
    pub(super) default: Option<&'static str>,
    /// Whether its value must not be shown.
    pub(super) secret: bool,
}

impl Flag {
    const fn new(
        name: &'static str,
        default: Option<&'static str>,
        expected: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            name,
            help,
            expected,
            default,
            secret: false,
        }
    }

    const fn secret(mut self) -> Self {
        self.secret = true;
        self
    }

    /// Its environment variable.
    pub(super) fn variable(&self) -> String {
        format!("COMFREYROAD_{}", self.name.to_uppercase().replace('-', "_"))
    }
}

const ADDRESS: &str = "an IP number and port";
const MILLISECONDS: &str = "a number of milliseconds";
const KEYS: &str = "one or two keys of 64 hexadecimal digits, by commas, the newest first";

/// All settings.
pub(super) const FLAGS: &[Flag] = &[
    Flag::new("entry", None, "a name", "name of this entry"),
    Flag::new("zone", None, "a name", "availability zone of this entry"),
    Flag::new("listen", None, ADDRESS, "where callers and peers connect"),
    Flag::new("log", None, ADDRESS, "the platform's log service"),
    Flag::new("vms", None, ADDRESS, "the platform's VM list"),
    Flag::new(
        "ratings",
        Some(""),
        "an IP number and port, or nothing",
        "the rating service",
    ),
    Flag::new(
        "peers",
        Some(""),
        "IP numbers and ports, by commas",
        "entries to begin with",
    ),
    Flag::new("session-keys", None, KEYS, "keys that seal session tokens").secret(),
    Flag::new(
        "stale-after-ms",
        Some("3000"),
        MILLISECONDS,
        "time after which unconfirmed rules are stale",
    ),
    Flag::new(
        "checkpoint-after-ms",
        Some("60000"),
        MILLISECONDS,
        "time after which the rules in force are repeated on the log",
    ),
    Flag::new(
        "rules-readers",
        Some("2"),
        "a number above 0",
        "entries of each zone that read the rules from the log",
    ),
    Flag::new(
        "peer-timeout-ms",
        Some("3000"),
        MILLISECONDS,
        "time after which a silent peer is lost",
    ),
    Flag::new(
        "bill-wait-ms",
        Some("2000"),
        MILLISECONDS,
        "time that an answer's end waits for its bill",
    ),
    Flag::new(
        "drain-timeout-ms",
        Some("30000"),
        MILLISECONDS,
        "time that a shutdown may take",
    ),
    Flag::new(
        "drain-notice-ms",
        Some("1000"),
        MILLISECONDS,
        "time for the balancer to see a shutdown",
    ),
    Flag::new(
        "ratings-rate",
        Some("20"),
        "a number",
        "answers a second that all entries together have rated as a sample",
    ),
    Flag::new(
        "rating-cost",
        Some("0"),
        "a number of millionths",
        "cost of a rating, in the currency of the rules",
    ),
    Flag::new(
        "max-calls",
        Some("4096"),
        "a number above 0",
        "calls under way at once",
    ),
    Flag::new(
        "max-body-bytes",
        Some("33554432"),
        "a number above 0",
        "bytes that the requests of all calls may hold",
    ),
    Flag::new(
        "session-life-ms",
        Some("86400000"),
        MILLISECONDS,
        "time for which a session token is good",
    ),
    Flag::new(
        "session-idle-ms",
        Some("1800000"),
        MILLISECONDS,
        "time after which a silent session is forgotten",
    ),
    Flag::new(
        "last-sessions-ms",
        Some("3600000"),
        MILLISECONDS,
        "time before the end of the term in which no session begins",
    ),
    Flag::new(
        "seed",
        Some(""),
        "a number, or nothing for a random one",
        "seed of random choices",
    ),
    Flag::new(
        "log-format",
        Some("text"),
        "text or json",
        "shape of log events",
    ),
    Flag::new(
        "log-level",
        Some("info"),
        "error, warn, info or debug",
        "least level of log events",
    ),
];
