use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{Average, Backlog, Health, Load, Registration, Slot, Stage};
use crate::id::{Offset, UpstreamId};

/// Age up to which another entry's requests, as a load report shows them, are still counted.
const REPORT_AGE: Duration = Duration::from_secs(2);

/// An upstream as this entry knows it.
#[derive(Debug)]
pub struct Upstream {
    /// Its name.
    pub id: UpstreamId,
    /// What it says of itself.
    pub registration: Registration,
    /// Place of the record that said so.
    pub offset: Offset,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// When it is taken for gone; set while its registration has lapsed for want of the store.
    pub removal_due_at: Option<Instant>,
    /// Its last load report.
    pub load: Option<Load>,
    /// Time per event of a stream, or of a whole plain answer.
    pub service_time: Average,
    /// What was seen of its failures.
    pub health: Health,
    pub(super) open_requests: Rc<Cell<u32>>,
    pub(super) prefill_backlog: Rc<RefCell<Backlog>>,
}

impl Upstream {
    /// An upstream that was registered just now.
    pub fn new(now: Instant, id: UpstreamId, offset: Offset, registration: Registration) -> Self {
        Self {
            id,
            cold_until: cold_until(now, &registration),
            registration,
            offset,
            removal_due_at: None,
            load: None,
            service_time: Average::default(),
            health: Health::default(),
            open_requests: Rc::default(),
            prefill_backlog: Rc::default(),
        }
    }

    /// Takes a newer registration. A new start forgets what was seen of the one before.
    pub fn update(&mut self, now: Instant, offset: Offset, registration: Registration) {
        if registration.incarnation != self.registration.incarnation {
            *self = Self::new(now, self.id.clone(), offset, registration);
            return;
        }
        self.cold_until = cold_until(now, &registration);
        self.offset = offset;
        self.removal_due_at = None;
        self.registration = registration;
    }

    /// Whether it takes new work at all.
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_registered = self.removal_due_at.is_none_or(|at| at > now);
        is_registered && self.registration.stage == Stage::Ready
    }

    /// Whether it bears little.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Requests that this entry has there.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Requests there, as far as is known: this entry's own, and those of others by the last report.
    pub fn estimated_requests(&self, now: Instant) -> u32 {
        let fresh = self.load.filter(|load| load.reported_at + REPORT_AGE > now);
        self.open_requests() + fresh.map_or(0, |load| load.other_requests())
    }

    /// Time until it is likely to have read the prompts that are known to wait there.
    pub fn prefill_backlog(&self, now: Instant) -> Duration {
        self.prefill_backlog.borrow().time_left(now)
    }

    /// Prompts there that take longer to read than was expected.
    pub fn overdue_prefills(&self, now: Instant) -> usize {
        self.prefill_backlog.borrow().overdue_prefills(now)
    }

    /// Takes a place there, for a request whose prompt takes a time to read.
    pub fn acquire_slot(&self, now: Instant, takes: Duration) -> Slot {
        Slot::acquire(self, now, takes)
    }
}

fn cold_until(now: Instant, registration: &Registration) -> Option<Instant> {
    let cold_for = registration.cold_for;
    (!cold_for.is_zero()).then(|| now + cold_for)
}
