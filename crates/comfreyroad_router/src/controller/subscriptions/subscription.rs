use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::pace;
use crate::id::{CallId, Incarnation, Offset};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic};
use crate::{Action, Event};

/// Records of a topic in one frame at most; the next frame has more.
const MAX_PASSED: usize = 256;
/// Keys remembered of a topic at most, removed ones among them.
const MAX_KEYS: usize = 16 * 1024;

/// One topic, as far as it was read.
#[derive(Debug)]
pub(super) struct Subscription {
    topic: Topic,
    next: Option<Offset>,
    records: IndexMap<Arc<str>, Kept>,
    // The call under way, and the number of the last one.
    call: Option<CallId>,
    last_call: CallId,
    started: Option<Instant>,
    resumes_at: Option<Instant>,
    failures: u32,
}

/// The newest record of a key.
#[derive(Debug)]
struct Kept {
    record: Rc<Record>,
    // The first offset of what it says; mere renewals are not passed on.
    changed: Offset,
    learned: Instant,
    // The newest registration of an upstream, also of one that is gone.
    order: Option<(Incarnation, u64)>,
}

impl Kept {
    /// Whether a record was overtaken by what is known: a registration that was written before the newest one, or before
    /// its upstream was removed.
    fn has_overtaken(&self, record: &Record) -> bool {
        let Content::Upstream(registration) = &record.content else {
            return false;
        };
        let order = Some(registration.ordering_key());
        let is_removed = self.record.content == Content::Removed;
        order < self.order || (is_removed && order == self.order)
    }
}

impl Subscription {
    pub(super) fn new(topic: Topic) -> Self {
        Self {
            topic,
            next: None,
            records: IndexMap::new(),
            call: None,
            last_call: 0,
            started: None,
            resumes_at: None,
            failures: 0,
        }
    }

    pub(super) fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Starts a call if one is due: a listing where nothing is known yet, or a read if the topic is to be followed.
    pub(super) fn start_due(&mut self, now: Instant, is_followed: bool, out: &mut Outbox) {
        if self.call.is_some() || self.resumes_at.is_some_and(|at| at > now) {
            return;
        }
        let topic = self.topic;
        let call = self.last_call + 1;
        let action = match self.next {
            None => Action::List(topic, call),
            Some(_) if !is_followed => return,
            Some(from) => Action::Read {
                topic,
                call,
                from,
                wait: pace::wait(topic),
            },
        };
        self.last_call = call;
        self.call = Some(call);
        self.started = Some(now);
        out.act(action);
    }

    /// Whether a call is the one under way.
    pub(super) fn is_current(&self, call: CallId) -> bool {
        self.call == Some(call)
    }

    /// Forgets the call under way, whose answer may be old or never come.
    pub(super) fn restart(&mut self) {
        self.call = None;
        self.resumes_at = None;
    }

    pub(super) fn listed(
        &mut self,
        now: Instant,
        records: &[Record],
        next: Offset,
        out: &mut Outbox,
    ) {
        self.learn_all(now, records, out);
        let named: IndexSet<&str> = records.iter().map(|listed| &*listed.key).collect();
        let is_missing = |kept: &Kept| {
            let record = &kept.record;
            let is_named = named.contains(&*record.key);
            record.offset < next && record.content != Content::Removed && !is_named
        };
        let missing = self.records.values().filter(|kept| is_missing(kept));
        let missing: Vec<Arc<str>> = missing.map(|kept| kept.record.key.clone()).collect();
        for key in missing {
            let record = Record {
                offset: next.saturating_sub(1),
                key,
                content: Content::Removed,
            };
            self.learn(now, record, out);
        }
        self.succeed(next);
    }

    pub(super) fn read(
        &mut self,
        now: Instant,
        records: &[Record],
        next: Offset,
        out: &mut Outbox,
    ) {
        self.learn_all(now, records, out);
        self.succeed(next);
    }

