use std::time::Duration;

use getopts::Matches;

use super::Profile;
use crate::options::number;
use crate::{Error, Result};

/// A customer of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Its key.
    pub key: String,
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
    /// Retries of a request at most.
    pub retries: u32,
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
            "NAME:KEY,..",
        );
        flags.optopt("", "seconds", "how long requests arrive (10)", "N");
        flags.optopt("", "rate", "arrivals per second (10)", "N");
        flags.optopt("", "requests", "requests at most (10000)", "N");
        flags.optopt("", "seed", "seed of random numbers (1)", "N");
        flags.optopt("", "retries", "retries of a request at most (3)", "N");
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
        flags.optopt("", "trace", "file for a line of JSON per request", "FILE");
        flags
    }

    /// Reads flags.
    pub fn parse(args: &[String]) -> Result<Self> {
        let matches = Self::flags()
            .parse(args)
            .map_err(|err| Error::Settings(vec![err.to_string()]))?;
        let mut errors = Vec::new();
        let options = Self {
            to: list(&matches, "to"),
            profiles: profiles(&matches, &mut errors),
            customers: customers(&matches, &mut errors),
            duration: Duration::from_secs(number(&matches, "seconds", 10, &mut errors)),
            rate: number(&matches, "rate", 10.0, &mut errors),
            max_requests: number(&matches, "requests", 10_000, &mut errors),
            seed: number(&matches, "seed", 1, &mut errors),
            retries: number(&matches, "retries", 3, &mut errors),
            trace: matches.opt_str("trace"),
        };
        if options.to.is_empty() {
            errors.push("--to is missing".to_owned());
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
        match item.split_once(':') {
            Some((name, key)) => {
                customers.push(Customer {
                    name: name.to_owned(),
                    key: key.to_owned(),
                });
            }
            None => errors.push(format!("--customers {item}: not NAME:KEY")),
        }
    }
    if customers.is_empty() {
        customers.push(Customer {
            name: "anyone".to_owned(),
            key: String::new(),
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
        profile.draft_model = model;
    }
    if let Some(model) = matches.opt_str("whole-model") {
        profile.whole_model = model;
    }
    let most = number(matches, "max-tokens", u32::MAX, errors).max(1);
    for (low, high) in [&mut profile.draft_tokens, &mut profile.whole_tokens] {
        *low = most.min(*low);
        *high = most.min(*high);
    }
    let patience = number(matches, "deadline-ms", 0, errors);
    if patience > 0 {
        profile.draft_patience = Duration::from_millis(patience);
        profile.whole_patience = Duration::from_millis(patience);
        profile.plain_patience = Duration::from_millis(patience);
    }
}
