//! Canary rollouts of new versions with automatic rollback.
//!
//! Each entry counts the requests and answers of the old and the new version that pass through it, and gossips its counts.
//! Decisions are functions of the merged counts and the rollout's age, so every entry reaches the same ones. The status in
//! the store is written by the entry that ranks first by rendezvous hash, and by the next ones if it does not appear. A
//! write is conditional: it succeeds only if the topic has not changed since this entry last read it, so a late writer
//! cannot overwrite the decision of another entry.

mod attempt;
mod counts;
mod exposure;
mod lineage;
mod phase;
mod pins;
mod ramp;
mod rate;
mod reason;
mod rollout;
mod verdict;

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

pub(crate) use self::attempt::Attempt;
use self::exposure::Exposure;
use self::lineage::Lineage;
use self::rollout::Rollout;
use super::Controller;
use super::members::Fleet;
use super::upstreams::Versions;
use crate::frame::{Frame, Peer};
use crate::id::{Address, PoolId, Position, RequestId, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record, Topic, position};
use crate::rollout::{Order, State, Status};
use crate::{Event, Settings};

/// Time after a restoration of the store in which operators write lost orders again.
const RESTORATION_TIME: Duration = Duration::from_millis(2400);
/// Maximum number of past orders that are remembered.
const MAX_PAST_ORDERS: usize = 64;

/// Controller of the rollouts, one per pool.
#[derive(Debug)]
pub struct Rollouts {
    own: Peer,
    exposure: Exposure,
    session_timeout: Duration,
    fleet: Rc<Fleet>,
    rollouts: IndexMap<PoolId, Rollout>,
    lineages: IndexMap<PoolId, Lineage>,
    // The latest status of each pool. A status may be read before its order.
    statuses: IndexMap<PoolId, Status>,
    // Pools by the record keys of their orders. The removal of an order names only its key.
    pools_by_key: IndexMap<Arc<str>, PoolId>,
    // Orders that were replaced or removed, the latest last. A store that is restored from a copy may show them again.
    past_orders: VecDeque<Order>,
    // Until when the orders that a restored store has lost are written again.
    restoration_ends_at: Option<Instant>,
}

