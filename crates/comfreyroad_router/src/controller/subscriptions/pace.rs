//! How often topics are read. Bounds come from the deployment's own: a configuration is in force within 2 s of its
//! publish, and a leaving upstream gets nothing after 2 s.

use std::time::Duration;

use crate::record::Topic;

/// Time after which an entry that could not register tries again.
pub(super) const REGISTER_AGAIN: Duration = Duration::from_secs(2);
/// Time after a failed call before the first retry; doubles with each failure.
pub(super) const BACKOFF: Duration = Duration::from_millis(200);
/// Longest time between two tries.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The same, for a topic that was never read.
pub(super) const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Age at which a record is passed on to relays, which mostly read it from the store themselves.
pub(super) const PASS_ON_AFTER: Duration = Duration::from_millis(300);

/// Age of a relay's last frame up to which its news counts: its turn comes each second.
pub(super) const RELAYED: Duration = Duration::from_millis(1300);
/// Time after the start in which an entry hears of its peers, before it takes itself for a relay: two rounds of gossip.
pub(super) const SETTLE: Duration = Duration::from_millis(900);
/// Age of the store's last answer up to which an entry counts as reading it: one read of upstreams and its wait, and a margin.
pub(super) const ANSWERED: Duration = Duration::from_millis(2300);

/// How long the store may hold a read back while there is nothing new.
pub(super) fn wait(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => Duration::from_secs(4),
        Topic::Upstreams => Duration::from_secs(1),
        Topic::Status | Topic::Entries => Duration::from_secs(10),
    }
}

/// Least time between the starts of two reads. Upstreams write several records a second; the others are rare.
pub(super) fn period(topic: Topic) -> Duration {
    match topic {
        Topic::Upstreams => Duration::from_millis(900),
        Topic::Operator | Topic::Status | Topic::Entries => Duration::from_millis(50),
    }
}

/// Whether a topic is read on once it is listed. Entries tell each other of new ones.
pub(super) fn is_followed(topic: Topic) -> bool {
    topic != Topic::Entries
}
