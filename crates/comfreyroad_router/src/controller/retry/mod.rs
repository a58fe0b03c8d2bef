//! Retry budgets: they bound the extra attempts per pool, so that retries do not multiply the load of failing upstreams.
//!
//! The bound holds for the sum over all entries in any time window. Each entry allows a fraction of its own requests in
//! the window that ends now, and an equal share of a constant slack, so the entries need no coordination.

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

/// Fraction of the allowed ratio that is used. The entries' own bounds add up exactly to the bound of the sum; the rest
/// covers requests whose attempts lie on both sides of a window's edge.
const RATIO_SAFETY_FACTOR: f64 = 0.95;
/// Fraction of the allowed slack that is used. The rest covers entries that join.
const SLACK_SAFETY_FACTOR: f64 = 0.8;
/// Fraction of the budget that step-ups to a larger model leave to retries of failed requests.
const RETRY_RESERVE: f64 = 0.25;

/// Controller of the retry budgets, one per pool.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    slack: f64,
    window_length: Duration,
    entries: usize,
    windows: IndexMap<PoolId, Window>,
}

impl Budgets {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            ratio: settings.retry_ratio * RATIO_SAFETY_FACTOR,
            slack: settings.retry_slack * SLACK_SAFETY_FACTOR,
            window_length: settings.retry_window,
            entries: settings.zone_count.max(1),
            windows: IndexMap::new(),
        }
    }

    /// Extra attempts made in the window that ends now, and the maximum number allowed in it.
    fn usage(&self, now: Instant, pool: &PoolId) -> (f64, f64) {
        let window = self.windows.get(pool);
        let totals = window.map(|it| it.totals(now, self.window_length));
        let (requests, extra) = totals.unwrap_or_default();
        (
            extra,
            requests * self.ratio + self.slack / self.entries as f64,
        )
    }

    /// Whether the budget of a pool allows one more attempt for a failed request.
    pub fn may_retry(&self, now: Instant, pool: &PoolId) -> bool {
        let (extra, max) = self.usage(now, pool);
        extra + 1.0 <= max
    }

    /// Whether the budget of a pool allows one more attempt with a larger model. It leaves a reserve to failed requests.
    pub fn may_step_up(&self, now: Instant, pool: &PoolId) -> bool {
        let (extra, max) = self.usage(now, pool);
        extra + 1.0 <= max * (1.0 - RETRY_RESERVE)
    }

    /// Counts the first attempt of a request, which adds to the budget.
    pub(crate) fn record_first_attempt(&mut self, now: Instant, pool: &PoolId) {
        let window = self.windows.entry(pool.clone()).or_default();
        window.add_first_attempt(now, self.window_length);
    }

    /// Counts an extra attempt of a request, which consumes the budget.
    pub(crate) fn record_extra_attempt(&mut self, now: Instant, pool: &PoolId) {
        let window = self.windows.entry(pool.clone()).or_default();
        window.add_extra_attempt(now, self.window_length);
    }
}

impl Controller for Budgets {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        if let Event::FleetChanged(fleet) = event {
            self.entries = Rc::<Fleet>::as_ref(fleet).possibly_serving.max(1);
        }
    }
}
