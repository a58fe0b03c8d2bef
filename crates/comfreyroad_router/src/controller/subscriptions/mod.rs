//! Subscriptions to the topics of the store.
//!
//! Each topic is listed once. The relays of a zone then poll it for new records. The other entries receive new records
//! from the relays by gossip, and poll the store themselves while no relay reports. Records from peers count like
//! records from the store: of each key the record with the highest position wins, so their source, order and repetition do
//! not matter.

mod cached;
mod intervals;
mod outage;
mod restoration;
mod subscription;

use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use self::outage::Outage;
use self::subscription::Subscription;
use super::Controller;
use super::members::Fleet;
use crate::frame::{Frame, Peer};
use crate::id::{Address, CallId, Era, Position};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic, position};
use crate::{Action, Event, Settings};

/// Controller of the subscriptions.
#[derive(Debug)]
pub struct Subscriptions {
    own: Peer,
    subscriptions: IndexMap<Topic, Subscription>,
    // Ages up to which answers of the store to this entry, and to other relays, count.
    store_answer_validity: Duration,
    relayed_answer_validity: Duration,
    role_settle_time: Duration,
    // The last report of each peer.
    reports: IndexMap<Address, Report>,
    fleet: Rc<Fleet>,
    // The newest era of the store that is known; `None` before the first one.
    era: Option<Era>,
    // Set while the store does not answer this entry.
    outage: Option<Outage>,
    // When the store last answered this entry on the upstreams, whose registrations lapse in an outage.
    answered_at: Option<Instant>,
    // When the store gave a relay its last answer of which this entry has all records.
    relayed_answer_at: Option<Instant>,
    // Until when a relay keeps this entry up to date.
    relayed_until: Option<Instant>,
    // When the entry knows its peers well enough to tell whether it is a relay.
    role_settles_at: Option<Instant>,
    register_at: Option<Instant>,
}

/// What a peer reports of its subscriptions.
#[derive(Debug)]
struct Report {
    /// The position up to which it knows each topic.
    next_offsets: IndexMap<Topic, Position>,
    /// Whether it reads the store and gets answers.
    reads_store: bool,
}

impl Subscriptions {
    pub(super) fn new(settings: &Settings) -> Self {
        let drain_propagation = settings.drain_propagation;
        let subscription = |topic| {
            let interval = intervals::min_poll_interval(topic, drain_propagation);
            (topic, Subscription::new(topic, interval))
        };
        let subscriptions = Topic::ALL.map(subscription);
        Self {
            own: settings.own.clone(),
            subscriptions: subscriptions.into_iter().collect(),
            store_answer_validity: intervals::store_answer_validity(drain_propagation),
            role_settle_time: intervals::role_settle_time(drain_propagation),
            relayed_answer_validity: intervals::relayed_answer_validity(drain_propagation),
            reports: IndexMap::new(),
            fleet: Rc::default(),
            era: None,
            outage: None,
            answered_at: None,
            relayed_answer_at: None,
            relayed_until: None,
            role_settles_at: None,
            register_at: None,
        }
    }

    /// Whether the store does not answer this entry.
    pub fn is_store_lost(&self) -> bool {
        self.outage.is_some()
    }

    /// The position up to which a topic is known.
    pub fn next_offset(&self, topic: Topic) -> Option<Position> {
        self.subscriptions.get(&topic)?.next_offset()
    }

    /// Whether this entry polls the store: it is a relay, or no relay keeps it up to date.
    fn polls_store(&self, now: Instant) -> bool {
        let is_over = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        let is_relay = self.fleet.is_relay(&self.own.entry);
        is_over(self.role_settles_at) && (is_relay || is_over(self.relayed_until))
    }

    fn on_store_answer(&mut self, now: Instant, topic: Topic, out: &mut Outbox) {
        if topic == Topic::Upstreams {
            self.answered_at = Some(now);
        }
        if self.outage.take().is_some() {
            out.note(Note::new(&note::STORE_RECOVERED));
            out.raise(Event::StoreRecovered);
            // Calls made before may wait on connections that have gone silent.
            self.restart(out);
            for subscription in self.subscriptions.values_mut() {
                subscription.postpone_unrestored(now);
            }
        }
    }

    /// Restarts all calls on new connections.
    fn restart(&mut self, out: &mut Outbox) {
        self.subscriptions
            .values_mut()
            .for_each(Subscription::restart);
        out.act(Action::Reconnect);
    }

