use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::action::Action;
use crate::frame::View;
use crate::id::{EntryId, Offset, ZoneId};
use crate::outbox::Outbox;
use crate::record::Stream;
use crate::rendezvous;
use crate::settings::Settings;

/// How long the log may hold a question of a reader open.
const WAIT: Duration = Duration::from_millis(500);
/// Pause of a reader after a failed read.
const PAUSE: Duration = Duration::from_millis(200);
/// Least pause between two reads of an entry that usually learns by peers; up to twice as long.
const REST: Duration = Duration::from_millis(1000);
/// Time for peers to tell a new entry the rules before it reads them from the log.
const JOIN: Duration = Duration::from_millis(300);

/// Reading of the rules from the log.
///
/// A few entries of each zone keep a question open there. The others read only when they are not told in time.
#[derive(Debug)]
pub(super) struct Reader {
    entry: EntryId,
    zone: ZoneId,
    count: usize,
    is_reader: bool,
    is_under_way: bool,
    not_before: Option<Instant>,
    rng: Rng,
}

impl Reader {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            zone: settings.zone.clone(),
            count: settings.readers,
            is_reader: true,
            is_under_way: false,
            not_before: None,
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// Whether this entry is one of its zone's readers.
    pub(super) fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Leaves peers some time to answer first.
    pub(super) fn wait_for_peers(&mut self, now: Instant) {
        self.not_before = Some(now + JOIN);
    }

    /// Settles who reads: the highest rendezvous hashes of the zone.
    pub(super) fn on_members(&mut self, view: &View) {
        self.is_reader = Self::rank(&self.entry, &self.zone, view) < self.count;
    }

    /// Some other reader of this entry's zone, by chance.
    pub(super) fn other(&mut self, view: &View) -> Option<crate::id::Address> {
        let zone = view.members.values().filter(|beat| beat.zone == self.zone);
        let others = zone.filter(|beat| beat.entry != self.entry);
        let readers = others.filter(|beat| Self::rank(&beat.entry, &self.zone, view) < self.count);
        let addresses: Vec<_> = readers.map(|beat| &beat.address).collect();
        self.rng.choice(addresses).cloned()
    }

    fn rank(entry: &EntryId, zone: &ZoneId, view: &View) -> usize {
        let members = view.members.values().filter(|beat| beat.zone == *zone);
        let members = members.map(|beat| &*beat.entry);
        rendezvous::rank(&format!("rules/{zone}"), entry, members)
    }

    /// Asks the log, unless a question is under way or it is too early.
    pub(super) fn read(&mut self, now: Instant, from: Offset, out: &mut Outbox) {
        if self.is_under_way || self.not_before.is_some_and(|at| at > now) {
            return;
        }
        self.is_under_way = true;
        out.act(Action::Read {
            stream: Stream::Rules,
            from,
            wait: if self.is_reader { WAIT } else { Duration::ZERO },
        });
    }

    /// The log has answered; `is_last` where there was no more to read.
    pub(super) fn answered(&mut self, now: Instant, is_last: bool) {
        self.is_under_way = false;
        self.not_before = (is_last && !self.is_reader).then(|| now + self.rest());
    }

    /// The log has not answered.
    pub(super) fn failed(&mut self, now: Instant) {
        self.is_under_way = false;
        let pause = if self.is_reader { PAUSE } else { self.rest() };
        self.not_before = Some(now + pause);
    }

    fn rest(&mut self) -> Duration {
        REST + REST.mul_f64(self.rng.f64())
    }
}
