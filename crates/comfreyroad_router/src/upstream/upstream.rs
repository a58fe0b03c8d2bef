use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock;

use super::{Average, Backlog, Health, Leaving, Load, RateLimit, Registration, Slot, Stage};
use crate::id::{Position, UpstreamId};
use crate::work::{Demand, Estimate, Pace, WorkTime};

/// Maximum age of a load report for its count of requests from other entries to be used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time for which an upstream that has failed is avoided, unless it answers some entry. After that it is tried again.
const SUSPICION_TIME: Duration = Duration::from_secs(3);

/// The state of an upstream as seen by this entry.
#[derive(Debug)]
pub struct Upstream {
    /// The name of the upstream.
    pub id: UpstreamId,
    /// The newest registration.
    pub registration: Registration,
    /// Position of the record that holds the registration.
    pub offset: Position,
    /// End of the warm-up, if any.
    pub cold_until: Option<Instant>,
    /// When the upstream is removed; set while its registration is missing around a store outage.
    pub removal_due_at: Option<Instant>,
    /// The last load report.
    pub load: Option<Load>,
    /// How long work takes there, by the load reports.
    pub work_time: WorkTime,
    /// Time of a plain answer, if work takes its usual time there.
    pub service_time: Average,
    /// How long the answers of an engine take in relation to those of the pool, if work takes its usual time there.
    pub pace: Pace,
    /// The last statement about its rate limit; `None` if it has stated none.
    pub rate_limit: Option<RateLimit>,
    /// Its statement that it is about to leave, if it has made one.
    pub leaving: Option<Leaving>,
    /// Until when it wants no requests from this entry.
    pub paused_until: Option<Instant>,
    /// Passive health check by this entry alone.
    pub health: Health,
    /// When it last failed to answer this entry or another one.
    pub failed_at: Option<Instant>,
    pub(super) open_requests: Rc<Cell<u32>>,
    pub(super) backlog: Rc<RefCell<Backlog>>,
}

impl Upstream {
    /// Creates the state of an upstream that has just been registered.
    pub fn new(now: Instant, id: UpstreamId, offset: Position, registration: Registration) -> Self {
        Self {
            id,
            cold_until: cold_until(now, &registration),
            registration,
            offset,
            removal_due_at: None,
            load: None,
            work_time: WorkTime::default(),
            service_time: Average::default(),
            pace: Pace::default(),
            rate_limit: None,
            leaving: None,
            paused_until: None,
            health: Health::default(),
            failed_at: None,
            open_requests: Rc::default(),
            backlog: Rc::default(),
        }
    }

    /// Applies a newer registration. A new incarnation resets all observations of the previous one.
    pub fn update(&mut self, now: Instant, offset: Position, registration: Registration) {
        if registration.incarnation != self.registration.incarnation {
            *self = Self::new(now, self.id.clone(), offset, registration);
            return;
        }
        self.cold_until = cold_until(now, &registration);
        self.offset = offset;
        self.removal_due_at = None;
        self.registration = registration;
    }

    /// Whether the upstream accepts new requests.
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_registered = self.removal_due_at.is_none_or(|at| at > now);
        is_registered && self.registration.stage == Stage::Ready
    }

    /// Whether it is a model engine, not a plain service.
    pub fn is_engine(&self) -> bool {
        !self.registration.models.is_empty()
    }

    /// Suspects an engine that has failed. Plain services answer each entry often enough for its own health check. Returns
    /// whether it was not suspected before.
    pub fn suspect(&mut self, now: Instant, failed_at: Instant) -> bool {
        if !self.is_engine() {
            return false;
        }
        let was_suspected = self.is_suspected(now);
        self.failed_at = self.failed_at.max(Some(failed_at));
        !was_suspected && self.is_suspected(now)
    }

    /// Whether the upstream has failed recently and reported its load to no entry since.
    pub fn is_suspected(&self, now: Instant) -> bool {
        let is_recent = self
            .failed_at
            .is_some_and(|failed_at| failed_at + SUSPICION_TIME > now);
        is_recent && self.is_unproven()
    }

    /// Whether the upstream has failed, at any time, and reported its load to no entry since.
    pub fn is_unproven(&self) -> bool {
        self.failed_at.is_some_and(|failed_at| {
            let has_answered = self.load.is_some_and(|load| load.reported_at > failed_at);
            !has_answered
        })
    }

    /// Whether it has stated that work takes more or less than its usual time.
    pub fn has_stated_work_time(&self) -> bool {
        let is_usual = |factor: f64| (factor - 1.0).abs() < f64::EPSILON;
        self.work_time
            .last()
            .is_some_and(|(_, factor)| !is_usual(factor))
    }

    /// Takes a load report.
    pub fn record_load(&mut self, load: Load) {
        let factor = f64::from(load.work_time_percent) / f64::from(Load::USUAL_WORK_TIME);
        self.work_time.add(load.reported_at, factor);
        self.load = Some(load);
    }

    /// Whether it is neither ejected nor suspected.
    pub fn is_healthy(&self, now: Instant) -> bool {
        !self.health.is_ejected(now) && !self.is_suspected(now)
    }

    /// Requests per second that the upstream takes from all entries together, if it states a limit.
    pub fn stated_rate(&self) -> Option<f64> {
        self.rate_limit.and_then(|limit| limit.rate)
    }

    /// Whether the upstream wants no requests from this entry now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Whether the upstream is warming up and takes only a limited request rate.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Open requests of this entry.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Requests of other entries by the last load report; `None` without a recent one.
    pub fn other_requests(&self, now: Instant) -> Option<u32> {
        self.recent_load(now).map(|load| load.other_requests())
    }

    /// Whether it has a slot that neither this entry nor, as far as is known, another one uses.
    pub fn has_free_slot(&self, now: Instant) -> bool {
        let others = self.other_requests(now).unwrap_or_default();
        self.open_requests() + others < self.registration.slots
    }

    /// The last load report, unless it is out of date.
    pub fn recent_load(&self, now: Instant) -> Option<Load> {
        self.load
            .filter(|load| load.reported_at + MAX_REPORT_AGE > now)
    }

    /// Expected time until all prefills of this entry are finished.
    pub fn prefill_backlog(&self, now: Instant) -> Duration {
        self.backlog.borrow().time_left(now)
    }

    /// Number of prompts of this entry whose prefill takes longer than expected.
    pub fn overdue_prefills(&self, now: Instant) -> usize {
        self.backlog.borrow().overdue_prefills(now)
    }

    /// Time in slots that the requests of this entry are still expected to take.
    pub fn remaining_work(&self, now: Instant) -> Duration {
        self.backlog.borrow().remaining_work(now)
    }

    /// Acquires a slot for a request.
    pub fn acquire_slot(&self, now: Instant, demand: Demand, estimate: Estimate) -> Slot {
        Slot::acquire(self, now, demand, estimate)
    }
}

fn cold_until(now: Instant, registration: &Registration) -> Option<Instant> {
    let cold_for = registration.cold_for;
    (!cold_for.is_zero()).then(|| clock::after(now, cold_for))
}
