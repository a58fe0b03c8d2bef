/// Definition of one setting.
#[derive(Debug)]
pub(super) struct Flag {
    /// Name of the flag, without dashes.
    pub(super) name: &'static str,
    /// Description of the setting.
    pub(super) help: &'static str,
    /// Description of a valid value.
    pub(super) expected: &'static str,
    /// Default value; `None` if the setting is required.
    pub(super) default: Option<&'static str>,
    /// Whether the value is left out of error messages.
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

    /// Name of the environment variable.
    pub(super) fn variable(&self) -> String {
        format!("COMFREYROAD_{}", self.name.to_uppercase().replace('-', "_"))
    }
}

const ADDRESS: &str = "an IP address and port";
const MILLISECONDS: &str = "a number of milliseconds";
const KEYS: &str = "one or two keys of 64 hexadecimal digits, separated by commas, newest first";

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
        "an IP address and port, or nothing",
        "the rating service",
    ),
    Flag::new(
        "peers",
        Some(""),
        "IP addresses and ports, separated by commas",
        "initial peers; the VM list adds others",
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
        "time after which a silent peer counts as lost",
    ),
    Flag::new(
        "bill-wait-ms",
        Some("2000"),
        MILLISECONDS,
        "longest wait of an answer's end for its bill to be on the log",
    ),
    Flag::new(
        "drain-timeout-ms",
        Some("30000"),
        MILLISECONDS,
        "longest time that a shutdown may take",
    ),
    Flag::new(
        "drain-notice-ms",
        Some("1000"),
        MILLISECONDS,
        "time for the load balancer to notice a shutdown",
    ),
    Flag::new(
        "ratings-rate",
        Some("20"),
        "a number",
        "answers per second that all entries together sample for rating",
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
        "maximum number of concurrent calls",
    ),
    Flag::new(
        "max-body-bytes",
        Some("33554432"),
        "a number above 0",
        "maximum bytes of the request bodies of all calls together",
    ),
    Flag::new(
        "session-life-ms",
        Some("86400000"),
        MILLISECONDS,
        "lifetime of a session token",
    ),
    Flag::new(
        "session-idle-ms",
        Some("1800000"),
        MILLISECONDS,
        "time after which an idle session expires",
    ),
    Flag::new(
        "last-sessions-ms",
        Some("3600000"),
        MILLISECONDS,
        "time before the end of the term in which no new session begins",
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
        "format of log lines",
    ),
    Flag::new(
        "log-level",
        Some("info"),
        "error, warn, info or debug",
        "minimum level of log lines",
    ),
];
