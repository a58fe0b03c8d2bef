//! The upstreams: their registrations, and their health and load as this entry observes them.

mod candidate;
mod cold_limit;
mod departures;
mod limiter;
mod load_exchange;
mod names;
mod outcomes;
mod pauses;
mod rate_limits;
mod requirements;
mod ring;
mod rings;
mod selection;
mod stated_limit;
mod statements;
mod store_answers;
mod suspicions;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::{self, Now};
use indexmap::IndexMap;

use self::cold_limit::ColdLimit;
use self::limiter::Limiter;
use self::names::Names;
use self::ring::Ring;
use self::store_answers::StoreAnswers;
use super::Controller;
use super::members::Fleet;
use crate::configuration::Configuration;
use crate::frame::Frame;
use crate::id::{Address, EntryId, ModelId, PoolId, Position, UpstreamId, ZoneId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic};
use crate::upstream::{PrefillSpeed, Registration, Stage, Upstream};
use crate::{Event, Settings};

pub(crate) use outcomes::Prefill;
pub use requirements::{Requirements, Versions};

/// Time after an outage of the store in which upstreams renew the registrations that lapsed meanwhile: about two seconds,
/// as the platform states, and a margin for this entry's own read.
const REREGISTRATION_WINDOW: Duration = Duration::from_millis(2400);

/// Time for which an answer of the store to a peer shows that the store is not down: several gossip rounds.
const PEER_REPORT_VALIDITY: Duration = Duration::from_secs(3);

/// Shortest outage of the store in which registrations lapse. Upstreams renew them about once a second, and a registration
/// lapses after three missed renewals.
const MIN_OUTAGE: Duration = Duration::from_secs(2);
/// Error of the times of answers that peers report.
const REPORT_TOLERANCE: Duration = Duration::from_millis(100);

/// Controller of the upstreams.
#[derive(Debug)]
pub struct Upstreams {
    entry: EntryId,
    zone: ZoneId,
    // Time in which all entries must stop sending requests to an upstream that drains.
    drain_propagation: Duration,
    upstreams: IndexMap<UpstreamId, Upstream>,
    // Those in the registrations of all upstreams.
    names: Names,
    rings: IndexMap<PoolId, Ring>,
    configuration: Option<Arc<Configuration>>,
    fleet: Rc<Fleet>,
    cold_limit: ColdLimit,
    cold_limiter: Limiter,
    // For the limits that upstreams state.
    stated_limiter: Limiter,
    prefill_speeds: IndexMap<(PoolId, Option<ModelId>), PrefillSpeed>,
    // Since when the store does not answer this entry.
    store_lost_at: Option<Instant>,
    // Until when removed registrations may be renewed after an outage of the store.
    registration_grace_until: Option<Instant>,
    store_answers: StoreAnswers,
}