    /// Handles a failed call. The connections of the other calls may have gone silent too, so the first failure abandons
    /// all of them.
    fn on_call_failed(&mut self, now: Now, topic: Topic, out: &mut Outbox) {
        let max_backoff = if self.next_offset(topic).is_none() {
            // An entry cannot serve before it has listed a topic.
            intervals::MAX_LISTING_BACKOFF
        } else if self.fleet.is_relay(&self.own.entry) {
            intervals::MAX_RELAY_BACKOFF
        } else {
            intervals::MAX_BACKOFF
        };
        match &mut self.outage {
            Some(outage) => outage.on_failure(now.instant, topic, max_backoff),
            None => {
                self.outage = Some(Outage::new(now.instant, topic, max_backoff));
                out.note(Note::new(&note::STORE_LOST).with("topic", topic.name()));
                out.raise(Event::StoreLost);
            }
        }
        self.restart(out);
    }

    /// Starts the calls that are due, and registers this entry if that is due.
    fn start_due_calls(&mut self, now: Now, out: &mut Outbox) {
        let polls_store = self.polls_store(now.instant);
        if self.outage.is_some() {
            self.start_due_probe(now.instant, polls_store, out);
        } else {
            for (topic, subscription) in &mut self.subscriptions {
                let is_polled = polls_store && intervals::is_polled(*topic);
                subscription.start_due_call(now.instant, &self.own.entry, is_polled, out);
            }
        }
        if self.register_at.is_some_and(|at| at <= now.instant) {
            self.register_at = None;
            out.act(Action::Write {
                topic: Topic::Entries,
                content: Content::Entry(self.own.clone()),
                expected_end: None,
            });
        }
    }

    /// Probes the store during an outage, unless a call is active or this entry needs nothing from the store.
    fn start_due_probe(&mut self, now: Instant, polls_store: bool, out: &mut Outbox) {
        let mut subscriptions = self.subscriptions.values();
        let (Some(outage), false) = (&self.outage, subscriptions.any(Subscription::has_call))
        else {
            return;
        };
        let is_unlisted = |topic: &Topic| self.next_offset(*topic).is_none();
        let is_needed =
            |topic: &Topic| is_unlisted(topic) || (polls_store && intervals::is_polled(*topic));
        let topics: Vec<Topic> = if is_unlisted(&Topic::Operator) {
            // Without a configuration nothing can be served.
            vec![Topic::Operator]
        } else {
            Topic::ALL.into_iter().filter(is_needed).collect()
        };
        let Some(topic) = outage.due_probe(now, &topics) else {
            return;
        };
        if let Some(subscription) = self.subscriptions.get_mut(&topic) {
            subscription.start_call(now, Duration::ZERO, out);
        }
    }

    fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let address = frame.sender.address.clone();
        let report = Report {
            next_offsets: frame.next_offsets.clone(),
            reads_store: frame.store_answer_age.is_some(),
        };
        self.reports.insert(address, report);
        // A peer that has listed no topic yet knows no era.
        if let Some(newest) = frame.next_offsets.values().max().filter(|next| **next > 0) {
            self.on_position(now.instant, *newest, out);
        }
        for (topic, record) in &frame.records {
            if let Some(subscription) = self.subscriptions.get_mut(topic) {
                subscription.learn_from_peer(now.instant, record, out);
            }
        }
        for subscription in self.subscriptions.values_mut() {
            subscription.on_frame(now.instant, frame);
        }
        let from_relay = self.fleet.is_relay(&frame.sender.entry);
        if let Some(age) = frame.store_answer_age
            && from_relay
            && self.is_caught_up_with(frame)
        {
            let answer_at = now.instant.checked_sub(age);
            self.relayed_answer_at = self.relayed_answer_at.max(answer_at);
            if frame.sender.zone == self.own.zone {
                self.relayed_until = Some(now.instant + intervals::RELAY_FRAME_VALIDITY);
            }
        }
    }

    /// Age of the newest answer of the store whose records this entry has, unless it is out of date. A relay that the store
    /// rejects still keeps its zone up to date with the records of other relays.
    fn store_answer_age(&self, now: Instant) -> Option<Duration> {
        let age = |at: Option<Instant>, validity: Duration| {
            let age = at.map(|at| now.saturating_duration_since(at));
            age.filter(|age| *age < validity)
        };
        let own = self.answered_at.filter(|_| self.outage.is_none());
        let own = age(own, self.store_answer_validity);
        let relayed = age(self.relayed_answer_at, self.relayed_answer_validity);
        own.into_iter().chain(relayed).min()
    }

    /// Whether this entry knows all records that the sender of a frame knows.
    fn is_caught_up_with(&self, frame: &Frame) -> bool {
        let mut offsets = frame.next_offsets.iter();
        offsets.all(|(topic, next)| self.next_offset(*topic).unwrap_or(0) >= *next)
    }

    /// Handles the answer to the active call of a topic, and starts the next call if it is due.
    fn on_answer(&mut self, now: Now, topic: Topic, event: &Event, out: &mut Outbox) {
        let is_polled = self.polls_store(now.instant) && intervals::is_polled(topic);
        if let Event::TopicListed { next, .. } = event {
            self.on_position(now.instant, *next, out);
        }
        let Some(subscription) = self.subscriptions.get_mut(&topic) else {
            return;
        };
        match event {
            Event::TopicListed { records, next, .. } => {
                subscription.on_listed(now.instant, records, *next, out);
            }
            Event::TopicRead { records, next, .. } => {
                subscription.on_read(now.instant, records, *next, out);
            }
            Event::RecordsExpired(..) => subscription.on_expired(out),
            _ => {}
        }
        self.on_store_answer(now.instant, topic, out);
        if let Some(subscription) = self.subscriptions.get_mut(&topic) {
            subscription.start_due_call(now.instant, &self.own.entry, is_polled, out);
        }
    }

    fn is_current(&self, topic: Topic, call: CallId) -> bool {
        let subscription = self.subscriptions.get(&topic);
        subscription.is_some_and(|subscription| subscription.is_current(call))
    }

    /// Writes a status, conditional on the end offset of the topic as this entry knows it.
    fn write_status(&self, content: Content, out: &mut Outbox) {
        let topic = Topic::Status;
        // Before the topic was listed, or listed again in the store's present era, its current status is unknown and must not be
        // overwritten.
        let is_current = |next: &Position| self.era == Some(position::era(*next));
        if let Some(next) = self.next_offset(topic).filter(is_current) {
            let expected_end = Some(next);
            out.act(Action::Write {
                topic,
                content,
                expected_end,
            });
        }
    }
}

impl Controller for Subscriptions {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => {
                self.register_at = Some(now.instant);
                self.role_settles_at = Some(now.instant + self.role_settle_time);
                self.start_due_calls(now, out);
            }
            Event::Tick => {
                self.start_due_calls(now, out);
                self.confirm_unrestored(now.instant, out);
            }
            Event::FleetChanged(fleet) => self.fleet = Rc::clone(fleet),
            Event::ProcessPaused => self.restart(out),
            Event::TopicListed { topic, call, .. }
            | Event::TopicRead { topic, call, .. }
            | Event::RecordsExpired(topic, call)
                if self.is_current(*topic, *call) =>
            {
                self.on_answer(now, *topic, event, out);
            }
            Event::StoreFailed(topic, call) if self.is_current(*topic, *call) => {
                self.on_call_failed(now, *topic, out);
            }
            Event::WriteFailed(Topic::Entries) => {
                self.register_at = Some(now.instant + intervals::REGISTRATION_RETRY_INTERVAL);
            }
            // Another entry has written to the topic. Its record must be read before the next write.
            Event::WriteConflict(topic) => {
                if let Some(subscription) = self.subscriptions.get_mut(topic) {
                    subscription.restart();
                }
            }
            Event::FrameReceived(frame) => self.on_frame(now, frame, out),
            Event::StatusDue(status) => self.write_status(Content::Status(status.clone()), out),
            _ => {}
        }
    }

    fn fill_frame(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        frame.store_answer_age = self.store_answer_age(now.instant);
        let report = self.reports.get(to);
        let is_relay = self.fleet.relays().any(|relay| relay.address == *to);
        let reads_store = is_relay && report.is_some_and(|report| report.reads_store);
        for (topic, subscription) in &self.subscriptions {
            frame
                .next_offsets
                .insert(*topic, subscription.next_offset().unwrap_or(0));
            let Some(from) = report.and_then(|report| report.next_offsets.get(topic)) else {
                continue;
            };
            if let Some((records, next)) =
                subscription.changes_since(now.instant, *from, reads_store)
            {
                let records: Vec<(Topic, Record)> =
                    records.into_iter().map(|it| (*topic, it)).collect();
                frame.records.extend(records);
                frame.complete_up_to.insert(*topic, next);
                frame.complete_from.insert(*topic, *from);
            }
        }
    }
}
