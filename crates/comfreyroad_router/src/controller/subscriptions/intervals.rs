//! How often topics are read. The intervals follow from two bounds of the deployment: a configuration is active within
//! 2 s of its publication, and a draining upstream receives no requests after 2 s.

use std::time::Duration;

use crate::record::Topic;

/// Time after which an entry that failed to register tries again.
pub(super) const REGISTRATION_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Delay of the first retry of a failed call; doubles with each failure.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay of a retry.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum delay of a retry for a topic that was never listed.
pub(super) const MAX_LISTING_BACKOFF: Duration = Duration::from_millis(250);
/// Age at which a record is forwarded to relays, which have usually read it from the store by then.
pub(super) const FORWARD_DELAY: Duration = Duration::from_millis(300);

/// Time for which a relay's last frame counts as current. Each relay is asked once a second.
pub(super) const RELAY_FRAME_VALIDITY: Duration = Duration::from_millis(1300);
/// Time after the start in which an entry learns of its peers, before it may take itself for a relay: two gossip rounds.
pub(super) const ROLE_SETTLE_TIME: Duration = Duration::from_millis(900);
/// Age of the store's last answer up to which an entry counts as reading the store: one long poll of the upstreams topic,
/// and a margin.
pub(super) const STORE_ANSWER_VALIDITY: Duration = Duration::from_millis(2300);

/// Timeout of a long poll: how long the store may hold a read while there is no new record.
pub(super) fn poll_timeout(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => Duration::from_secs(4),
        Topic::Upstreams => Duration::from_secs(1),
        Topic::Status | Topic::Entries => Duration::from_secs(10),
    }
}

/// Minimum time between the starts of two reads. Upstreams write several records a second; other records are rare.
pub(super) fn min_poll_interval(topic: Topic) -> Duration {
    match topic {
        Topic::Upstreams => Duration::from_millis(900),
        Topic::Operator | Topic::Status | Topic::Entries => Duration::from_millis(50),
    }
}

/// Whether a topic is polled after it was listed. New entries become known by gossip instead.
pub(super) fn is_polled(topic: Topic) -> bool {
    topic != Topic::Entries
}