impl Rollouts {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            own: settings.own.clone(),
            exposure: Exposure {
                share: settings.exposure_share,
                slack: settings.exposure_slack,
            },
            session_timeout: settings.session_idle_timeout,
            fleet: Rc::default(),
            rollouts: IndexMap::new(),
            lineages: IndexMap::new(),
            statuses: IndexMap::new(),
            pools_by_key: IndexMap::new(),
            past_orders: VecDeque::new(),
            restoration_ends_at: None,
        }
    }

    /// The versions that may serve a new request in a pool. Requests of one session go to the same version.
    pub fn allowed_versions(
        &self,
        now: Instant,
        pool: &PoolId,
        session: Option<&Arc<str>>,
        request: &RequestId,
    ) -> Versions {
        let rollout = self.rollouts.get(pool);
        let key = session.unwrap_or(request);
        if let Some(rollout) = rollout
            && rollout.routes_to_target(now, key)
        {
            return Versions::Only(rollout.order.target.clone());
        }
        self.other_versions(pool, rollout.map(|it| &it.order.target))
    }

    /// The versions that may serve in a pool, but for an excluded one.
    fn other_versions(&self, pool: &PoolId, excluded: Option<&VersionId>) -> Versions {
        match (self.lineages.get(pool), excluded) {
            (Some(lineage), _) => lineage.versions(excluded),
            (None, Some(excluded)) => Versions::Except(vec![excluded.clone()]),
            (None, None) => Versions::Any,
        }
    }

    /// Records that a version is serving a session or has just served it.
    pub(crate) fn touch_session(
        &mut self,
        now: Instant,
        pool: &PoolId,
        session: &Arc<str>,
        version: &VersionId,
    ) {
        if let Some(rollout) = self.rollouts.get_mut(pool) {
            rollout.pin_session(now, session, version, now + self.session_timeout);
        }
    }

    /// Pins the sessions of a pool that are in progress when a rollout is ordered, given their versions and expiry.
    pub(crate) fn pin_sessions<'a>(
        &mut self,
        now: Instant,
        pool: &PoolId,
        sessions: impl Iterator<Item = (&'a Arc<str>, &'a VersionId, Instant)>,
    ) {
        if let Some(rollout) = self.rollouts.get_mut(pool) {
            for (session, version, expires_at) in sessions {
                rollout.pin_session(now, session, version, expires_at);
            }
        }
    }

    /// The versions to which a request may go when no upstream with an allowed version can take it; `None` if it must wait.
    pub fn fallback(&self, pool: &PoolId, allowed: &Versions) -> Option<Versions> {
        let rollout = self.rollouts.get(pool)?;
        let may_fall_back = match allowed {
            Versions::Only(_) => !rollout.is_completed(),
            Versions::Except(_) => rollout.has_cut_over(),
            Versions::Any => false,
        };
        let target = &rollout.order.target;
        let excluded = rollout.is_rolled_back().then_some(target);
        may_fall_back.then(|| self.other_versions(pool, excluded))
    }

    /// Whether sessions must not stay on a version: the old one after the cutover, the new one after a rollback, or one that an
    /// earlier rollout has withdrawn.
    pub fn is_retired(&self, pool: &PoolId, version: &VersionId) -> bool {
        match self.rollouts.get(pool) {
            Some(rollout) if *version == rollout.order.target => rollout.is_rolled_back(),
            Some(rollout) if rollout.has_cut_over() => true,
            _ => self.is_withdrawn(pool, version),
        }
    }

    fn is_withdrawn(&self, pool: &PoolId, version: &VersionId) -> bool {
        let lineage = self.lineages.get(pool);
        lineage.is_some_and(|it| it.is_withdrawn(version))
    }

    /// The rollout that counts an attempt. Answers of a withdrawn version are no standard for the new one.
    fn counting(&mut self, attempt: Attempt<'_>) -> Option<&mut Rollout> {
        let is_withdrawn = self.is_withdrawn(attempt.pool, attempt.version);
        let rollout = self.rollouts.get_mut(attempt.pool)?;
        (!is_withdrawn || *attempt.version == rollout.order.target).then_some(rollout)
    }

    /// Counts a request that is sent.
    pub(crate) fn count_request(&mut self, attempt: Attempt<'_>) {
        if let Some(rollout) = self.counting(attempt) {
            rollout.count_request(attempt);
        }
    }

    /// Counts a finished answer.
    pub(crate) fn count_answer(&mut self, attempt: Attempt<'_>, is_success: bool) {
        if let Some(rollout) = self.counting(attempt) {
            rollout.count_answer(attempt, is_success);
        }
    }

    /// The version that continues the answers of an old version, once the rollout has completed.
    pub fn successor(&self, pool: &PoolId, version: &VersionId) -> Option<&VersionId> {
        let rollout = self.rollouts.get(pool)?;
        let target = &rollout.order.target;
        (rollout.is_completed() && version != target).then_some(target)
    }

    /// Counts the service time of an answer: its time per event, or the duration of an answer without events.
    pub(crate) fn count_service_time(&mut self, attempt: Attempt<'_>, service_time: Duration) {
        if let Some(rollout) = self.counting(attempt) {
            rollout.count_service_time(attempt, service_time);
        }
    }

    fn on_order(&mut self, now: Instant, record: &Record, out: &mut Outbox) {
        let Content::Rollout(order) = &record.content else {
            // The order was removed, which ends its rollout. The last status of its pool is kept.
            if let Some(pool) = self.pools_by_key.swap_remove(&record.key)
                && let Some(rollout) = self.rollouts.swap_remove(&pool)
            {
                self.withdraw(&pool, [&rollout.order.target], out);
                self.remember(rollout.order);
            }
            return;
        };
        let known = self.rollouts.get_mut(&order.pool);
        if known.as_ref().is_some_and(|it| it.offset >= record.offset) {
            return;
        }
        // What a restored store shows of orders that are known is no new order.
        let era = position::era(record.offset);
        let is_restored = self.restoration_ends_at.is_some_and(|at| at > now)
            || (known.as_ref()).is_some_and(|it| position::era(it.offset) < era);
        match known {
            Some(known) if is_restored && known.order == *order => {
                known.identify(record.offset);
                self.apply_status(&order.pool, out);
                return;
            }
            _ if is_restored && self.past_orders.contains(order) => return,
            Some(known) => {
                let replaced = known.order.clone();
                if replaced.target != order.target {
                    self.withdraw(&order.pool, [&replaced.target], out);
                }
                self.remember(replaced);
            }
            None => {}
        }
        let lineage = self.lineages.entry(order.pool.clone()).or_default();
        lineage.admit(&order.target);
        let note = Note::new(&note::ROLLOUT_STARTED).with("pool", &order.pool);
        let note = note.with("target", &order.target);
        out.note(note.with("lasts_ms", order.duration.as_millis()));
        let rollout = Rollout::new(now, record.offset, order.clone(), self.exposure, &self.own);
        self.pools_by_key
            .insert(record.key.clone(), order.pool.clone());
        self.rollouts.insert(order.pool.clone(), rollout);
        self.apply_status(&order.pool, out);
        out.raise(Event::RolloutOrdered(order.pool.clone()));
    }

    /// Remembers an order that was replaced or removed.
    fn remember(&mut self, order: Order) {
        self.past_orders.push_back(order);
        if self.past_orders.len() > MAX_PAST_ORDERS {
            self.past_orders.pop_front();
        }
    }

    /// Withdraws versions of a pool, but for the one that serves.
    fn withdraw<'a>(
        &mut self,
        pool: &PoolId,
        versions: impl IntoIterator<Item = &'a VersionId>,
        out: &mut Outbox,
    ) {
        let lineage = self.lineages.entry(pool.clone()).or_default();
        for version in versions {
            if lineage.withdraw(version) {
                let note = Note::new(&note::VERSION_WITHDRAWN).with("pool", pool);
                out.note(note.with("version", version));
            }
        }
    }

    /// Applies the latest status of a pool to its rollout, or to what is known of earlier ones.
    fn apply_status(&mut self, pool: &PoolId, out: &mut Outbox) {
        let Some(status) = self.statuses.get(pool).cloned() else {
            return;
        };
        let rollout = self.rollouts.get_mut(pool);
        let target = rollout.as_ref().map(|it| it.order.target.clone());
        let lineage = self.lineages.entry(pool.clone()).or_default();
        if target.as_ref() != Some(&status.target) {
            // A store that is restored from a copy may show a status that was replaced.
            match status.state {
                State::Completed if !lineage.has_serving() => lineage.complete(&status.target),
                State::RolledBack => self.withdraw(pool, [&status.target], out),
                State::Completed | State::InProgress => {}
            }
        } else if rollout.is_some_and(|it| it.apply_status(&status)) {
            if status.state == State::Completed {
                lineage.complete(&status.target);
            }
            let note = Note::new(&note::ROLLOUT_STATUS_WRITTEN).with("pool", pool);
            out.note(note.with("state", status.state.name()));
        }
        let withdrawn = status.withdrawn.iter();
        let withdrawn = withdrawn.filter(|it| target.as_ref() != Some(*it));
        self.withdraw(pool, withdrawn, out);
    }

    fn on_status(&mut self, status: &Status, out: &mut Outbox) {
        let pool = status.pool.clone();
        self.statuses.insert(pool.clone(), status.clone());
        self.apply_status(&pool, out);
    }

    fn on_tick(&mut self, now: Instant, out: &mut Outbox) {
        for rollout in self.rollouts.values_mut() {
            rollout.advance(now, &self.fleet, out);
            if rollout.is_decision_near(now) {
                out.raise(Event::GossipUrgent);
            }
            let key = rollout.writer_key();
            let rank = self.fleet.rank_relays_first(&key, &self.own.entry);
            if let Some(state) = rollout.due_status(now, rank) {
                let (pool, target) = (&rollout.order.pool, &rollout.order.target);
                let withdrawn = self.lineages.get(pool).map(|lineage| match state {
                    State::Completed => lineage.withdrawn_after(target),
                    State::InProgress | State::RolledBack => lineage.withdrawn(target),
                });
                out.raise(Event::StatusDue(Status {
                    pool: pool.clone(),
                    target: target.clone(),
                    state,
                    order_offset: position::offset(rollout.offset),
                    withdrawn: withdrawn.unwrap_or_default().into_iter().collect(),
                }));
            }
        }
    }

    fn on_frame(&mut self, now: Instant, frame: &Frame, out: &mut Outbox) {
        for progress in &frame.rollouts {
            if let Some(rollout) = self.rollouts.get_mut(&progress.pool) {
                rollout.merge_progress(now, progress, out);
            }
        }
        for pin in &frame.session_pins {
            if let Some(rollout) = self.rollouts.get_mut(&pin.pool) {
                rollout.merge_pin(now, pin);
            }
        }
        for tally in &frame.tallies {
            if let Some(rollout) = self.rollouts.get_mut(&tally.pool) {
                rollout.merge_tally(tally);
            }
        }
    }

    /// The pool, order offset and written status of each rollout, for status pages.
    pub fn states(&self) -> impl Iterator<Item = (&PoolId, Position, Option<State>)> {
        let rollouts = self.rollouts.iter();
        rollouts.map(|(pool, rollout)| (pool, rollout.offset, rollout.written_status()))
    }
}

