use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time after which a new owner of a slot no longer waits for the requests of the previous owner.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(120);
/// Limit on the number of sent requests whose times are kept.
const MAX_RECENT: usize = 64;
/// Time that an upstream may take to stop a cancelled request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// The slots of a starting upstream that belong to this entry, and the requests that it has sent there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// The slots, each with the time since when the membership view makes this entry its owner.
    pub slots: IndexMap<u32, Instant>,
    /// The latest time at which the upstream is known to have been idle.
    pub idle_at: Option<Instant>,
    recent: VecDeque<Instant>,
    sent: u32,
    cancelled_until: Option<Instant>,
}

impl Allocation {
    /// The slots that can be used: the previous owner has had time to notice the change, and its requests have ended.
    pub fn usable_slots(
        &self,
        now: Instant,
        settling_time: Duration,
        waits_for_in_flight: bool,
    ) -> impl Iterator<Item = u32> {
        let is_usable = move |since: Instant| {
            let settled_at = since + settling_time;
            let is_over = !waits_for_in_flight
                || now >= settled_at + IN_FLIGHT_TIMEOUT
                || self.idle_at.is_some_and(|at| at >= settled_at);
            now >= settled_at && is_over
        };
        let slots = self.slots.iter();
        slots
            .filter(move |(_, since)| is_usable(**since))
            .map(|(slot, _)| *slot)
    }

    /// Requests that may still run there, including those that were cancelled just now.
    pub fn running(&self, in_flight: u32) -> u32 {
        self.sent.max(in_flight)
    }

    /// Requests sent after the time of the newest report.
    pub fn unreported(&self) -> u32 {
        self.recent.len() as u32
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        self.sent = self.sent.saturating_add(1);
        self.recent.push_back(now);
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    /// Applies a report that describes the upstream at a given time.
    pub(crate) fn record_report(&mut self, at: Instant, is_idle: bool) {
        if is_idle {
            self.idle_at = self.idle_at.max(Some(at));
        }
        self.recent.retain(|sent| *sent > at);
    }

    pub(crate) fn record_end(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Counts cancelled requests as ended after [`CANCEL_TIMEOUT`].
    pub(crate) fn expire_cancelled(&mut self, now: Instant, in_flight: u32) {
        if self.sent <= in_flight {
            (self.sent, self.cancelled_until) = (in_flight, None);
            return;
        }
        let cancelled_until = *self.cancelled_until.get_or_insert(now + CANCEL_TIMEOUT);
        if cancelled_until <= now {
            (self.sent, self.cancelled_until) = (in_flight, None);
        }
    }
}
