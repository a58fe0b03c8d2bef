use std::net::SocketAddr;
use std::time::Duration;

use data_encoding::HEXLOWER_PERMISSIVE;

use super::Fault;
use super::flag::{FLAGS, Flag};

/// Looks up an environment variable.
type Environment<'a> = Box<dyn Fn(&str) -> Option<String> + 'a>;

/// Reads settings one by one and collects their faults.
pub(super) struct Reader<'a> {
    matches: getopts::Matches,
    environment: Environment<'a>,
    pub(super) faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(
        matches: getopts::Matches,
        environment: impl Fn(&str) -> Option<String> + 'a,
    ) -> Self {
        Self {
            matches,
            environment: Box::new(environment),
            faults: Vec::new(),
        }
    }

    /// Text of a setting: from its flag, else from its environment variable, else its default.
    fn text(&mut self, flag: &'static Flag) -> Option<String> {
        let given = self.matches.opt_str(flag.name);
        let text = given.or_else(|| (self.environment)(&flag.variable()));
        let text = text.or_else(|| flag.default.map(str::to_owned));
        if text.is_none() {
            self.faults.push(Fault::Missing {
                flag: flag.name,
                variable: flag.variable(),
                expected: flag.expected,
            });
        }
        text
    }

    /// Reads a setting. An invalid one is collected as a fault and returned as `T::default()`.
    pub(super) fn get<T: Default>(&mut self, name: &str, parse: impl Fn(&str) -> Option<T>) -> T {
        let Some(flag) = FLAGS.iter().find(|flag| flag.name == name) else {
            return T::default();
        };
        let Some(text) = self.text(flag) else {
            return T::default();
        };
        parse(&text).unwrap_or_else(|| {
            self.faults.push(Fault::Invalid {
                flag: flag.name,
                variable: flag.variable(),
                value: if flag.secret {
                    "(secret)".into()
                } else {
                    text.clone()
                },
                expected: flag.expected,
            });
            T::default()
        })
    }
}

pub(super) fn name(text: &str) -> Option<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    (!text.is_empty() && text.chars().all(fits)).then(|| text.to_owned())
}

pub(super) fn address(text: &str) -> Option<Option<SocketAddr>> {
    text.parse().ok().map(Some)
}

pub(super) fn optional_address(text: &str) -> Option<Option<SocketAddr>> {
    if text.is_empty() {
        Some(None)
    } else {
        address(text)
    }
}

pub(super) fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().ok())
        .collect()
}

pub(super) fn milliseconds(text: &str) -> Option<Duration> {
    text.parse().ok().map(Duration::from_millis)
}

pub(super) fn count(text: &str) -> Option<usize> {
    text.parse().ok().filter(|count| *count > 0)
}

pub(super) fn number(text: &str) -> Option<u32> {
    text.parse().ok()
}

pub(super) fn optional_number(text: &str) -> Option<Option<u64>> {
    if text.is_empty() {
        Some(None)
    } else {
        text.parse().ok().map(Some)
    }
}

pub(super) fn keys(text: &str) -> Option<Vec<[u8; 32]>> {
    let key =
        |part: &str| <[u8; 32]>::try_from(HEXLOWER_PERMISSIVE.decode(part.as_bytes()).ok()?).ok();
    let keys: Vec<[u8; 32]> = text.split(',').map(key).collect::<Option<_>>()?;
    (1..=2).contains(&keys.len()).then_some(keys)
}
