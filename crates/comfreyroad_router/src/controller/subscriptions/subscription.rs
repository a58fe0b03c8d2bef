use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::cached::Cached;
use super::intervals;
use crate::frame::Frame;
use crate::id::{CallId, Era, Position};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic, position};
use crate::{Action, Event};

/// Maximum number of records of one topic in a frame; further records follow in the next frame.
const MAX_RECORDS_PER_FRAME: usize = 256;
/// Maximum number of cached keys of a topic, including tombstones of removed keys.
const MAX_KEYS: usize = 16 * 1024;

/// Subscription to one topic: a cache of the newest record of each key, and the state of the call to the store.
#[derive(Debug)]
pub(super) struct Subscription {
    topic: Topic,
    min_poll_interval: Duration,
    // The era of the store that is known.
    era: Era,
    // When the keys are removed that the store has not shown since its last restoration.
    unrestored_due_at: Option<Instant>,
    // The position up to which the topic is known; `None` before the first listing.
    next_offset: Option<Position>,
    // The position from which all removals are known. Those from before the first listing are not.
    removals_known_from: Option<Position>,
    records: IndexMap<Arc<str>, Cached>,
    // The active call, and the number of the last one.
    call: Option<CallId>,
    last_call: CallId,
    call_started_at: Option<Instant>,
    next_call_at: Option<Instant>,
}

impl Subscription {
    pub(super) fn new(topic: Topic, min_poll_interval: Duration) -> Self {
        Self {
            topic,
            min_poll_interval,
            era: 0,
            unrestored_due_at: None,
            next_offset: None,
            removals_known_from: None,
            records: IndexMap::new(),
            call: None,
            last_call: 0,
            call_started_at: None,
            next_call_at: None,
        }
    }

    /// The position up to which the topic is known.
    pub(super) fn next_offset(&self) -> Option<Position> {
        self.next_offset
    }

    /// Whether the position in the topic has expired, so that removals may be unknown until it is listed again.
    fn is_expired(&self) -> bool {
        self.removals_known_from.is_some() && self.next_offset.is_none()
    }

    /// Starts a call if one is due: a listing if the topic was not listed yet, or a read if the topic is to be polled.
    pub(super) fn start_due_call(
        &mut self,
        now: Instant,
        entry: &str,
        is_polled: bool,
        out: &mut Outbox,
    ) {
        if self.call.is_some() || self.next_call_at.is_some_and(|at| at > now) {
            return;
        }
        if self.next_offset.is_none() || is_polled {
            let wait = intervals::jittered_poll_timeout(self.topic, entry, self.last_call);
            self.start_call(now, wait, out);
        }
    }

    /// Starts a listing, or a read that the store may hold for a time while there is no new record.
    pub(super) fn start_call(&mut self, now: Instant, wait: Duration, out: &mut Outbox) {
        let topic = self.topic;
        let call = self.last_call + 1;
        let action = match self.next_offset {
            None => Action::List(topic, call),
            Some(from) => Action::Read {
                topic,
                call,
                from,
                wait,
            },
        };
        self.last_call = call;
        self.call = Some(call);
        self.call_started_at = Some(now);
        out.act(action);
    }

    /// Whether a call is active.
    pub(super) fn has_call(&self) -> bool {
        self.call.is_some()
    }

    /// Whether a call is the active one.
    pub(super) fn is_current(&self, call: CallId) -> bool {
        self.call == Some(call)
    }

    /// Abandons the active call, whose answer may be stale or never arrive. A new call is due at once.
    pub(super) fn restart(&mut self) {
        self.call = None;
        self.next_call_at = None;
    }

    /// Discards the position in the topic if it is from before the store was restored. The topic is listed again.
    pub(super) fn on_restored(&mut self, era: Era) {
        if self
            .next_offset
            .is_some_and(|next| position::era(next) < era)
        {
            self.next_offset = None;
            self.restart();
        }
    }

