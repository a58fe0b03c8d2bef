use std::net::SocketAddr;

use comfreyroad::id::Generation;
use serde::Deserialize;

use crate::{Client, Error};

/// Phase of an entry that has finished its work.
const GONE: &str = "gone";

/// Word of an entry that may go by old rules, and so takes no new work.
const STALE: &str = "stale";

/// What an entry says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Status {
    /// Its name.
    pub entry: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Where it stands in its life.
    #[serde(default)]
    pub phase: String,
    /// The rules that it goes by.
    pub generation: Generation,
    /// How sure it is that these are the newest: `fresh`, `outage` or `stale`.
    #[serde(default)]
    pub rules: String,
    /// Milliseconds since it last knew these rules to be the newest.
    #[serde(default)]
    pub confirmed_age_ms: Option<u64>,
    /// Requests that it works on.
    #[serde(default)]
    pub in_flight: Option<u64>,
}

impl Status {
    /// Asks an entry.
    pub async fn of(client: &Client, entry: SocketAddr) -> Result<Self, Error> {
        client.get("status", entry, "/status").await
    }

    /// Whether it takes no new work because it does not know the newest rules.
    pub fn is_stale(&self) -> bool {
        self.rules == STALE
    }

    /// Whether it has finished its work and takes no more.
    pub fn is_gone(&self) -> bool {
        self.phase.eq_ignore_ascii_case(GONE)
    }
}
