//! Budgets of extra sendings: a failing fleet is not given a multiple of its work.
//!
//! The bound is on the sum over all entries in any window of time. Each entry keeps to the ratio of its own requests in the
//! window that ends now, and the slack is divided among the entries, so nothing has to be agreed on.

mod window;

use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use self::window::Window;
use super::Controller;
use super::members::Fleet;
use crate::id::PoolId;
use crate::outbox::Outbox;
use crate::{Event, Settings};

/// Part of the allowed ratio that is used. The bound on the sum holds exactly for the sum of the entries' own; the rest
/// covers requests that a window's edge divides.
const RATIO_USED: f64 = 0.95;
/// Part of the allowed slack that is used; the rest covers entries that join.
const SLACK_USED: f64 = 0.8;
/// Part of the budget that better answers leave to failed requests.
const RESERVE: f64 = 0.25;

/// Keeps the budgets.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    slack: f64,
    lasts: Duration,
    entries: usize,
    windows: IndexMap<PoolId, Window>,
}

impl Budgets {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            ratio: settings.retry_ratio * RATIO_USED,
            slack: settings.retry_slack * SLACK_USED,
            lasts: settings.retry_window,
            entries: settings.zone_count.max(1),
            windows: IndexMap::new(),
        }
    }

    /// Extra sendings that were made in the window which ends now, and those that may be made in it.
    fn usage(&self, now: Instant, pool: &PoolId) -> (f64, f64) {
        let window = self.windows.get(pool);
        let sums = window.map(|it| it.sums(now, self.lasts));
        let (requests, extra) = sums.unwrap_or_default();
        (
            extra,
            requests * self.ratio + self.slack / self.entries as f64,
        )
    }

    /// Whether a request may be sent once more.
    pub fn may_retry(&self, now: Instant, pool: &PoolId) -> bool {
        let (extra, most) = self.usage(now, pool);
        extra + 1.0 <= most
    }

    /// Whether a request may be sent once more for a better answer, which leaves a reserve to failed ones.
    pub fn may_step_up(&self, now: Instant, pool: &PoolId) -> bool {
        let (extra, most) = self.usage(now, pool);
        extra + 1.0 <= most * (1.0 - RESERVE)
    }

    /// A request was sent for the first time.
    pub(crate) fn record_first_attempt(&mut self, now: Instant, pool: &PoolId) {
        let window = self.windows.entry(pool.clone()).or_default();
        window.add_request(now, self.lasts);
    }

    /// A request was sent once more.
    pub(crate) fn record_extra_attempt(&mut self, now: Instant, pool: &PoolId) {
        let window = self.windows.entry(pool.clone()).or_default();
        window.add_extra(now, self.lasts);
    }
}

impl Controller for Budgets {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        if let Event::FleetChanged(fleet) = event {
            self.entries = Rc::<Fleet>::as_ref(fleet).possibly_serving.max(1);
        }
    }
}