    /// Takes the answer of a listing. Cached keys that are missing from it were removed, unless the store has lost them in a
    /// restoration: those may be written again.
    pub(super) fn on_listed(
        &mut self,
        now: Instant,
        records: &[Record],
        next: Position,
        out: &mut Outbox,
    ) {
        self.learn_all(now, records, out);
        let listed: IndexSet<&str> = records.iter().map(|record| &*record.key).collect();
        let is_missing = |cached: &Cached| {
            let record = &cached.record;
            let is_listed = listed.contains(&*record.key);
            let is_lost = position::era(record.offset) < position::era(next);
            let is_removed = record.content == Content::Removed || is_lost;
            record.offset < next && !is_removed && !is_listed
        };
        let missing = self.records.values().filter(|cached| is_missing(cached));
        let missing: Vec<Arc<str>> = missing.map(|cached| cached.record.key.clone()).collect();
        for key in missing {
            let record = Record {
                offset: next.saturating_sub(1),
                key,
                content: Content::Removed,
            };
            self.learn(now, record, out);
        }
        self.finish_call(now, next, out);
    }

    /// Takes the answer of a read.
    pub(super) fn on_read(
        &mut self,
        now: Instant,
        records: &[Record],
        next: Position,
        out: &mut Outbox,
    ) {
        self.learn_all(now, records, out);
        self.finish_call(now, next, out);
    }

    fn learn_all(&mut self, now: Instant, records: &[Record], out: &mut Outbox) {
        for record in records {
            self.learn(now, record.clone(), out);
        }
    }

    fn finish_call(&mut self, now: Instant, next: Position, out: &mut Outbox) {
        self.advance(now, next);
        if let Some(started_at) = self.call_started_at {
            self.remove_unrestored(now, started_at, out);
        }
        self.call = None;
        self.next_call_at = self.call_started_at.map(|at| at + self.min_poll_interval);
    }

    /// Discards the position in the topic, as the records to be read have expired. The topic is listed again.
    pub(super) fn on_expired(&mut self, out: &mut Outbox) {
        out.note(Note::new(&note::RECORDS_EXPIRED).with("topic", self.topic.name()));
        self.next_offset = None;
        self.call = None;
        self.next_call_at = None;
    }

    /// Takes the position of a peer's frame, if its records hold every change since the one reached here.
    pub(super) fn on_frame(&mut self, now: Instant, frame: &Frame) {
        let known = self.next_offset.unwrap_or(0);
        if let Some(next) = frame.known_up_to(self.topic, known)
            && !self.is_expired()
        {
            self.advance(now, next);
        }
    }

    fn advance(&mut self, now: Instant, next: Position) {
        self.next_offset = self.next_offset.max(Some(next));
        self.removals_known_from.get_or_insert(next);
        let era = position::era(next);
        if era > self.era {
            self.era = era;
            let has_lost = self.lost_keys().next().is_some();
            let due_at = now + intervals::restoration_time(self.topic);
            self.unrestored_due_at = has_lost.then_some(due_at);
        }
    }

    /// The keys that the store has not shown in its present era.
    fn lost_keys(&self) -> impl Iterator<Item = &Arc<str>> {
        let records = self.records.values().map(|cached| &cached.record);
        let is_lost = |record: &&Rc<Record>| {
            position::era(record.offset) < self.era && record.content != Content::Removed
        };
        records.filter(is_lost).map(|record| &record.key)
    }

    /// Gives the keys that the store has lost more time to be written again, after an outage.
    pub(super) fn postpone_unrestored(&mut self, now: Instant) {
        let due_at = &mut self.unrestored_due_at;
        *due_at = due_at.map(|at| at.max(now + intervals::restoration_time(self.topic)));
    }

    /// Asks the store at once when the keys that it has lost are due to be removed: a call that was made before says too little.
    pub(super) fn confirm_unrestored(&mut self, now: Instant, out: &mut Outbox) {
        let is_due = self.unrestored_due_at.is_some_and(|at| at <= now);
        let is_early = self.call_started_at < self.unrestored_due_at;
        if is_due && is_early && self.next_offset.is_some() {
            self.start_call(now, Duration::ZERO, out);
        }
    }

    /// Removes the keys that the store has lost in a restoration and that nobody has written again by its last answer, if that is from
    /// after the time for it.
    pub(super) fn remove_unrestored(&mut self, now: Instant, answer_at: Instant, out: &mut Outbox) {
        if self.next_offset.is_none() || self.unrestored_due_at.is_none_or(|at| at > answer_at) {
            return;
        }
        self.unrestored_due_at = None;
        let lost: Vec<Arc<str>> = self.lost_keys().cloned().collect();
        for key in lost {
            let record = Record {
                // Before all records of this era.
                offset: position::new(self.era, 0).saturating_sub(1),
                key,
                content: Content::Removed,
            };
            self.learn(now, record, out);
        }
    }