    fn learn_all(&mut self, now: Instant, records: &[Record], out: &mut Outbox) {
        for record in records {
            self.learn(now, record.clone(), out);
        }
    }

    fn succeed(&mut self, next: Offset) {
        self.advance(next);
        self.failures = 0;
        self.call = None;
        self.resumes_at = self.started.map(|at| at + pace::period(self.topic));
    }

    /// The records that were to be read are gone: the topic is listed anew.
    pub(super) fn expire(&mut self, out: &mut Outbox) {
        out.note(Note::new(&note::RECORDS_EXPIRED).with("topic", self.topic.name()));
        self.next = None;
        self.call = None;
        self.resumes_at = None;
    }

    pub(super) fn fail(&mut self, now: Instant) {
        let backoff = pace::BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.call = None;
        // An entry that has not read a topic cannot serve, and asks more often.
        let most = if self.next.is_none() {
            pace::MAX_FIRST_BACKOFF
        } else {
            pace::MAX_BACKOFF
        };
        self.resumes_at = Some(now + backoff.min(most));
    }

    /// Everything before an offset is known.
    pub(super) fn advance(&mut self, next: Offset) {
        self.next = self.next.max(Some(next));
    }

    /// Takes a record, if it is newer than what is known of its key.
    pub(super) fn learn(&mut self, now: Instant, record: Record, out: &mut Outbox) {
        let known = self.records.get(&record.key);
        let is_late =
            |known: &Kept| known.record.offset >= record.offset || known.has_overtaken(&record);
        if known.is_some_and(is_late) {
            return;
        }
        let order = match &record.content {
            Content::Upstream(registration) => Some(registration.ordering_key()),
            _ => known.and_then(|known| known.order),
        };
        if record.content == Content::Unreadable {
            let note = Note::new(&note::RECORD_UNREADABLE).with("topic", self.topic.name());
            out.note(note.with("key", &record.key).with("offset", record.offset));
        }
        let renewed = known.filter(|known| record.content.is_renewal_of(&known.record.content));
        let changed = renewed.map_or(record.offset, |known| known.changed);
        let record = Rc::new(record);
        let kept = Kept {
            record: Rc::clone(&record),
            changed,
            learned: renewed.map_or(now, |known| known.learned),
            order,
        };
        self.records.insert(record.key.clone(), kept);
        if self.records.len() > MAX_KEYS {
            let is_removed = |kept: &Kept| kept.record.content == Content::Removed;
            let removed = self.records.values().position(is_removed);
            removed.map(|index| self.records.shift_remove_index(index));
        }
        out.raise(Event::RecordLearned(self.topic, record));
    }

    /// What has changed from an offset on, in order, and up to where that is all; none where a peer lacks nothing. One that
    /// reads the topic itself is not told what it is likely to have read as well.
    pub(super) fn since(
        &self,
        now: Instant,
        from: Offset,
        reads_itself: bool,
    ) -> Option<(Vec<Record>, Offset)> {
        let next = self.next.filter(|next| *next > from)?;
        // One that knows nothing yet is told at once.
        let is_new =
            |it: &&Kept| reads_itself && from > 0 && it.learned + pace::PASS_ON_AFTER > now;
        let lacked = self.records.values().filter(|it| it.changed >= from);
        let (new, mut lacked): (Vec<&Kept>, Vec<&Kept>) = lacked.partition(is_new);
        lacked.sort_unstable_by_key(|it| it.changed);
        let first_new = new.iter().map(|it| it.changed).min().unwrap_or(next);
        let first_left = lacked.get(MAX_PASSED).map_or(next, |it| it.changed);
        let complete = first_new.min(first_left);
        let passed = lacked.into_iter().take_while(|it| it.changed < complete);
        let records: Vec<Record> = passed.map(|it| (*it.record).clone()).collect();
        (complete > from).then_some((records, complete))
    }
}
