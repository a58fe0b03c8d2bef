use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::action::Action;
use crate::frame::{Heartbeat, View};
use crate::id::{Address, EntryId, Offset, ZoneId};
use crate::outbox::Outbox;
use crate::record::Stream;
use crate::rendezvous;
use crate::settings::Settings;

/// How long the log may hold a reader's long poll open.
const LONG_POLL: Duration = Duration::from_millis(250);
/// Delay of a reader after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Minimum delay between two reads of an entry that is not a reader; random jitter at most doubles it.
const MIN_READ_DELAY: Duration = Duration::from_millis(1000);
/// Time for peers to send a new entry the rules before it reads them from the log.
const JOIN_DELAY: Duration = Duration::from_millis(300);

/// Reads the rules from the log.
///
/// A few entries of each zone, the readers, keep a long poll open there. The others read the log only if they get no
/// confirmation from peers in time.
#[derive(Debug)]
pub(super) struct Reader {
    entry: EntryId,
    zone: ZoneId,
    readers_per_zone: usize,
    is_reader: bool,
    other_readers: Vec<Address>,
    is_reading: bool,
    not_before: Option<Instant>,
    rng: Rng,
}

impl Reader {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            zone: settings.zone.clone(),
            readers_per_zone: settings.rules_readers,
            is_reader: true,
            other_readers: Vec::new(),
            is_reading: false,
            not_before: None,
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// Whether this entry is one of its zone's readers.
    pub(super) fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Delays the first read to give peers time to answer.
    pub(super) fn delay_for_peers(&mut self, now: Instant) {
        self.not_before = Some(now + JOIN_DELAY);
    }

    /// Determines the readers of the zone: the entries with the highest rendezvous hashes.
    pub(super) fn on_members(&mut self, view: &View) {
        let key = format!("rules/{}", self.zone);
        let members = view.members.values().filter(|beat| beat.zone == self.zone);
        let mut ranked: Vec<_> = members
            .map(|beat| (rendezvous::hash(&key, &beat.entry), beat))
            .collect();
        ranked.sort_unstable_by_key(|(hash, _)| std::cmp::Reverse(*hash));
        ranked.truncate(self.readers_per_zone);
        let is_own = |(_, beat): &(u64, &Heartbeat)| beat.entry == self.entry;
        self.is_reader = ranked.iter().any(is_own);
        ranked.retain(|member| !is_own(member));
        self.other_readers = ranked
            .iter()
            .map(|(_, beat)| beat.address.clone())
            .collect();
    }

    /// A random other reader of this entry's zone.
    pub(super) fn random_other_reader(&mut self) -> Option<Address> {
        self.rng.choice(&self.other_readers).cloned()
    }

    /// Reads the log, unless a read is in progress or it is too early.
    pub(super) fn read(&mut self, now: Instant, from: Offset, out: &mut Outbox) {
        if self.is_reading || self.not_before.is_some_and(|at| at > now) {
            return;
        }
        self.is_reading = true;
        out.act(Action::Read {
            stream: Stream::Rules,
            from,
            wait: if self.is_reader {
                LONG_POLL
            } else {
                Duration::ZERO
            },
        });
    }

    /// Handles an answer of the log; `is_last` if it reached the end of the log.
    pub(super) fn on_answer(&mut self, now: Instant, is_last: bool) {
        self.is_reading = false;
        self.not_before = (is_last && !self.is_reader).then(|| now + self.read_delay());
    }

    /// Handles a failed read.
    pub(super) fn on_failure(&mut self, now: Instant) {
        self.is_reading = false;
        let delay = if self.is_reader {
            RETRY_DELAY
        } else {
            self.read_delay()
        };
        self.not_before = Some(now + delay);
    }

    fn read_delay(&mut self) -> Duration {
        MIN_READ_DELAY + MIN_READ_DELAY.mul_f64(self.rng.f64())
    }
}
