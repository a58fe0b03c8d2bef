use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::Event;
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::id::{BatchId, Generation, Offset};
use comfreyroad::record::{Bill, Record, Stream};
use comfreyroad::rules::{History, Verdict};

use super::journal::{Accepted, Hold};
use super::node::Instance;
use super::{Bench, Step};

/// Time after which an unanswered call to the log counts as failed.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time until a late append is stored.
const LATE_APPEND_DELAY: Duration = Duration::from_millis(3_200);

/// The simulated log service.
#[derive(Default)]
pub(crate) struct Log {
    /// Whether all appends and reads fail.
    pub(crate) outage: bool,
    /// Latency added in each direction.
    pub(crate) extra_latency: Duration,
    /// Number of next appends that are stored without an acknowledgement.
    pub(crate) lost_acks: u32,
    /// Number of next appends that are stored only after the writer has timed out.
    pub(crate) late_appends: u32,
    /// Number of next appends that are refused because of the rate limit.
    pub(crate) refused_appends: u32,
    /// Retention of records; `None` keeps them forever.
    pub(crate) retention: Option<Duration>,
    streams: [Vec<Stored>; Stream::ALL.len()],
    polls: Vec<Poll>,
    history: History,
}

/// A record and the time at which it was stored.
struct Stored {
    at: SystemTime,
    record: Rc<Record>,
}

/// A pending long-poll read.
#[derive(Clone, Copy, PartialEq)]
struct Poll {
    instance: Instance,
    stream: Stream,
    from: Offset,
    requested_at: Instant,
}

impl Log {
    /// Returns the generation in force by the order of the log.
    pub(crate) fn generation(&self) -> Generation {
        self.history.generation()
    }

    /// Returns all bills in log order, including duplicates that do not count.
    pub(crate) fn bills(&self) -> impl Iterator<Item = &Bill> {
        let stored = self.streams[Stream::Ledger as usize].iter();
        stored.filter_map(|stored| match &*stored.record {
            Record::Bill(bill) => Some(bill),
            _ => None,
        })
    }

    /// Returns the number of checkpoints of the rules.
    pub(crate) fn checkpoints(&self) -> usize {
        let stored = self.streams[Stream::Rules as usize].iter();
        let is_checkpoint = |stored: &&Stored| matches!(*stored.record, Record::Checkpoint { .. });
        stored.filter(is_checkpoint).count()
    }

    /// Returns the offset of the oldest record that is still retained at a time.
    fn oldest(&self, stream: Stream, now: SystemTime) -> Offset {
        let is_expired = |stored: &&Stored| {
            self.retention
                .is_some_and(|retention| stored.at + retention < now)
        };
        let stored = self.streams[stream as usize].iter();
        stored.take_while(is_expired).count() as Offset
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
            requested_at: poll.requested_at,
            from: poll.from,
            oldest,
            next: self.streams[index].len() as Offset,
            entries: numbered.skip(first as usize).map(entry).collect(),
        }
    }
}

