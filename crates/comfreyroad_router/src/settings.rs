//! What a router is told at its start.

use std::time::Duration;

use crate::frame::Peer;
use crate::id::Address;

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This entry.
    pub own: Peer,
    /// Control addresses of entries to begin with.
    pub seeds: Vec<Address>,
    /// Zones of the deployment.
    pub zone_count: usize,
    /// Time that a shutdown may take.
    pub drain_timeout: Duration,
    /// Extra sendings that all entries may make for each request of a pool.
    pub retry_ratio: f64,
    /// Extra sendings of a pool that are free beyond that, for all entries together.
    pub retry_slack: f64,
    /// The window of time in which both are counted.
    pub retry_window: Duration,
    /// Part of a pool's requests that a version under trial may get.
    pub exposure_share: f64,
    /// Requests that it may get beyond that.
    pub exposure_slack: f64,
    /// What a cold upstream may get beyond what it says that it bears, as a factor.
    pub cold_multiplier: f64,
    /// Requests a second that a cold upstream may get beyond that.
    pub cold_slack: f64,
    /// Time after its last request for which a session goes on.
    pub session_idle_timeout: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            own: Peer {
                entry: "entry".into(),
                address: "127.0.0.1:7340".into(),
                zone: "zone".into(),
                incarnation: 1,
                heartbeat: 0,
                millicores: 1000,
            },
            seeds: Vec::new(),
            zone_count: 1,
            drain_timeout: Duration::from_secs(8),
            retry_ratio: 0.5,
            retry_slack: 20.0,
            retry_window: Duration::from_secs(10),
            exposure_share: 0.1,
            exposure_slack: 0.0,
            cold_multiplier: 1.0,
            cold_slack: 0.0,
            session_idle_timeout: Duration::from_secs(5),
            seed: 1,
        }
    }
}
