//! Budgets for retries and hedges, so that a failing fleet does not receive a multiple of its normal load.
//!
//! Each call adds a fraction of a token to each bucket, and each retry or hedge takes a whole token. A retry of a request
//! whose answer has begun may take the last token; other retries leave a reserve for it.

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Units of the bucket level per token.
const UNITS_PER_TOKEN: u64 = 1000;
/// Units that each call adds to the retry bucket: one retry per five calls.
const RETRY_UNITS_PER_CALL: u64 = 200;
/// Units that each call adds to the hedge bucket: one hedge per twenty calls.
const HEDGE_UNITS_PER_CALL: u64 = 50;
/// Capacity of the retry bucket, in tokens.
const RETRY_BURST_TOKENS: u64 = 100;
/// Capacity of the hedge bucket, in tokens.
const HEDGE_BURST_TOKENS: u64 = 10;
/// Retry tokens reserved for requests whose answer has begun.
const RESERVED_TOKENS: u64 = 40;

/// Tracks the budgets for retries and hedges.
#[derive(Debug)]
pub struct Budgets {
    retries: Bucket,
    hedges: Bucket,
    limits_retries: bool,
    hedges_enabled: bool,
}

/// A token bucket that is filled by calls.
#[derive(Debug)]
struct Bucket {
    level: u64,
    capacity: u64,
    units_per_call: u64,
}

impl Bucket {
    fn new(burst_tokens: u64, units_per_call: u64) -> Self {
        let capacity = burst_tokens * UNITS_PER_TOKEN;
        Self {
            level: capacity,
            capacity,
            units_per_call,
        }
    }

    fn fill(&mut self) {
        self.level = (self.level + self.units_per_call).min(self.capacity);
    }

    fn take(&mut self) {
        self.level = self.level.saturating_sub(UNITS_PER_TOKEN);
    }
}

impl Budgets {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            retries: Bucket::new(RETRY_BURST_TOKENS, RETRY_UNITS_PER_CALL),
            hedges: Bucket::new(HEDGE_BURST_TOKENS, HEDGE_UNITS_PER_CALL),
            limits_retries: settings.is_enabled(Mechanism::RetryBudget),
            hedges_enabled: settings.is_enabled(Mechanism::Hedges),
        }
    }

    /// Whether a request may be retried; one whose answer has begun may use the reserve.
    pub fn may_retry(&self, has_begun: bool) -> bool {
        let reserve = if has_begun { 0 } else { RESERVED_TOKENS };
        !self.limits_retries || self.retries.level >= (reserve + 1) * UNITS_PER_TOKEN
    }

    /// Whether a request with a late answer may be hedged.
    pub fn may_hedge(&self) -> bool {
        self.hedges_enabled && self.hedges.level >= UNITS_PER_TOKEN
    }
}

impl Controller for Budgets {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::Call(_) => {
                self.retries.fill();
                self.hedges.fill();
            }
            Event::Retried => self.retries.take(),
            Event::Hedged => self.hedges.take(),
            _ => {}
        }
    }
}