impl Upstreams {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.own.entry.clone(),
            zone: settings.own.zone.clone(),
            drain_propagation: settings.drain_propagation,
            upstreams: IndexMap::new(),
            names: Names::default(),
            rings: IndexMap::new(),
            configuration: None,
            fleet: Rc::default(),
            cold_limit: ColdLimit::new(settings),
            cold_limiter: Limiter::default(),
            stated_limiter: Limiter::default(),
            prefill_speeds: IndexMap::new(),
            store_lost_at: None,
            registration_grace_until: None,
            store_answers: StoreAnswers::default(),
        }
    }

    /// All known upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
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
        offset: Position,
        registration: &Registration,
        out: &mut Outbox,
    ) {
        let shared = self.names.share(registration);
        let ring = self.rings.entry(shared.pool.clone()).or_default();
        let Some(known) = self.upstreams.get_mut(&id) else {
            ring.insert(&id);
            let note = Note::new(&note::UPSTREAM_ADDED).with("upstream", &id);
            let note = note.with("pool", &registration.pool);
            out.note(note.with("version", &registration.version));
            let upstream = Upstream::new(now, id.clone(), offset, shared);
            self.upstreams.insert(id, upstream);
            return;
        };
        let was_draining = known.registration.stage == Stage::Draining;
        let was_cold = known.is_cold(now);
        let old_pool = known.registration.pool.clone();
        if old_pool != shared.pool {
            ring.insert(&id);
            Self::leave_ring(&mut self.rings, &old_pool, &id);
        }
        known.update(now, offset, shared);
        if registration.stage == Stage::Draining && !was_draining {
            out.note(Note::new(&note::UPSTREAM_DRAINING).with("upstream", &id));
        }
        if known.is_cold(now) && !was_cold {
            let note = Note::new(&note::UPSTREAM_COLD).with("upstream", &id);
            out.note(note.with("cold_ms", registration.cold_for.as_millis()));
        }
    }

    /// Removes an upstream whose registration is gone. During an outage of the store and shortly after it, the
    /// registration may only have lapsed, and the upstream is kept for a grace period.
    fn remove(&mut self, now: Instant, id: &UpstreamId, out: &mut Outbox) {
        let until = self.registration_grace_until.filter(|until| *until > now);
        let may_have_lapsed = self.may_have_lapsed(now);
        let Some(known) = self.upstreams.get_mut(id) else {
            return;
        };
        if may_have_lapsed {
            known
                .removal_due_at
                .get_or_insert(until.unwrap_or(now + REREGISTRATION_WINDOW));
            out.note(Note::new(&note::UPSTREAM_LAPSED).with("upstream", id));
            return;
        }
        self.delete(id, out);
    }

    fn delete(&mut self, id: &UpstreamId, out: &mut Outbox) {
        if let Some(upstream) = self.upstreams.swap_remove(id) {
            Self::leave_ring(&mut self.rings, &upstream.registration.pool, id);
        }
        self.cold_limiter.remove(id);
        self.stated_limiter.remove(id);
        out.note(Note::new(&note::UPSTREAM_REMOVED).with("upstream", id));
    }

    /// Whether the store answers neither this entry nor, as far as is known, any other.
    fn is_store_down(&self, now: Instant) -> bool {
        self.store_lost_at.is_some_and(|lost| {
            let recent = now.checked_sub(PEER_REPORT_VALIDITY).unwrap_or(lost);
            !self.store_answers.any_after(lost.max(recent))
        })
    }

    /// Takes a peer's report on the store. A store that answers some peer is not down and has not lost registrations, even
    /// if it rejects this entry.
    fn on_frame(&mut self, now: Instant, frame: &Frame) {
        // Entries that do not read the store may not notice an outage and take the grace period from their peers.
        let is_reader = self.store_lost_at.is_none() && self.fleet.is_relay(&self.entry);
        if !is_reader && !frame.registration_grace.is_zero() {
            self.open_registration_grace(clock::after(now, frame.registration_grace));
        }
        let answered_at = frame.store_answer_age.and_then(|age| now.checked_sub(age));
        if let Some(answered_at) = answered_at {
            self.store_answers.record(answered_at);
        }
        self.finish_removals(now);
    }

    /// Whether a missing registration may have lapsed because of an outage of the store.
    fn may_have_lapsed(&self, now: Instant) -> bool {
        let is_grace = self.registration_grace_until.is_some_and(|it| it > now);
        is_grace || self.is_store_down(now)
    }

    /// Makes removals final that were taken for lapses, if there was no outage of the store after all.
    fn finish_removals(&mut self, now: Instant) {
        if self.may_have_lapsed(now) {
            return;
        }
        for upstream in self.upstreams.values_mut() {
            upstream.removal_due_at = upstream.removal_due_at.map(|at| at.min(now));
        }
    }

    /// Opens the grace period after an outage, also for upstreams whose registrations have lapsed already. A time in which the
    /// store answered any entry was no outage: whoever reports it was cut off from the store alone.
    fn open_registration_grace(&mut self, until: Instant) {
        let Some(ended_at) = until.checked_sub(REREGISTRATION_WINDOW) else {
            return;
        };
        let started_at = ended_at.checked_sub(MIN_OUTAGE).unwrap_or(ended_at);
        let before_end = ended_at.checked_sub(REPORT_TOLERANCE).unwrap_or(ended_at);
        if self.store_answers.any_between(started_at, before_end) {
            return;
        }
        self.registration_grace_until = self.registration_grace_until.max(Some(until));
        for upstream in self.upstreams.values_mut() {
            if upstream.removal_due_at.is_some() {
                upstream.removal_due_at = self.registration_grace_until;
            }
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Outbox) {
        self.assess_pools(now);
        if self.is_store_down(now) {
            return;
        }
        let is_gone = |upstream: &Upstream| upstream.removal_due_at.is_some_and(|at| at <= now);
        let gone = self.upstreams.values().filter(|it| is_gone(it));
        let gone: Vec<UpstreamId> = gone.map(|it| it.id.clone()).collect();
        for id in gone {
            self.delete(&id, out);
        }
    }
}

impl Controller for Upstreams {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::RecordLearned(Topic::Upstreams, record) => {
                self.on_record(now.instant, record, out);
            }
            Event::StoreLost => self.store_lost_at = Some(now.instant),
            Event::StoreRecovered => {
                if self.is_store_down(now.instant) {
                    self.open_registration_grace(now.instant + REREGISTRATION_WINDOW);
                }
                self.store_lost_at = None;
                self.finish_removals(now.instant);
            }
            Event::TopicListed { topic, .. } | Event::TopicRead { topic, .. }
                if *topic == Topic::Upstreams && self.store_lost_at.is_none() =>
            {
                self.store_answers.record(now.instant);
            }
            Event::FrameReceived(frame) => {
                self.on_frame(now.instant, frame);
                self.on_load_reports(now.instant, &frame.loads);
                self.on_suspicions(now.instant, &frame.suspicions, out);
                self.assess_pools(now.instant);
                self.on_rate_limit_reports(now.instant, &frame.rate_limits, out);
                self.on_leaving_reports(now.instant, &frame.leaving, out);
            }
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
            .registration_grace_until
            .map(|until| until.saturating_duration_since(now.instant));
        frame.registration_grace = left.unwrap_or_default();
        frame.loads = self.load_reports(now.instant);
        frame.suspicions = self.suspicions(now.instant);
        frame.rate_limits = self.rate_limit_reports(now.instant);
        frame.leaving = self.leaving_reports(now.instant);
    }
}
