use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::Event;
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::id::{BatchId, Generation, Offset};
use comfreyroad::record::{Bill, Record, Stream};
use comfreyroad::rules::{History, Verdict};

use super::journal::{Accepted, Hold};
use super::node::Post;
use super::{Bench, Step};

/// Time after which a question without an answer counts as failed.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time until a late append lands.
const LATE: Duration = Duration::from_millis(3_200);

/// The log service.
#[derive(Default)]
pub(crate) struct Log {
    /// Nothing is taken and nothing is read.
    pub(crate) outage: bool,
    /// Added to each way.
    pub(crate) slow: Duration,
    /// Appends yet to be taken without the writer hearing of it.
    pub(crate) lose_acks: u32,
    /// Appends yet to be taken only long after the writer has given them up.
    pub(crate) late: u32,
    /// Appends yet to be refused for their rate.
    pub(crate) refuse: u32,
    /// How long a record is kept; `None` for good.
    pub(crate) keep: Option<Duration>,
    streams: [Vec<Stored>; Stream::ALL.len()],
    polls: Vec<Poll>,
    truth: History,
}

/// A record and when it was taken.
struct Stored {
    at: SystemTime,
    record: Rc<Record>,
}

/// A question that the log holds open.
#[derive(Clone, Copy, PartialEq)]
struct Poll {
    post: Post,
    stream: Stream,
    from: Offset,
    asked: Instant,
}

impl Log {
    /// The generation in force by the log's order.
    pub(crate) fn generation(&self) -> Generation {
        self.truth.generation()
    }

    /// All bills in their order, the ones that do not count among them.
    pub(crate) fn bills(&self) -> impl Iterator<Item = &Bill> {
        let stored = self.streams[Stream::Ledger as usize].iter();
        stored.filter_map(|stored| match &*stored.record {
            Record::Bill(bill) => Some(bill),
            _ => None,
        })
    }

    /// How often the rules in force were repeated.
    pub(crate) fn checkpoints(&self) -> usize {
        let stored = self.streams[Stream::Rules as usize].iter();
        let is_it = |stored: &&Stored| matches!(*stored.record, Record::Checkpoint { .. });
        stored.filter(is_it).count()
    }

    /// The oldest record still kept, as seen at a time.
    fn oldest(&self, stream: Stream, now: SystemTime) -> Offset {
        let is_gone = |stored: &&Stored| self.keep.is_some_and(|keep| stored.at + keep < now);
        let stored = self.streams[stream as usize].iter();
        stored.take_while(is_gone).count() as Offset
    }

    fn store(&mut self, stream: Stream, at: SystemTime, record: Rc<Record>) -> Offset {
        let stored = &mut self.streams[stream as usize];
        stored.push(Stored { at, record });
        stored.len() as Offset - 1
    }

    fn page(&self, poll: &Poll, now: SystemTime) -> Page {
        let index = poll.stream as usize;
        let oldest = self.oldest(poll.stream, now);
        let first = poll.from.max(oldest);
        let numbered = (0..).zip(&self.streams[index]);
        let entry = |(offset, stored): (Offset, &Stored)| LogEntry {
            offset,
            at: stored.at,
            record: Some((*stored.record).clone()),
        };
        Page {
            stream: poll.stream,
            requested_at: poll.asked,
            from: poll.from,
            oldest,
            next: self.streams[index].len() as Offset,
            entries: numbered.skip(first as usize).map(entry).collect(),
        }
    }
}

impl Bench {
    /// An operator's publish: its offset and what it came to; `None` where the log does not take it.
    pub(crate) fn publish(
        &mut self,
        by: &str,
        after: u64,
        text: &str,
    ) -> Option<(Offset, Verdict)> {
        if self.log.outage {
            return None;
        }
        let record = Record::Publish {
            by: by.into(),
            after,
            text: text.into(),
        };
        let (offset, verdict) = self.take(Stream::Rules, &Rc::new(record));
        self.wake(Stream::Rules);
        self.reached(Step::PublishAppended, 0, None, None);
        Some((offset, verdict?))
    }

    pub(super) fn take(
        &mut self,
        stream: Stream,
        record: &Rc<Record>,
    ) -> (Offset, Option<Verdict>) {
        let at = self.now.system;
        let offset = self.log.store(stream, at, Rc::clone(record));
        if stream != Stream::Rules {
            return (offset, None);
        }
        let verdict = self.log.truth.feed(offset, at, record);
        if let Record::Hold {
            version,
            generation,
            ..
        } = &**record
        {
            self.journal.holds.push(Hold {
                at: self.now.instant,
                version: version.clone(),
                is_lifted: *generation < self.log.generation(),
            });
        }
        if matches!(verdict, Some(Verdict::Accepted { .. }))
            && let Some(rules) = self.log.truth.in_force()
        {
            self.journal.accepted.push(Accepted {
                at: self.now.instant,
                generation: rules.generation,
                rules: rules.rules.clone(),
            });
        }
        (offset, verdict)
    }

