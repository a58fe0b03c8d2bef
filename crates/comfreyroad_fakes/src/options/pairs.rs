use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use comfreyroad_wire::platform::{Kind, State, Vm};
use indexmap::IndexMap;

use crate::engine::{self, Fencing};
use crate::slots::Capacity;
use crate::{log, service};

/// The `key=value` pairs of one flag; parse errors are added to the list shared by all flags.
pub(super) struct Pairs<'a> {
    flag: &'a str,
    pairs: IndexMap<String, String>,
    errors: &'a mut Vec<String>,
}

impl<'a> Pairs<'a> {
    pub(super) fn new(flag: &'a str, text: &str, errors: &'a mut Vec<String>) -> Self {
        let mut pairs = IndexMap::new();
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=') {
                Some((key, value)) => {
                    pairs.insert(key.trim().to_owned(), value.trim().to_owned());
                }
                None => errors.push(format!("--{flag} {pair}: expected key=value")),
            }
        }
        Self {
            flag,
            pairs,
            errors,
        }
    }

    fn take<T>(&mut self, key: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.pairs.shift_remove(key) else {
            return default;
        };
        match text.parse() {
            Ok(value) => value,
            Err(err) => {
                self.errors
                    .push(format!("--{} {key}={text}: {err}", self.flag));
                default
            }
        }
    }

    fn required(&mut self, key: &str) -> String {
        self.pairs.shift_remove(key).unwrap_or_else(|| {
            self.errors
                .push(format!("--{}: {key} is missing", self.flag));
            String::new()
        })
    }

    fn millis(&mut self, key: &str, default: Duration) -> Duration {
        Duration::from_millis(self.take(key, crate::time::millis(default)))
    }

    fn micros(&mut self, key: &str, default: Duration) -> Duration {
        Duration::from_micros(self.take(key, default.as_micros() as u64))
    }

    fn reject_unknown(self) {
        for key in self.pairs.keys() {
            self.errors
                .push(format!("--{}: {key} is unknown", self.flag));
        }
    }

    fn vm(&mut self, kind: Kind) -> Vm {
        let pool = if kind == Kind::Entry {
            String::new()
        } else {
            self.required("pool")
        };
        let (id, zone, address) = (
            self.required("id"),
            self.required("zone"),
            self.required("address"),
        );
        Vm {
            id,
            kind,
            pool,
            zone,
            address,
            state: State::Live,
        }
    }

    fn capacity(&mut self) -> Capacity {
        let default = Capacity::default();
        let slots = self.take("slots", default.slots);
        Capacity {
            slots,
            cold_slots: self.take("cold", slots),
            warm_up: self.millis("warm_ms", default.warm_up),
            queue: self.take("queue", default.queue),
        }
    }

    pub(super) fn log(mut self) -> log::Settings {
        let default = log::Settings::default();
        let settings = log::Settings {
            max_records: self.take("max_records", default.max_records),
            max_age: self.millis("max_age_ms", default.max_age),
            appends_per_second: self.take("rate", default.appends_per_second),
        };
        self.reject_unknown();
        settings
    }

    pub(super) fn engine(mut self) -> (Vm, engine::Settings) {
        let vm = self.vm(Kind::Upstream);
        let default = engine::Settings::default();
        let versions: String = self.take("versions", String::new());
        let settings = engine::Settings {
            id: vm.id.clone(),
            capacity: self.capacity(),
            versions: versions
                .split('+')
                .filter(|id| !id.is_empty())
                .map(str::to_owned)
                .collect(),
            fencing: self.fencing(),
            prefill_time: self.micros("prefill_us", default.prefill_time),
            token_time: self.micros("token_us", default.token_time),
            good_share: self.good_share(),
            report_lag: self.millis("report_lag_ms", default.report_lag),
            event_lag: self.millis("event_lag_ms", default.event_lag),
            event_gaps: self.take("event_gaps", default.event_gaps),
            cache_tokens: self.take("cache_tokens", default.cache_tokens),
            load_time: self.millis("load_ms", default.load_time),
            weights: self.pairs.shift_remove("weights"),
        };
        self.reject_unknown();
        (vm, settings)
    }

    fn fencing(&mut self) -> Fencing {
        match self.take("fencing", "checked".to_owned()).as_str() {
            "checked" => Fencing::Checked,
            "ignored" => Fencing::Ignored,
            other => {
                self.errors.push(format!(
                    "--{} fencing={other}: expected checked or ignored",
                    self.flag
                ));
                Fencing::default()
            }
        }
    }

    fn good_share(&mut self) -> IndexMap<String, f64> {
        let keys: Vec<_> = self
            .pairs
            .keys()
            .filter(|key| key.starts_with("quality."))
            .cloned()
            .collect();
        let version = |key: &str| key.trim_start_matches("quality.").to_owned();
        keys.iter()
            .map(|key| (version(key), self.take(key, 1.0)))
            .collect()
    }

    pub(super) fn service(mut self) -> (Vm, service::Settings) {
        let vm = self.vm(Kind::Upstream);
        let settings = service::Settings {
            id: vm.id.clone(),
            capacity: self.capacity(),
            latency: self.millis("latency_ms", Duration::from_millis(5)),
        };
        self.reject_unknown();
        (vm, settings)
    }

    pub(super) fn entry(mut self) -> Vm {
        let vm = self.vm(Kind::Entry);
        self.reject_unknown();
        vm
    }
}
