//! What was read of the store's topics, by this entry or by its peers.
//!
//! Each topic is listed once. The relays of a zone then read it on, and the other entries have what is new from them, or read
//! it themselves while no relay tells them. What a peer has read counts as read: records have offsets, and of each key the
//! one with the greatest counts, so it does not matter by which way or how often they come.

mod pace;
mod subscription;

use std::rc::Rc;
use std::time::Instant;

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use self::subscription::Subscription;
use super::Controller;
use super::members::Fleet;
use crate::frame::{Frame, Peer};
use crate::id::{Address, CallId, Offset};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic};
use crate::{Action, Event, Settings};

/// Keeps what was read.
#[derive(Debug)]
pub struct Subscriptions {
    own: Peer,
    subscriptions: IndexMap<Topic, Subscription>,
    // What peers said of themselves last.
    told: IndexMap<Address, Told>,
    fleet: Rc<Fleet>,
    is_store_lost: bool,
    // When the store last answered.
    answered_at: Option<Instant>,
    // Until when a relay counts as telling what is new.
    relayed_until: Option<Instant>,
    // When the entry knows whether it is a relay.
    settles_at: Option<Instant>,
    register_at: Option<Instant>,
}

/// What a peer has said of itself.
#[derive(Debug)]
struct Told {
    /// The offsets that it lacks next.
    next: IndexMap<Topic, Offset>,
    /// Whether it reads the store, and gets answers.
    is_store_read: bool,
}

impl Subscriptions {
    pub(super) fn new(settings: &Settings) -> Self {
        let feeds = Topic::ALL.map(|topic| (topic, Subscription::new(topic)));
        Self {
            own: settings.own.clone(),
            subscriptions: feeds.into_iter().collect(),
            told: IndexMap::new(),
            fleet: Rc::default(),
            is_store_lost: false,
            answered_at: None,
            relayed_until: None,
            settles_at: None,
            register_at: None,
        }
    }

