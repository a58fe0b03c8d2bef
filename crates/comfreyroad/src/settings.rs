//! What an entry is told at its start.

use std::time::Duration;

use crate::id::{Address, BootId, EntryId, ZoneId};
use crate::mechanism::Mechanism;

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry.
    pub entry: EntryId,
    /// This start of it.
    pub boot: BootId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// IP number and port at which peers and callers reach it.
    pub address: Address,
    /// Peers to begin with.
    pub peers: Vec<Address>,
    /// Keys of session tokens, the newest first.
    pub session_keys: Vec<[u8; 32]>,
    /// Time without confirmation after which the rules count as stale.
    pub stale_after: Duration,
    /// Time after which the record that holds the rules in force is repeated on the log.
    pub checkpoint_after: Duration,
    /// Entries of each zone that read the rules from the log; the others learn of them by peers.
    pub readers: usize,
    /// Time without a heartbeat after which a peer counts as lost.
    pub peer_timeout: Duration,
    /// Time for which a request that may run once at most waits for its claim.
    pub claim_wait: Duration,
    /// Time for which the end of an answer waits for its bill to be safe.
    pub bill_wait: Duration,
    /// Time that a shutdown may take.
    pub drain_timeout: Duration,
    /// Time for the balancer to see that the entry takes no more work.
    pub drain_notice: Duration,
    /// Calls that may be under way at once.
    pub max_calls: usize,
    /// Bytes that the requests of all open calls may hold.
    pub max_body_bytes: usize,
    /// Time for which a session token is good.
    pub session_life: Duration,
    /// Time without a request after which a session known by the caller's own id is forgotten.
    pub session_idle: Duration,
    /// Time before the end of the term in which no session begins.
    pub session_cutoff: Duration,
    /// Answers that all entries together have rated in a second, beside those that are rated before they are delivered; 0
    /// where there is no rating service.
    pub ratings: u32,
    /// Cost of a rating, in millionths of the venture's currency.
    pub rating_cost: u64,
    /// Seed of random choices.
    pub seed: u64,
    #[doc(hidden)]
    pub request_id_lifetime: Duration,
    #[doc(hidden)]
    pub disabled: Vec<Mechanism>,
}

impl Settings {
    /// Whether a mechanism is at work.
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
            readers: 2,
            peer_timeout: Duration::from_secs(3),
            claim_wait: Duration::from_secs(2),
            bill_wait: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(30),
            drain_notice: Duration::from_secs(1),
            max_calls: 4096,
            max_body_bytes: 32 * 1024 * 1024,
            session_life: Duration::from_secs(24 * 3600),
            session_idle: Duration::from_secs(1800),
            session_cutoff: Duration::from_secs(3600),
            ratings: 20,
            rating_cost: 0,
            seed: 1,
            request_id_lifetime: crate::record::REQUEST_ID_LIFETIME,
            disabled: Vec::new(),
        }
    }
}
