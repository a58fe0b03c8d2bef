//! Rollouts of new versions: a canary, then all requests, unless the new version turns out bad.
//!
//! Each entry counts the answers that it sees of either version and gossips its counts; the decisions are functions of
//! the merged counts and of the rollout's age, so any entry comes to them. The status in the store is written by the
//! first entry in the order of a rendezvous hash, and by the next ones if it does not appear. A write holds only if
//! nothing was written since this entry last read, so a late writer cannot undo what another one has decided.

mod counts;
mod exposure;
mod keep;
mod phase;
mod rollout;
mod trial;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use self::exposure::Exposure;
use self::rollout::Rollout;
use super::Controller;
use super::members::Fleet;
use super::upstreams::VersionConstraint;
use crate::frame::{Frame, Peer};
use crate::id::{Address, Offset, PoolId, RequestId, RouteId, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic};
use crate::rollout::{RolloutState, RolloutStatus};
use crate::{Event, Settings};

/// Keeps the rollouts.
#[derive(Debug)]
pub struct Rollouts {
    own: Peer,
    exposure: Exposure,
    session: Duration,
    fleet: Rc<Fleet>,
    known: IndexMap<PoolId, Rollout>,
    // Statuses that were read, which may come before their orders.
    statuses: IndexMap<PoolId, RolloutStatus>,
    // The keys of orders, by which their removal is told.
    keys: IndexMap<Arc<str>, PoolId>,
}

