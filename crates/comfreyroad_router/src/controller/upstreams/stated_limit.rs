//! Division of the rate limit that an upstream states among the entries, without coordination.
//!
//! Answers the load pattern in which upstreams in trouble take only a few requests per second from all entries together, while
//! each entry has as many for them: for each of these upstreams some entries, selected by rendezvous hash, hold a token bucket.

use crate::controller::members::Fleet;

/// Minimum rate of all entries together, in requests per second. Only an answer tells that a limit has ended.
const MIN_RATE: f64 = 0.25;
/// What an upstream tolerates within some seconds: a factor on its limit, and requests in addition.
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_SLACK: f64 = 5.0;
const TOLERANCE_WINDOW_S: f64 = 4.0;
/// Requests left of this for entries that have not heard of the limit yet.
const RESERVE: f64 = 1.0;

/// Refill rate of this entry's bucket for an upstream with a limit, in requests per second; 0 if it holds none. The more entries
/// hold one, the more evenly callers are served, but each full bucket lets through one request more.
pub(super) fn rate(fleet: &Fleet, entry: &str, id: &str, limit: f64) -> f64 {
    let total = limit.max(MIN_RATE);
    let tolerated = TOLERATED_FACTOR * limit * TOLERANCE_WINDOW_S + TOLERATED_SLACK;
    let full_buckets = tolerated - total * TOLERANCE_WINDOW_S - RESERVE;
    let holders = (full_buckets as usize).clamp(1, fleet.entries.len().max(1));
    if fleet.rank(id, entry) >= holders {
        return 0.0;
    }
    total * fleet.live_fraction() / holders as f64
}
