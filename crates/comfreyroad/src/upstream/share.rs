use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time after which a new owner no longer waits for what the old one has in flight.
const IN_FLIGHT: Duration = Duration::from_secs(120);
/// Sendings remembered at most.
const RECENT: usize = 64;
/// Time for an upstream to stop what was cancelled.
const LINGER: Duration = Duration::from_millis(500);

/// The slots of a starting upstream that belong to this entry, and what it has sent there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The slots, each with the moment since which the view makes this entry its owner.
    pub slots: IndexMap<u32, Instant>,
    /// The newest moment at which the upstream is known to have had nothing to do.
    pub idle_at: Option<Instant>,
    recent: VecDeque<Instant>,
    sent: u32,
    over_at: Option<Instant>,
}

impl Share {
    /// Slots whose former owner must have noticed and whose former owner's requests must be over.
    pub fn usable(
        &self,
        now: Instant,
        settle: Duration,
        waits_for_flight: bool,
    ) -> impl Iterator<Item = u32> {
        let is_usable = move |since: Instant| {
            let noticed = since + settle;
            let is_over = !waits_for_flight
                || now >= noticed + IN_FLIGHT
                || self.idle_at.is_some_and(|at| at >= noticed);
            now >= noticed && is_over
        };
        let slots = self.slots.iter();
        slots
            .filter(move |(_, since)| is_usable(**since))
            .map(|(slot, _)| *slot)
    }

    /// Requests that may still run there, those among them that were cancelled a moment ago.
    pub fn running(&self, in_flight: u32) -> u32 {
        self.sent.max(in_flight)
    }

    /// Requests sent after the newest report was true.
    pub fn unreported(&self) -> u32 {
        self.recent.len() as u32
    }

    pub(crate) fn send(&mut self, now: Instant) {
        self.sent = self.sent.saturating_add(1);
        self.recent.push_back(now);
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }

    /// A report was true at a moment.
    pub(crate) fn report(&mut self, at: Instant, is_idle: bool) {
        if is_idle {
            self.idle_at = self.idle_at.max(Some(at));
        }
        self.recent.retain(|sent| *sent > at);
    }

    pub(crate) fn end(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Counts what was cancelled as over after a time.
    pub(crate) fn settle(&mut self, now: Instant, in_flight: u32) {
        if self.sent <= in_flight {
            (self.sent, self.over_at) = (in_flight, None);
            return;
        }
        let over_at = *self.over_at.get_or_insert(now + LINGER);
        if over_at <= now {
            (self.sent, self.over_at) = (in_flight, None);
        }
    }
}
