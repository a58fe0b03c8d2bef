//! Settings that are fixed when an entry starts.

use std::time::Duration;

use crate::id::{Address, BootId, EntryId, ZoneId};
use crate::mechanism::Mechanism;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry.
    pub entry: EntryId,
    /// The current start of its process.
    pub boot: BootId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// IP number and port at which peers and callers reach it.
    pub address: Address,
    /// Addresses of peers to contact first.
    pub peers: Vec<Address>,
    /// Keys of session tokens, the newest first.
    pub session_keys: Vec<[u8; 32]>,
    /// Time without confirmation after which the rules count as stale.
    pub stale_after: Duration,
    /// Age at which the record with the rules in force is written to the log again.
    pub checkpoint_after: Duration,
    /// Number of entries per zone that read the rules from the log. The others receive them by gossip.
    pub rules_readers: usize,
    /// Time without a heartbeat after which a peer counts as lost.
    pub peer_timeout: Duration,
    /// Time for which a request that may run at most once waits for its claim.
    pub claim_wait: Duration,
    /// Time for which the end of an answer waits until its bill is stored safely.
    pub bill_wait: Duration,
    /// Limit on the duration of a shutdown.
    pub drain_timeout: Duration,
    /// Time for the load balancer to notice that the entry accepts no more work.
    pub drain_notice: Duration,
    /// Limit on the number of open calls.
    pub max_calls: usize,
    /// Limit on the total size of the request bodies of all open calls.
    pub max_body_bytes: usize,
    /// Lifetime of a session token.
    pub session_lifetime: Duration,
    /// Time without a request after which a session with an id chosen by its caller is dropped.
    pub session_idle_timeout: Duration,
    /// Time before the end of the term from which on no new sessions are accepted.
    pub session_cutoff: Duration,
    /// Answers per second that all entries together sample for rating, in addition to those that are rated before
    /// delivery; 0 if there is no rating service.
    pub ratings_per_second: u32,
    /// Cost of a rating, in millionths of the venture's currency unit.
    pub rating_cost: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    #[doc(hidden)]
    pub request_id_lifetime: Duration,
    #[doc(hidden)]
    pub disabled: Vec<Mechanism>,
}

impl Settings {
    /// Whether a mechanism is enabled.
    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entry: "entry".into(),
            boot: "boot".into(),
            zone: "zone".into(),
            address: "127.0.0.1:8080".into(),
            peers: Vec::new(),
            session_keys: vec![[0; 32]],
            stale_after: Duration::from_secs(3),
            checkpoint_after: Duration::from_secs(60),
            rules_readers: 2,
            peer_timeout: Duration::from_secs(3),
            claim_wait: Duration::from_secs(2),
            bill_wait: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(30),
            drain_notice: Duration::from_secs(1),
            max_calls: 4096,
            max_body_bytes: 32 * 1024 * 1024,
            session_lifetime: Duration::from_secs(24 * 3600),
            session_idle_timeout: Duration::from_secs(1800),
            session_cutoff: Duration::from_secs(3600),
            ratings_per_second: 20,
            rating_cost: 0,
            seed: 1,
            request_id_lifetime: crate::record::REQUEST_ID_LIFETIME,
            disabled: Vec::new(),
        }
    }
}
