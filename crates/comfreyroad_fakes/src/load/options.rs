use std::time::Duration;

use getopts::Matches;

use super::Profile;
use crate::options::{delay, number};
use crate::{Error, Result};

/// Flags of the time given to each kind of answer.
const PATIENCE: [(&str, &str); 3] = [
    ("draft-deadline-ms", "time given to streamed answers"),
    ("whole-deadline-ms", "time given to answers in one piece"),
    ("plain-deadline-ms", "time given to bookings and lookups"),
];

/// A customer of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Its key.
    pub key: String,
    /// The profile whose requests it sends; all of them when absent.
    pub profile: Option<String>,
}

impl Customer {
    /// Reads `[PROFILE/]NAME:KEY`.
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

    /// Whether it sends requests of this profile.
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
    /// Addresses to call, in turn.
    pub to: Vec<String>,
    /// Mixes of requests, drawn evenly.
    pub profiles: Vec<Profile>,
    /// Customers, drawn evenly; one named twice comes twice as often.
    pub customers: Vec<Customer>,
    /// How long requests arrive.
    pub duration: Duration,
    /// Arrivals per second.
    pub rate: f64,
    /// Requests at most.
    pub max_requests: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// One-way delay between callers and the system.
    pub delay: Duration,
    /// Retries of a request at most.
    pub retries: u32,
    /// How often the balancer asks addresses whether they are ready; never when absent.
    pub health: Option<Duration>,
    /// Whether a chat answer that broke off is asked for again.
    pub retries_broken: bool,
    /// File for a line of JSON per request.
    pub trace: Option<String>,
}

impl Options {
    /// Describes the flags.
    #[must_use]
    pub fn flags() -> getopts::Options {
        let mut flags = getopts::Options::new();
        flags.optopt("", "to", "addresses to call, by commas", "ADDR,..");
        flags.optopt("", "profile", "inkwell, tahtiaskel or both (both)", "NAME");
        flags.optopt(
            "",
            "customers",
            "customers with their keys, by commas",
            "[PROFILE/]NAME:KEY,..",
        );
        flags.optopt("", "seconds", "how long requests arrive (10)", "N");
        flags.optopt("", "rate", "arrivals per second (10)", "N");
        flags.optopt("", "requests", "requests at most (10000)", "N");
        flags.optopt("", "seed", "seed of random numbers (1)", "N");
        flags.optopt("", "delay-ms", "one-way delay of callers (0)", "MS");
        flags.optopt("", "retries", "retries of a request at most (3)", "N");
        flags.optopt("", "health-ms", "interval of health checks (0: none)", "MS");
        flags.optflag(
            "",
            "retry-broken",
            "ask again for chat answers that broke off",
        );
        flags.optopt("", "bookings", "percent of bookings (by profile)", "PCT");
        flags.optopt("", "lookups", "percent of lookups (by profile)", "PCT");
        flags.optopt(
            "",
            "drafts",
            "percent of chats that are streamed (by profile)",
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
            "model of answers in one piece (by profile)",
            "NAME",
        );
        flags.optopt("", "max-tokens", "bound on the tokens of an answer", "N");
        flags.optopt(
            "",
            "deadline-ms",
            "time given to each answer (by profile)",
            "MS",
        );
        for (name, what) in PATIENCE {
            flags.optopt("", name, what, "MS");
        }
        flags.optopt("", "trace", "file for a line of JSON per request", "FILE");
        flags
    }

    /// Reads flags.
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
            retries_broken: matches.opt_present("retry-broken"),
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
                errors.push(format!("--customers {}: no such profile", customer.name));
            }
        }
        if !(options.rate > 0.0 && options.rate.is_finite()) {
            errors.push("--rate: must be above 0".to_owned());
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
            None => errors.push(format!("--customers {item}: not [PROFILE/]NAME:KEY")),
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
            errors.push(format!("--profile {other}: inkwell, tahtiaskel or both"));
            Vec::new()
        }
    };
    for profile in &mut profiles {
        change(profile, matches, errors);
    }
    profiles
}

fn change(profile: &mut Profile, matches: &Matches, errors: &mut Vec<String>) {
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
    let most = number(matches, "max-tokens", u32::MAX, errors).max(1);
    for (low, high) in [&mut profile.draft_tokens, &mut profile.whole_tokens] {
        *low = most.min(*low);
        *high = most.min(*high);
    }
    let all = number(matches, "deadline-ms", 0, errors);
    let patience = PATIENCE.map(|(name, _)| number(matches, name, all, errors));
    let of_kind = [
        &mut profile.draft_patience,
        &mut profile.whole_patience,
        &mut profile.plain_patience,
    ];
    for (kept, given) in of_kind.into_iter().zip(patience) {
        if given > 0 {
            *kept = Duration::from_millis(given);
        }
    }
}