    /// Learns a record that a peer forwards, unless it is from before the first listing and missing there: its key has been
    /// removed since.
    pub(super) fn learn_from_peer(&mut self, now: Instant, record: &Record, out: &mut Outbox) {
        // The store has lost it, or has it at another position now.
        if position::era(record.offset) < self.era {
            return;
        }
        let is_unknown = !self.records.contains_key(&record.key);
        let is_older = || {
            self.removals_known_from
                .is_some_and(|it| record.offset < it)
        };
        if is_unknown && is_older() {
            return;
        }
        self.learn(now, record.clone(), out);
    }

    /// Caches a record and announces it, unless the cached record of its key is newer.
    pub(super) fn learn(&mut self, now: Instant, record: Record, out: &mut Outbox) {
        if let Some(known) = self.records.get_mut(&record.key) {
            if known.record.offset >= record.offset {
                return;
            }
            if known.supersedes(&record) {
                known.move_to(record.offset);
                return;
            }
        }
        let known = self.records.get(&record.key);
        let newest_registration = match &record.content {
            Content::Upstream(registration) => Some(registration.ordering_key()),
            _ => known.and_then(|known| known.newest_registration),
        };
        if record.content == Content::Unreadable {
            let note = Note::new(&note::RECORD_UNREADABLE).with("topic", self.topic.name());
            out.note(
                note.with("key", &record.key)
                    .with("offset", position::offset(record.offset)),
            );
        }
        let is_renewal = |known: &&Cached| {
            let is_same_era = position::era(known.record.offset) == position::era(record.offset);
            is_same_era && record.content.is_renewal_of(&known.record.content)
        };
        let renewed = known.filter(is_renewal);
        let changed_offset = renewed.map_or(record.offset, |known| known.changed_offset);
        let record = Rc::new(record);
        let cached = Cached {
            record: Rc::clone(&record),
            changed_offset,
            learned_at: renewed.map_or(now, |known| known.learned_at),
            newest_registration,
        };
        self.records.insert(record.key.clone(), cached);
        if self.records.len() > MAX_KEYS {
            let is_removed = |cached: &Cached| cached.record.content == Content::Removed;
            let removed = self.records.values().position(is_removed);
            removed.map(|index| self.records.shift_remove_index(index));
        }
        out.raise(Event::RecordLearned(self.topic, record));
    }

    /// The records that changed at or after a position, in order, and the position up to which the peer then knows all; `None` if
    /// the peer lacks nothing. A peer that lacks removals which are not known here stays at its position. Recent records are
    /// withheld from a peer that reads the store, as it has probably read them too.
    pub(super) fn changes_since(
        &self,
        now: Instant,
        from: Position,
        reads_store: bool,
    ) -> Option<(Vec<Record>, Position)> {
        let next = self.next_offset.filter(|next| *next > from)?;
        let knows_removals = from == 0 || self.removals_known_from.is_some_and(|it| it <= from);
        // Nothing is withheld from a peer that knows no records yet.
        let is_recent = |it: &&Cached| {
            reads_store && from > 0 && it.learned_at + intervals::FORWARD_DELAY > now
        };
        let changed = self.records.values().filter(|it| it.changed_offset >= from);
        let (recent, mut changed): (Vec<&Cached>, Vec<&Cached>) = changed.partition(is_recent);
        changed.sort_unstable_by_key(|it| it.changed_offset);
        let first_recent = recent
            .iter()
            .map(|it| it.changed_offset)
            .min()
            .unwrap_or(next);
        let first_excess = changed
            .get(MAX_RECORDS_PER_FRAME)
            .map_or(next, |it| it.changed_offset);
        let complete_up_to = first_recent.min(first_excess);
        let forwarded = changed
            .into_iter()
            .take_while(|it| it.changed_offset < complete_up_to);
        let records: Vec<Record> = forwarded.map(|it| (*it.record).clone()).collect();
        let known_up_to = if knows_removals { complete_up_to } else { from };
        (complete_up_to > from).then_some((records, known_up_to))
    }
}