impl Controller for Rollouts {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::RecordLearned(Topic::Operator, record) => {
                self.on_order(now.instant, record, out);
            }
            Event::RecordLearned(Topic::Status, record) => {
                if let Content::Status(status) = &record.content {
                    self.on_status(status, out);
                }
            }
            Event::RecordLearned(Topic::Upstreams, record) => {
                if let Content::Upstream(registration) = &record.content {
                    let lineage = self.lineages.entry(registration.pool.clone());
                    lineage.or_default().register(&registration.version);
                }
            }
            Event::FleetChanged(fleet) => self.fleet = Rc::clone(fleet),
            Event::StoreRestored => {
                self.restoration_ends_at = Some(now.instant + RESTORATION_TIME);
                // The store may have lost them.
                self.statuses.clear();
                let rollouts = self.rollouts.values_mut();
                rollouts.for_each(Rollout::forget_written_status);
            }
            Event::FrameReceived(frame) => self.on_frame(now.instant, frame, out),
            Event::Tick => self.on_tick(now.instant, out),
            _ => {}
        }
    }

    fn fill_frame(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let is_sender_relay = self.fleet.is_relay(&self.own.entry);
        let is_receiver_relay = self.fleet.relays().any(|relay| relay.address == *to);
        for rollout in self.rollouts.values() {
            rollout.fill_frame(now.instant, frame, (is_sender_relay, is_receiver_relay));
        }
    }
}
