use std::time::Duration;

use getopts::Matches;

use super::Profile;
use crate::options::{delay, number};
use crate::{Error, Result};

/// Flags for the timeout of each kind of answer, with their descriptions.
const TIMEOUT_FLAGS: [(&str, &str); 3] = [
    ("draft-deadline-ms", "timeout of streamed answers"),
    ("whole-deadline-ms", "timeout of unstreamed answers"),
    ("plain-deadline-ms", "timeout of bookings and lookups"),
];

/// A customer of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// API key.
    pub key: String,
    /// Profile whose requests it sends; `None` for all profiles.
    pub profile: Option<String>,
}

impl Customer {
    /// Parses `[PROFILE/]NAME:KEY`.
    fn parse(text: &str) -> Option<Self> {
        let (name, key) = text.split_once(':')?;
        let (profile, name) = match name.split_once('/') {
            Some((profile, name)) => (Some(profile.to_owned()), name),
            None => (None, name),
        };
        Some(Self {
            name: name.to_owned(),
            key: key.to_owned(),
            profile,
        })
    }

    /// Whether this customer sends requests of a profile.
    #[must_use]
    pub fn sends(&self, profile: &Profile) -> bool {
        self.profile
            .as_ref()
            .is_none_or(|name| name == profile.name)
    }
}

/// Command line of `comfreyroad-load`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses to call, round robin.
    pub to: Vec<String>,
    /// Profiles to draw requests from, with equal probability.
    pub profiles: Vec<Profile>,
    /// Customers, drawn with equal probability; one that is listed twice is drawn twice as often.
    pub customers: Vec<Customer>,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Arrivals per second.
    pub rate: f64,
    /// Maximum number of requests.
    pub max_requests: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// One-way delay between callers and the system.
    pub delay: Duration,
    /// Maximum number of retries per request.
    pub retries: u32,
    /// Interval of the health checks of the balancer; `None` disables them.
    pub health: Option<Duration>,
    /// Whether a chat request whose answer broke off is sent again.
    pub retry_broken: bool,
    /// File that receives one line of JSON per request.
    pub trace: Option<String>,
}

impl Options {
    /// The command-line flags.
    #[must_use]
    pub fn flags() -> getopts::Options {
        let mut flags = getopts::Options::new();
        flags.optopt("", "to", "addresses, comma-separated", "ADDR,..");
        flags.optopt("", "profile", "inkwell, tahtiaskel or both (both)", "NAME");
        flags.optopt(
            "",
            "customers",
            "customers with API keys, comma-separated",
            "[PROFILE/]NAME:KEY,..",
        );
        flags.optopt("", "seconds", "duration of the arrivals (10)", "N");
        flags.optopt("", "rate", "arrivals per second (10)", "N");
        flags.optopt("", "requests", "maximum number of requests (10000)", "N");
        flags.optopt("", "seed", "seed of random numbers (1)", "N");
        flags.optopt("", "delay-ms", "one-way delay of callers (0)", "MS");
        flags.optopt("", "retries", "maximum retries per request (3)", "N");
        flags.optopt("", "health-ms", "interval of health checks (0: none)", "MS");
        flags.optflag(
            "",
            "retry-broken",
            "retry chat requests whose answers broke off",
        );
        flags.optopt("", "bookings", "percentage of bookings (by profile)", "PCT");
        flags.optopt("", "lookups", "percentage of lookups (by profile)", "PCT");
        flags.optopt(
            "",
            "drafts",
            "percentage of chats that are streamed (by profile)",
            "PCT",
        );
        flags.optopt(
            "",
            "draft-model",
            "model of streamed answers (by profile)",
            "NAME",
        );
        flags.optopt(
            "",
            "whole-model",
            "model of unstreamed answers (by profile)",
            "NAME",
        );
        flags.optopt("", "max-tokens", "maximum tokens of an answer", "N");
        flags.optopt(
            "",
            "deadline-ms",
            "timeout of each answer (by profile)",
            "MS",
        );
        for (name, what) in TIMEOUT_FLAGS {
            flags.optopt("", name, what, "MS");
        }
        flags.optopt("", "trace", "file for one line of JSON per request", "FILE");
        flags
    }