    pub(super) fn append(
        &mut self,
        post: Post,
        batch: BatchId,
        stream: Stream,
        records: Vec<Rc<Record>>,
    ) {
        let step = match stream {
            Stream::Claims => Some(Step::Claiming),
            Stream::Ledger => Some(Step::Billing),
            _ => None,
        };
        if let Some(step) = step {
            self.reached(step, post.node, None, None);
        }
        let wait = self.latency() + self.log.slow;
        self.after(wait, move |bench| {
            bench.on_append(post, batch, stream, &records);
        });
    }

    fn on_append(&mut self, post: Post, batch: BatchId, stream: Stream, records: &[Rc<Record>]) {
        if self.wire.log_cut.contains(&post.node) {
            return self.answer(post, TIMEOUT, Event::AppendUnclear(batch));
        }
        if self.log.late > 0 {
            self.log.late -= 1;
            let records = records.to_vec();
            self.after(LATE, move |bench| {
                records
                    .iter()
                    .for_each(|record| _ = bench.take(stream, record));
                bench.wake(stream);
            });
            return self.answer(post, TIMEOUT, Event::AppendUnclear(batch));
        }
        let wait = self.latency() + self.log.slow;
        if self.log.outage || self.log.refuse > 0 {
            self.log.refuse = self.log.refuse.saturating_sub(1);
            return self.answer(post, wait, Event::AppendRefused(batch));
        }
        let offsets: Vec<Offset> = records
            .iter()
            .map(|record| self.take(stream, record).0)
            .collect();
        let first = offsets.first().copied().unwrap_or_default();
        let step = match stream {
            Stream::Claims => Some(Step::ClaimAppended),
            Stream::Ledger => Some(Step::BillAppended),
            _ => None,
        };
        if let Some(step) = step {
            self.reached(step, post.node, None, None);
        }
        self.wake(stream);
        let is_lost = self.log.lose_acks > 0 || self.wire.log_deaf.contains(&post.node);
        self.log.lose_acks = self.log.lose_acks.saturating_sub(1);
        if is_lost {
            return self.answer(post, TIMEOUT, Event::AppendUnclear(batch));
        }
        self.answer(post, wait, Event::Appended { batch, first });
    }

    pub(super) fn read(&mut self, post: Post, stream: Stream, from: Offset, hold: Duration) {
        let poll = Poll {
            post,
            stream,
            from,
            asked: self.now.instant,
        };
        let wait = self.latency() + self.log.slow;
        self.after(wait, move |bench| bench.on_read(poll, hold));
    }

    fn on_read(&mut self, poll: Poll, hold: Duration) {
        let is_ready = !self.log.page(&poll, self.now.system).entries.is_empty();
        if is_ready || self.is_log_lost(poll.post) || self.log.outage {
            return self.answer_poll(poll);
        }
        self.log.polls.push(poll);
        self.after(hold, move |bench| {
            let count = bench.log.polls.len();
            bench.log.polls.retain(|open| *open != poll);
            if bench.log.polls.len() < count {
                bench.answer_poll(poll);
            }
        });
    }

    pub(super) fn wake(&mut self, stream: Stream) {
        let polls = std::mem::take(&mut self.log.polls);
        let (woken, rest) = polls.into_iter().partition(|poll| poll.stream == stream);
        self.log.polls = rest;
        let woken: Vec<Poll> = woken;
        for poll in woken {
            self.answer_poll(poll);
        }
    }

    fn is_log_lost(&self, post: Post) -> bool {
        self.wire.log_cut.contains(&post.node) || self.wire.log_deaf.contains(&post.node)
    }

    fn answer_poll(&mut self, poll: Poll) {
        if self.is_log_lost(poll.post) {
            return self.answer(poll.post, TIMEOUT, Event::ReadFailed(poll.stream));
        }
        let wait = self.latency() + self.log.slow;
        if self.log.outage {
            return self.answer(poll.post, wait, Event::ReadFailed(poll.stream));
        }
        let page = self.log.page(&poll, self.now.system);
        self.answer(poll.post, wait, Event::Read(page));
    }

    /// Hands an event to an entry after a while.
    pub(super) fn answer(&mut self, post: Post, wait: Duration, event: Event) {
        self.after(wait, move |bench| bench.deliver(post, event));
    }
}