impl Bench {
    /// Appends an operator's publish. Returns its offset and verdict, or `None` during a log outage.
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
        let (offset, verdict) = self.store_record(Stream::Rules, &Rc::new(record));
        self.wake_polls(Stream::Rules);
        self.reached(Step::PublishAppended, 0, None, None);
        Some((offset, verdict?))
    }

    pub(super) fn store_record(
        &mut self,
        stream: Stream,
        record: &Rc<Record>,
    ) -> (Offset, Option<Verdict>) {
        let at = self.now.system;
        let offset = self.log.store(stream, at, Rc::clone(record));
        if stream != Stream::Rules {
            return (offset, None);
        }
        let verdict = self.log.history.feed(offset, at, record);
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
            && let Some(rules) = self.log.history.in_force()
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
        instance: Instance,
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
            self.reached(step, instance.node, None, None);
        }
        let wait = self.latency() + self.log.extra_latency;
        self.after(wait, move |bench| {
            bench.on_append(instance, batch, stream, &records);
        });
    }

    fn on_append(
        &mut self,
        instance: Instance,
        batch: BatchId,
        stream: Stream,
        records: &[Rc<Record>],
    ) {
        if self.network.log_requests_lost.contains(&instance.node) {
            return self.deliver_after(instance, TIMEOUT, Event::AppendUnclear(batch));
        }
        if self.log.late_appends > 0 {
            self.log.late_appends -= 1;
            let records = records.to_vec();
            self.after(LATE_APPEND_DELAY, move |bench| {
                records
                    .iter()
                    .for_each(|record| _ = bench.store_record(stream, record));
                bench.wake_polls(stream);
            });
            return self.deliver_after(instance, TIMEOUT, Event::AppendUnclear(batch));
        }
        let wait = self.latency() + self.log.extra_latency;
        if self.log.outage || self.log.refused_appends > 0 {
            self.log.refused_appends = self.log.refused_appends.saturating_sub(1);
            return self.deliver_after(instance, wait, Event::AppendRefused(batch));
        }
        let offsets: Vec<Offset> = records
            .iter()
            .map(|record| self.store_record(stream, record).0)
            .collect();
        let first = offsets.first().copied().unwrap_or_default();
        let step = match stream {
            Stream::Claims => Some(Step::ClaimAppended),
            Stream::Ledger => Some(Step::BillAppended),
            _ => None,
        };
        if let Some(step) = step {
            self.reached(step, instance.node, None, None);
        }
        self.wake_polls(stream);
        let is_lost =
            self.log.lost_acks > 0 || self.network.log_replies_lost.contains(&instance.node);
        self.log.lost_acks = self.log.lost_acks.saturating_sub(1);
        if is_lost {
            return self.deliver_after(instance, TIMEOUT, Event::AppendUnclear(batch));
        }
        self.deliver_after(instance, wait, Event::Appended { batch, first });
    }

    pub(super) fn read(
        &mut self,
        instance: Instance,
        stream: Stream,
        from: Offset,
        hold: Duration,
    ) {
        let poll = Poll {
            instance,
            stream,
            from,
            requested_at: self.now.instant,
        };
        let wait = self.latency() + self.log.extra_latency;
        self.after(wait, move |bench| bench.on_read(poll, hold));
    }

    fn on_read(&mut self, poll: Poll, hold: Duration) {
        let is_ready = !self.log.page(&poll, self.now.system).entries.is_empty();
        if is_ready || self.is_log_unreachable(poll.instance) || self.log.outage {
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

    pub(super) fn wake_polls(&mut self, stream: Stream) {
        let polls = std::mem::take(&mut self.log.polls);
        let (woken, rest) = polls.into_iter().partition(|poll| poll.stream == stream);
        self.log.polls = rest;
        let woken: Vec<Poll> = woken;
        for poll in woken {
            self.answer_poll(poll);
        }
    }

    fn is_log_unreachable(&self, instance: Instance) -> bool {
        self.network.log_requests_lost.contains(&instance.node)
            || self.network.log_replies_lost.contains(&instance.node)
    }

    fn answer_poll(&mut self, poll: Poll) {
        if self.is_log_unreachable(poll.instance) {
            return self.deliver_after(poll.instance, TIMEOUT, Event::ReadFailed(poll.stream));
        }
        let wait = self.latency() + self.log.extra_latency;
        if self.log.outage {
            return self.deliver_after(poll.instance, wait, Event::ReadFailed(poll.stream));
        }
        let page = self.log.page(&poll, self.now.system);
        self.deliver_after(poll.instance, wait, Event::Read(page));
    }

    /// Delivers an event to an entry after a delay.
    pub(super) fn deliver_after(&mut self, instance: Instance, wait: Duration, event: Event) {
        self.after(wait, move |bench| bench.deliver(instance, event));
    }
}