    /// Parses the command line.
    pub fn parse(args: &[String]) -> Result<Self> {
        let matches = Self::flags()
            .parse(args)
            .map_err(|err| Error::Settings(vec![err.to_string()]))?;
        let mut errors = Vec::new();
        let health = number(&matches, "health-ms", 0, &mut errors);
        let options = Self {
            to: list(&matches, "to"),
            profiles: profiles(&matches, &mut errors),
            customers: customers(&matches, &mut errors),
            duration: Duration::from_secs(number(&matches, "seconds", 10, &mut errors)),
            rate: number(&matches, "rate", 10.0, &mut errors),
            max_requests: number(&matches, "requests", 10_000, &mut errors),
            seed: number(&matches, "seed", 1, &mut errors),
            delay: delay(&matches, &mut errors),
            retries: number(&matches, "retries", 3, &mut errors),
            health: Some(Duration::from_millis(health)).filter(|interval| !interval.is_zero()),
            retry_broken: matches.opt_present("retry-broken"),
            trace: matches.opt_str("trace"),
        };
        if options.to.is_empty() {
            errors.push("--to is missing".to_owned());
        }
        for customer in &options.customers {
            if !options
                .profiles
                .iter()
                .any(|profile| customer.sends(profile))
            {
                errors.push(format!(
                    "--customers {}: profile not selected by --profile",
                    customer.name
                ));
            }
        }
        if !(options.rate > 0.0 && options.rate.is_finite()) {
            errors.push("--rate: must be greater than 0".to_owned());
        }
        if errors.is_empty() {
            Ok(options)
        } else {
            Err(Error::Settings(errors))
        }
    }
}

fn list(matches: &Matches, name: &str) -> Vec<String> {
    let text = matches.opt_str(name).unwrap_or_default();
    text.split(',')
        .filter(|item| !item.is_empty())
        .map(str::to_owned)
        .collect()
}

fn customers(matches: &Matches, errors: &mut Vec<String>) -> Vec<Customer> {
    let mut customers = Vec::new();
    for item in list(matches, "customers") {
        match Customer::parse(&item) {
            Some(customer) => customers.push(customer),
            None => errors.push(format!("--customers {item}: expected [PROFILE/]NAME:KEY")),
        }
    }
    if customers.is_empty() {
        customers.push(Customer {
            name: "anyone".to_owned(),
            ..Customer::default()
        });
    }
    customers
}

fn profiles(matches: &Matches, errors: &mut Vec<String>) -> Vec<Profile> {
    let mut profiles = match matches.opt_str("profile").as_deref() {
        None | Some("both") => vec![Profile::inkwell(), Profile::tahtiaskel()],
        Some("inkwell") => vec![Profile::inkwell()],
        Some("tahtiaskel") => vec![Profile::tahtiaskel()],
        Some(other) => {
            errors.push(format!(
                "--profile {other}: expected inkwell, tahtiaskel or both"
            ));
            Vec::new()
        }
    };
    for profile in &mut profiles {
        apply_overrides(profile, matches, errors);
    }
    profiles
}

fn apply_overrides(profile: &mut Profile, matches: &Matches, errors: &mut Vec<String>) {
    profile.bookings = number(matches, "bookings", profile.bookings, errors);
    profile.lookups = number(matches, "lookups", profile.lookups, errors);
    profile.drafts = number(matches, "drafts", profile.drafts, errors);
    if profile.bookings.saturating_add(profile.lookups) > 100 || profile.drafts > 100 {
        errors.push("--bookings, --lookups, --drafts: more than 100 percent".to_owned());
    }
    if let Some(model) = matches.opt_str("draft-model") {
        profile.draft_models = vec![model];
    }
    if let Some(model) = matches.opt_str("whole-model") {
        profile.whole_models = vec![model];
    }
    let max_tokens = number(matches, "max-tokens", u32::MAX, errors).max(1);
    for (low, high) in [&mut profile.draft_tokens, &mut profile.whole_tokens] {
        *low = max_tokens.min(*low);
        *high = max_tokens.min(*high);
    }
    let default_ms = number(matches, "deadline-ms", 0, errors);
    let timeouts_ms = TIMEOUT_FLAGS.map(|(name, _)| number(matches, name, default_ms, errors));
    let timeouts = [
        &mut profile.draft_timeout,
        &mut profile.whole_timeout,
        &mut profile.plain_timeout,
    ];
    for (timeout, given_ms) in timeouts.into_iter().zip(timeouts_ms) {
        if given_ms > 0 {
            *timeout = Duration::from_millis(given_ms);
        }
    }
}
