//! The upstreams: what they say of themselves, and what this entry has seen of them.

mod cold;
mod outcomes;
mod requirements;
mod selection;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use self::cold::Cold;
use super::Controller;
use super::members::Fleet;
use crate::configuration::Configuration;
use crate::frame::Frame;
use crate::id::{Address, EntryId, ModelId, Offset, PoolId, UpstreamId, ZoneId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic};
use crate::upstream::{PrefillSpeed, Registration, Upstream, UpstreamStage};
use crate::{Event, Settings};

pub(crate) use outcomes::FirstEvent;
pub use requirements::{Requirements, VersionConstraint};

/// Time after the store's return in which registrations that lapsed meanwhile come back: about two seconds by the
/// platform's word, and a margin for this entry's own read.
const RETURN: Duration = Duration::from_millis(2400);

/// Time for which a peer's word counts that the store answers it: some turns of gossip.
const ANSWERS: Duration = Duration::from_secs(3);

/// Keeps the upstreams.
#[derive(Debug)]
pub struct Upstreams {
    entry: EntryId,
    zone: ZoneId,
    known: IndexMap<UpstreamId, Upstream>,
    configuration: Option<Arc<Configuration>>,
    fleet: Rc<Fleet>,
    cold: Cold,
    readings: IndexMap<(PoolId, Option<ModelId>), PrefillSpeed>,
    // Since when the store does not answer this entry.
    store_lost: Option<Instant>,
    lapses_until: Option<Instant>,
    // Until when the store counts as answering others.
    answers_others_until: Option<Instant>,
}

impl Upstreams {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.own.entry.clone(),
            zone: settings.own.zone.clone(),
            known: IndexMap::new(),
            configuration: None,
            fleet: Rc::default(),
            cold: Cold::new(settings),
            readings: IndexMap::new(),
            store_lost: None,
            lapses_until: None,
            answers_others_until: None,
        }
    }

    /// The upstreams that are known.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.known.values()
    }

    fn on_record(&mut self, now: Instant, record: &Record, out: &mut Outbox) {
        let id: UpstreamId = record.key.clone();
        match &record.content {
            Content::Upstream(registration) => {
                self.register(now, id, record.offset, registration, out);
            }
            _ => self.remove(now, &id, out),
        }
    }

    fn register(
        &mut self,
        now: Instant,
        id: UpstreamId,
        offset: Offset,
        registration: &Registration,
        out: &mut Outbox,
    ) {
        let Some(known) = self.known.get_mut(&id) else {
            let note = Note::new(&note::UPSTREAM_ADDED).with("upstream", &id);
            let note = note.with("pool", &registration.pool);
            out.note(note.with("version", &registration.version));
            let upstream = Upstream::new(now, id.clone(), offset, registration.clone());
            self.known.insert(id, upstream);
            return;
        };
        let was_draining = known.registration.stage == UpstreamStage::Draining;
        let was_cold = known.is_cold(now);
        known.update(now, offset, registration.clone());
        if registration.stage == UpstreamStage::Draining && !was_draining {
            out.note(Note::new(&note::UPSTREAM_DRAINING).with("upstream", &id));
        }
        if known.is_cold(now) && !was_cold {
            let note = Note::new(&note::UPSTREAM_COLD).with("upstream", &id);
            out.note(note.with("cold_ms", registration.cold_for.as_millis()));
        }
    }

    /// A registration is gone. Around an outage of the store that may mean nothing, and the upstream is kept a while.
    fn remove(&mut self, now: Instant, id: &UpstreamId, out: &mut Outbox) {
        let until = self.lapses_until.filter(|until| *until > now);
        let may_lapse = self.is_store_away(now) || until.is_some();
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        if may_lapse {
            known
                .removal_due_at
                .get_or_insert(until.unwrap_or(now + RETURN));
            out.note(Note::new(&note::UPSTREAM_LAPSED).with("upstream", id));
            return;
        }
        self.forget(id, out);
    }

    fn forget(&mut self, id: &UpstreamId, out: &mut Outbox) {
        self.known.swap_remove(id);
        self.cold.forget(id);
        out.note(Note::new(&note::UPSTREAM_REMOVED).with("upstream", id));
    }

    /// Whether the store answers nobody, as far as is known.
    fn is_store_away(&self, now: Instant) -> bool {
        let answers_others = self.answers_others_until.is_some_and(|until| until > now);
        self.store_lost.is_some() && !answers_others
    }

    /// A peer tells whether the store answers it. A store that turns only this entry away has not lost what it holds.
    fn on_frame(&mut self, now: Instant, frame: &Frame) {
        if let Some((lost, age)) = self.store_lost.zip(frame.store_answer_age) {
            let answered = now.checked_sub(age).filter(|at| *at > lost);
            let until = answered.map(|at| at + ANSWERS);
            self.answers_others_until = self.answers_others_until.max(until);
        }
        // Who doesn't read the store may not have noticed an outage.
        let is_reader = self.store_lost.is_none() && self.fleet.is_relay(&self.entry);
        if !is_reader && !frame.registration_grace.is_zero() {
            self.lapse_until(now + frame.registration_grace);
        }
    }

    /// What is gone may come back until a moment.
    fn lapse_until(&mut self, until: Instant) {
        self.lapses_until = self.lapses_until.max(Some(until));
        for upstream in self.known.values_mut() {
            if upstream.removal_due_at.is_some() {
                upstream.removal_due_at = self.lapses_until;
            }
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Outbox) {
        if self.is_store_away(now) {
            return;
        }
        let is_gone = |upstream: &Upstream| upstream.removal_due_at.is_some_and(|at| at <= now);
        let gone = self.known.values().filter(|it| is_gone(it));
        let gone: Vec<UpstreamId> = gone.map(|it| it.id.clone()).collect();
        for id in gone {
            self.forget(&id, out);
        }
    }
}

impl Controller for Upstreams {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::RecordLearned(Topic::Upstreams, record) => {
                self.on_record(now.instant, record, out);
            }
            Event::StoreLost => self.store_lost = Some(now.instant),
            Event::StoreRecovered => {
                if self.is_store_away(now.instant) {
                    self.lapse_until(now.instant + RETURN);
                }
                self.store_lost = None;
            }
            Event::FrameReceived(frame) => self.on_frame(now.instant, frame),
            Event::ConfigurationApplied(configuration) => {
                self.configuration = Some(Arc::clone(configuration));
            }
            Event::FleetChanged(fleet) => self.fleet = Rc::clone(fleet),
            Event::Tick => self.on_tick(now.instant, out),
            _ => {}
        }
    }

    fn fill_frame(&mut self, now: Now, _: &Address, frame: &mut Frame) {
        let left = self
            .lapses_until
            .map(|until| until.saturating_duration_since(now.instant));
        frame.registration_grace = left.unwrap_or_default();
    }
}