    /// Whether the store does not answer this entry.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost
    }

    /// The offset at which a topic was known to end.
    pub fn next(&self, topic: Topic) -> Option<Offset> {
        self.subscriptions.get(&topic)?.next()
    }

    /// Whether this entry reads topics on, as a relay or for want of one.
    fn reads_itself(&self, now: Instant) -> bool {
        let is_over = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        let is_relay = self.fleet.is_relay(&self.own.entry);
        is_over(self.settles_at) && (is_relay || is_over(self.relayed_until))
    }

    fn answered(&mut self, now: Instant, out: &mut Outbox) {
        self.answered_at = Some(now);
        if std::mem::take(&mut self.is_store_lost) {
            out.note(Note::new(&note::STORE_RECOVERED));
            out.raise(Event::StoreRecovered);
            // What was asked before may wait on a connection that gives nothing any more.
            self.restart(out);
        }
    }

    fn restart(&mut self, out: &mut Outbox) {
        self.subscriptions
            .values_mut()
            .for_each(Subscription::restart);
        out.act(Action::Reconnect);
    }

    /// A call failed. The connections of the others may be as silent as its own, so all topics are asked anew.
    fn failed(&mut self, now: Now, topic: Topic, out: &mut Outbox) {
        if !std::mem::replace(&mut self.is_store_lost, true) {
            out.note(Note::new(&note::STORE_LOST).with("topic", topic.name()));
            out.raise(Event::StoreLost);
            self.restart(out);
        }
        if let Some(feed) = self.subscriptions.get_mut(&topic) {
            feed.fail(now.instant);
        }
    }

    fn start_due(&mut self, now: Now, out: &mut Outbox) {
        let reads_itself = self.reads_itself(now.instant);
        for (topic, feed) in &mut self.subscriptions {
            let is_followed = reads_itself && pace::is_followed(*topic);
            feed.start_due(now.instant, is_followed, out);
        }
        if self.register_at.is_some_and(|at| at <= now.instant) {
            self.register_at = None;
            out.act(Action::Write {
                topic: Topic::Entries,
                content: Content::Entry(self.own.clone()),
                at: None,
            });
        }
    }

    fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let address = frame.sender.address.clone();
        let told = Told {
            next: frame.next_offsets.clone(),
            is_store_read: frame.store_answer_age.is_some(),
        };
        self.told.insert(address, told);
        for (topic, record) in &frame.records {
            if let Some(feed) = self.subscriptions.get_mut(topic) {
                feed.learn(now.instant, record.clone(), out);
            }
        }
        for (topic, next) in &frame.complete_up_to {
            if let Some(feed) = self.subscriptions.get_mut(topic) {
                feed.advance(*next);
            }
        }
        let is_near = frame.sender.zone == self.own.zone;
        let is_relayed =
            frame.store_answer_age.is_some() && is_near && self.fleet.is_relay(&frame.sender.entry);
        if is_relayed && self.has_all_of(frame) {
            self.relayed_until = Some(now.instant + pace::RELAYED);
        }
    }

    /// Whether this entry lacks nothing that a frame's sender has read.
    fn has_all_of(&self, frame: &Frame) -> bool {
        let mut read = frame.next_offsets.iter();
        read.all(|(topic, next)| self.next(*topic).unwrap_or(0) >= *next)
    }

    /// Takes an answer of the store.
    fn on_answer(&mut self, now: Now, topic: Topic, event: &Event, out: &mut Outbox) {
        let is_followed = self.reads_itself(now.instant) && pace::is_followed(topic);
        let Some(feed) = self.subscriptions.get_mut(&topic) else {
            return;
        };
        match event {
            Event::TopicListed { records, next, .. } => {
                feed.listed(now.instant, records, *next, out);
            }
            Event::TopicRead { records, next, .. } => feed.read(now.instant, records, *next, out),
            Event::RecordsExpired(..) => feed.expire(out),
            _ => {}
        }
        self.answered(now.instant, out);
        if let Some(feed) = self.subscriptions.get_mut(&topic) {
            feed.start_due(now.instant, is_followed, out);
        }
    }

    fn is_current(&self, topic: Topic, call: CallId) -> bool {
        let feed = self.subscriptions.get(&topic);
        feed.is_some_and(|feed| feed.is_current(call))
    }

    fn publish(&self, content: Content, out: &mut Outbox) {
        let topic = Topic::Status;
        // Without knowing what stands there, nothing is written over it.
        if let Some(next) = self.next(topic) {
            let at = Some(next);
            out.act(Action::Write { topic, content, at });
        }
    }
}

impl Controller for Subscriptions {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => {
                self.register_at = Some(now.instant);
                self.settles_at = Some(now.instant + pace::SETTLE);
                self.start_due(now, out);
            }
            Event::Tick => self.start_due(now, out),
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
                self.failed(now, *topic, out);
            }
            Event::WriteFailed(Topic::Entries) => {
                self.register_at = Some(now.instant + pace::REGISTER_AGAIN);
            }
            // Something was written since: what it is decides what is written next.
            Event::WriteConflict(topic) => {
                if let Some(feed) = self.subscriptions.get_mut(topic) {
                    feed.restart();
                }
            }
            Event::FrameReceived(frame) => self.on_frame(now, frame, out),
            Event::WriteStatus(status) => self.publish(Content::Status(status.clone()), out),
            _ => {}
        }
    }

    fn fill_frame(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let answered = self.answered_at.filter(|_| !self.is_store_lost);
        let age = answered.map(|at| now.instant.saturating_duration_since(at));
        frame.store_answer_age = age.filter(|age| *age < pace::ANSWERED);
        let told = self.told.get(to);
        let is_relay = self.fleet.relays().any(|relay| relay.address == *to);
        let reads_itself = is_relay && told.is_some_and(|told| told.is_store_read);
        for (topic, feed) in &self.subscriptions {
            frame.next_offsets.insert(*topic, feed.next().unwrap_or(0));
            let Some(from) = told.and_then(|told| told.next.get(topic)) else {
                continue;
            };
            if let Some((records, next)) = feed.since(now.instant, *from, reads_itself) {
                let records: Vec<(Topic, Record)> =
                    records.into_iter().map(|it| (*topic, it)).collect();
                frame.records.extend(records);
                frame.complete_up_to.insert(*topic, next);
            }
        }
    }
}