impl Rollouts {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            own: settings.own.clone(),
            exposure: Exposure {
                share: settings.exposure_share,
                slack: settings.exposure_slack,
            },
            session: settings.session,
            fleet: Rc::default(),
            known: IndexMap::new(),
            statuses: IndexMap::new(),
            keys: IndexMap::new(),
        }
    }

    /// Which versions of a pool a new request goes to; those of one session go to the same.
    pub fn version_constraint(
        &self,
        now: Instant,
        pool: &PoolId,
        session: Option<&Arc<str>>,
        request: &RequestId,
    ) -> VersionConstraint {
        let Some(rollout) = self.known.get(pool) else {
            return VersionConstraint::Any;
        };
        let key = session.unwrap_or(request);
        if rollout.moves(now, key) {
            VersionConstraint::Only(rollout.order.target.clone())
        } else {
            VersionConstraint::Except(rollout.order.target.clone())
        }
    }

    /// A request of a session was sent to a version, or has ended there.
    pub(crate) fn touch_session(
        &mut self,
        now: Instant,
        pool: &PoolId,
        session: &Arc<str>,
        version: &VersionId,
    ) {
        if let Some(rollout) = self.known.get_mut(pool) {
            rollout.keep(now, session, version, now + self.session);
        }
    }

    /// Sessions of a pool that are under way when a rollout is ordered.
    pub(crate) fn pin_sessions<'a>(
        &mut self,
        now: Instant,
        pool: &PoolId,
        sessions: impl Iterator<Item = (&'a Arc<str>, &'a VersionId, Instant)>,
    ) {
        if let Some(rollout) = self.known.get_mut(pool) {
            for (session, version, ends) in sessions {
                rollout.keep(now, session, version, ends);
            }
        }
    }

    /// Whether a version of a pool may be fallen back to when no other can answer.
    pub fn may_fall_back(&self, pool: &PoolId, wanted: &VersionConstraint) -> bool {
        let rollout = self.known.get(pool);
        rollout.is_some_and(|rollout| match wanted {
            VersionConstraint::Only(_) => !rollout.is_completed(),
            VersionConstraint::Except(_) => rollout.has_shifted(),
            VersionConstraint::Any => false,
        })
    }

    /// Whether the version that a session has must be left: the old one once all move, a bad one at once.
    pub fn is_retired(&self, pool: &PoolId, version: &VersionId) -> bool {
        let Some(rollout) = self.known.get(pool) else {
            return false;
        };
        let is_target = *version == rollout.order.target;
        (is_target && rollout.is_reverted()) || (!is_target && rollout.has_shifted())
    }

    /// An answer of a version has ended.
    pub(crate) fn count_answer(
        &mut self,
        pool: &PoolId,
        version: &VersionId,
        route: &RouteId,
        is_good: bool,
    ) {
        if let Some(rollout) = self.known.get_mut(pool) {
            rollout.count(version, route, is_good);
        }
    }

    /// A request was sent to a version.
    pub(crate) fn count_request(&mut self, pool: &PoolId, version: &VersionId) {
        if let Some(rollout) = self.known.get_mut(pool) {
            rollout.open(version);
        }
    }

    /// The version that goes on with what the old one has begun, once the old one is out.
    pub fn successor(&self, pool: &PoolId, version: &VersionId) -> Option<&VersionId> {
        let rollout = self.known.get(pool)?;
        let target = &rollout.order.target;
        (rollout.is_completed() && version != target).then_some(target)
    }

    /// An answer of a version had a pace: time per event, or the time of a plain answer.
    pub(crate) fn count_pace(&mut self, pool: &PoolId, version: &VersionId, pace: Duration) {
        if let Some(rollout) = self.known.get_mut(pool) {
            rollout.count_pace(version, pace);
        }
    }

    fn on_order(&mut self, now: Instant, record: &Record, out: &mut Outbox) {
        let Content::Rollout(order) = &record.content else {
            // The order is withdrawn; what was decided about it stays until its upstreams are gone.
            if let Some(pool) = self.keys.swap_remove(&record.key) {
                self.known.swap_remove(&pool);
            }
            return;
        };
        let known = self.known.get(&order.pool);
        if known.is_some_and(|known| known.offset >= record.offset) {
            return;
        }
        let note = Note::new(&note::ROLLOUT).with("pool", &order.pool);
        let note = note.with("target", &order.target);
        out.note(note.with("lasts_ms", order.duration.as_millis()));
        let rollout = Rollout::new(now, record.offset, order.clone(), self.exposure, &self.own);
        self.keys.insert(record.key.clone(), order.pool.clone());
        self.known.insert(order.pool.clone(), rollout);
        self.settle(&order.pool, out);
        out.raise(Event::Ordered(order.pool.clone()));
    }

    /// Holds what was read of a status against the rollout that it is about.
    fn settle(&mut self, pool: &PoolId, out: &mut Outbox) {
        let (Some(rollout), Some(status)) = (self.known.get_mut(pool), self.statuses.get(pool))
        else {
            return;
        };
        if rollout.read(status) {
            let note = Note::new(&note::ROLLOUT_STATUS).with("pool", pool);
            out.note(note.with("state", status.state.name()));
        }
    }

    fn on_status(&mut self, status: &RolloutStatus, out: &mut Outbox) {
        let pool = status.pool.clone();
        self.statuses.insert(pool.clone(), status.clone());
        self.settle(&pool, out);
    }

    fn on_tick(&mut self, now: Instant, out: &mut Outbox) {
        for rollout in self.known.values_mut() {
            rollout.advance(now, &self.fleet, out);
            let key = rollout.key();
            let rank = self.fleet.rank_relays_first(&key, &self.own.entry);
            if let Some(state) = rollout.due(now, rank) {
                out.raise(Event::Publish(RolloutStatus {
                    pool: rollout.order.pool.clone(),
                    target: rollout.order.target.clone(),
                    state,
                    order_offset: rollout.offset,
                }));
            }
        }
    }

    fn on_frame(&mut self, now: Instant, frame: &Frame, out: &mut Outbox) {
        for progress in &frame.rollouts {
            if let Some(rollout) = self.known.get_mut(&progress.pool) {
                rollout.hear(now, progress, out);
            }
        }
        for kept in &frame.session_pins {
            if let Some(rollout) = self.known.get_mut(&kept.pool) {
                rollout.hear_kept(now, kept);
            }
        }
        for tally in &frame.tallies {
            if let Some(rollout) = self.known.get_mut(&tally.pool) {
                rollout.merge(tally);
            }
        }
    }

    /// The offset of a pool's order, and how far the rollout is; for status pages.
    pub fn states(&self) -> impl Iterator<Item = (&PoolId, Offset, Option<RolloutState>)> {
        let rollouts = self.known.iter();
        rollouts.map(|(pool, rollout)| (pool, rollout.offset, rollout.written()))
    }
}

impl Controller for Rollouts {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Learned(Topic::Operator, record) => self.on_order(now.instant, record, out),
            Event::Learned(Topic::Status, record) => {
                if let Content::Status(status) = &record.content {
                    self.on_status(status, out);
                }
            }
            Event::Fleet(fleet) => self.fleet = Rc::clone(fleet),
            Event::Heard(frame) => self.on_frame(now.instant, frame, out),
            Event::Tick => self.on_tick(now.instant, out),
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let is_own = self.fleet.is_relay(&self.own.entry);
        let is_target = self.fleet.relays().any(|relay| relay.address == *to);
        for rollout in self.known.values() {
            rollout.fill(now.instant, frame, (is_own, is_target));
        }
    }
}
