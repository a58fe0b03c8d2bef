use std::net::SocketAddr;

use comfreyroad::id::Generation;
use serde::Deserialize;

use crate::{Client, Error};

/// Phase of an entry that has finished its work.
const GONE: &str = "gone";

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

    /// Whether it has finished its work and takes no more.
    pub fn is_gone(&self) -> bool {
        self.phase.eq_ignore_ascii_case(GONE)
    }
}
