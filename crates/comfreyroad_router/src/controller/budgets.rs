//! Budgets of extra sendings: a failing fleet is not given a multiple of its work.
//!
//! The bound is on the sum over all entries in any window. Each entry keeps to the ratio of its own requests, and the
//! slack is divided among the entries, so nothing has to be agreed on.

use std::rc::Rc;

use comfreyroad::clock::Now;
use indexmap::IndexMap;

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
/// Part of the burst that better answers leave to failed requests.
const RESERVE: f64 = 0.25;

/// Keeps the budgets.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    slack: f64,
    entries: usize,
    levels: IndexMap<PoolId, f64>,
}

impl Budgets {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            ratio: settings.retry_ratio * RATIO_USED,
            slack: settings.retry_slack * SLACK_USED,
            entries: settings.zones.max(1),
            levels: IndexMap::new(),
        }
    }

    fn most(&self) -> f64 {
        self.slack / self.entries as f64
    }

    /// Whether a request may be sent once more.
    pub fn may_repeat(&self, pool: &PoolId) -> bool {
        self.levels.get(pool).copied().unwrap_or(self.most()) >= 1.0
    }

    /// Whether a request may be sent once more for a better answer, which leaves a reserve to failed ones.
    pub fn may_step_up(&self, pool: &PoolId) -> bool {
        let most = self.most();
        let level = self.levels.get(pool).copied().unwrap_or(most);
        level >= 1.0 + most * RESERVE
    }

    /// A request was sent for the first time.
    pub(crate) fn earn(&mut self, pool: &PoolId) {
        let most = self.most();
        let level = self.levels.entry(pool.clone()).or_insert(most);
        *level = (*level + self.ratio).min(most.max(1.0));
    }

    /// A request was sent once more.
    pub(crate) fn spend(&mut self, pool: &PoolId) {
        let most = self.most();
        *self.levels.entry(pool.clone()).or_insert(most) -= 1.0;
    }
}

impl Controller for Budgets {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        if let Event::Fleet(fleet) = event {
            self.entries = Rc::<Fleet>::as_ref(fleet).possible.max(1);
        }
    }
}
