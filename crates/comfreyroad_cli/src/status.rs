use std::net::SocketAddr;

use comfreyroad::id::Generation;
use serde::Deserialize;

use crate::{Client, Error};

/// Phase of an entry that has finished its shutdown.
const GONE: &str = "gone";

/// Freshness of the rules at an entry whose rules may be outdated; it accepts no new requests.
const STALE: &str = "stale";

/// Response of an entry to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub entry: String,
    /// Availability zone of the entry.
    #[serde(default)]
    pub zone: String,
    /// Phase of its life cycle.
    #[serde(default)]
    pub phase: String,
    /// Generation of the rules in force at this entry.
    pub generation: Generation,
    /// Freshness of its rules: `fresh`, `outage` or `stale`.
    #[serde(default)]
    pub rules: String,
    /// Milliseconds since its rules were last confirmed to be the newest.
    #[serde(default)]
    pub confirmed_age_ms: Option<u64>,
    /// Number of requests in progress.
    #[serde(default)]
    pub in_flight: Option<u64>,
}

impl Status {
    /// Requests the status of an entry.
    pub async fn fetch(client: &Client, entry: SocketAddr) -> Result<Self, Error> {
        client.get("status", entry, "/status").await
    }

    /// Whether the entry accepts no new requests because its rules may be outdated.
    pub fn is_stale(&self) -> bool {
        self.rules == STALE
    }

    /// Whether the entry has finished its shutdown.
    pub fn is_gone(&self) -> bool {
        self.phase.eq_ignore_ascii_case(GONE)
    }
}
