//! How often topics are read. The intervals follow from a bound of the deployment: the time after which a draining upstream
//! receives no more requests.

use std::time::Duration;

use comfreyroad::rendezvous;

use crate::id::CallId;
use crate::record::Topic;

/// Time after which an entry that failed to register tries again.
pub(super) const REGISTRATION_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Delay of the first retry of a failed call; doubles with each failure.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay of a retry by a relay, on which the others depend.
pub(super) const MAX_RELAY_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum delay of a retry by another entry, which learns from the relays that the store has recovered.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(3200);
/// Maximum delay of a retry for a topic that was never listed.
pub(super) const MAX_LISTING_BACKOFF: Duration = Duration::from_millis(250);
/// Time after a restoration of the store over which the entries register again.
const REGISTRATION_SPREAD: Duration = Duration::from_millis(1000);
/// Age at which a record is forwarded to relays, which have usually read it from the store by then.
pub(super) const FORWARD_DELAY: Duration = Duration::from_millis(300);

/// Time for which a relay's last frame counts as current. Each relay is asked once a second.
pub(super) const RELAY_FRAME_VALIDITY: Duration = Duration::from_millis(1300);
/// Time beyond an interval and a long poll of the upstreams topic up to which an entry counts as reading the store.
const STORE_ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Maximum deviation of a poll's timeout, as a fraction. Polls that a record has ended at the same time would otherwise end
/// together again, and a record that is written in that moment can miss the next poll of every entry.
const POLL_JITTER: f64 = 0.2;

/// Time after a restoration of the store in which its lost records are written again, counted from when it is noticed. Upstreams
/// report about once a second, and one that has left must not get requests for long; operators have some time more.
pub(super) fn restoration_time(topic: Topic) -> Duration {
    Duration::from_millis(match topic {
        Topic::Upstreams => 1500,
        Topic::Operator | Topic::Status | Topic::Entries => 2400,
    })
}

/// Time after a restoration of the store at which an entry registers again.
pub(super) fn registration_delay(entry: &str) -> Duration {
    REGISTRATION_SPREAD.mul_f64(rendezvous::fraction("", entry))
}

/// Timeout of one long poll by an entry.
pub(super) fn jittered_poll_timeout(topic: Topic, entry: &str, call: CallId) -> Duration {
    let fraction = rendezvous::fraction(&call.to_string(), entry);
    poll_timeout(topic).mul_f64(1.0 + POLL_JITTER * (2.0 * fraction - 1.0))
}

/// Timeout of a long poll: how long the store may hold a read while there is no new record.
fn poll_timeout(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => Duration::from_secs(4),
        Topic::Upstreams => Duration::from_secs(1),
        Topic::Status | Topic::Entries => Duration::from_secs(10),
    }
}

/// Part of the time for a drain to propagate that may pass before the store is read. The rest is for gossip and for requests
/// that are under way.
const READ_SHARE: f64 = 0.45;

/// Minimum time between the starts of two reads. Upstreams write several records a second; other records are rare.
pub(super) fn min_poll_interval(topic: Topic, drain_propagation: Duration) -> Duration {
    match topic {
        Topic::Upstreams => drain_propagation.mul_f64(READ_SHARE),
        Topic::Operator | Topic::Status | Topic::Entries => Duration::from_millis(50),
    }
}

/// Age of the store's last answer up to which an entry counts as reading the store.
pub(super) fn store_answer_validity(drain_propagation: Duration) -> Duration {
    let topic = Topic::Upstreams;
    let longest_poll = poll_timeout(topic).mul_f64(1.0 + POLL_JITTER);
    min_poll_interval(topic, drain_propagation) + longest_poll + STORE_ANSWER_MARGIN
}

/// Age of another entry's answer from the store up to which a relay that has all its records counts as reading the store.
pub(super) fn relayed_answer_validity(drain_propagation: Duration) -> Duration {
    min_poll_interval(Topic::Upstreams, drain_propagation)
}

/// Time after the start in which an entry learns of its peers, before it may take itself for a relay. It has listed the topics
/// and needs no read before the next one would be due.
pub(super) fn role_settle_time(drain_propagation: Duration) -> Duration {
    min_poll_interval(Topic::Upstreams, drain_propagation)
}

/// Whether a topic is polled after it was listed. New entries become known by gossip instead.
pub(super) fn is_polled(topic: Topic) -> bool {
    topic != Topic::Entries
}
