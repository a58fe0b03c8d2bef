//! Settings of a router, fixed at its start.

use std::time::Duration;

use crate::frame::Peer;
use crate::id::Address;

/// Settings of the routing decisions.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This entry.
    pub own: Peer,
    /// Control addresses of the seed entries for gossip.
    pub seeds: Vec<Address>,
    /// Number of availability zones of the deployment.
    pub zone_count: usize,
    /// Maximum duration of a shutdown.
    pub drain_timeout: Duration,
    /// Time within which all entries must stop sending requests to an upstream that drains.
    pub drain_propagation: Duration,
    /// Retry budget of a pool over all entries, as a ratio of its requests.
    pub retry_ratio: f64,
    /// Retries of a pool that are allowed in addition, over all entries together.
    pub retry_slack: f64,
    /// Sliding time window to which both limits apply.
    pub retry_window: Duration,
    /// Exposure limit: fraction of a pool's requests that an unproven version may get during a rollout.
    pub exposure_share: f64,
    /// Requests that the version may get in addition.
    pub exposure_slack: f64,
    /// Factor on the configured warm-up rate that an upstream may get.
    pub cold_multiplier: f64,
    /// Requests per second that a cold upstream may get in addition.
    pub cold_slack: f64,
    /// Time after its last request at which a session expires.
    pub session_idle_timeout: Duration,
    /// Seed of the random number generator.
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
            drain_propagation: Duration::from_secs(2),
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
