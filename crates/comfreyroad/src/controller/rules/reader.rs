use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::action::Action;
use crate::frame::{Beat, View};
use crate::id::{Address, EntryId, Offset, ZoneId};
use crate::outbox::Outbox;
use crate::record::Stream;
use crate::rendezvous;
use crate::settings::Settings;

/// How long the log may hold a question of a reader open.
const WAIT: Duration = Duration::from_millis(250);
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
    others: Vec<Address>,
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
            others: Vec::new(),
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
        let key = format!("rules/{}", self.zone);
        let members = view.members.values().filter(|beat| beat.zone == self.zone);
        let mut ranked: Vec<_> = members
            .map(|beat| (rendezvous::hash(&key, &beat.entry), beat))
            .collect();
        ranked.sort_unstable_by_key(|(hash, _)| std::cmp::Reverse(*hash));
        ranked.truncate(self.count);
        let is_own = |(_, beat): &(u64, &Beat)| beat.entry == self.entry;
        self.is_reader = ranked.iter().any(is_own);
        ranked.retain(|member| !is_own(member));
        self.others = ranked
            .iter()
            .map(|(_, beat)| beat.address.clone())
            .collect();
    }

    /// Some other reader of this entry's zone, by chance.
    pub(super) fn other(&mut self) -> Option<Address> {
        self.rng.choice(&self.others).cloned()
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
