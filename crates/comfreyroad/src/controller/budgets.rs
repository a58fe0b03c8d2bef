//! Budgets of what is sent more than once: a failing fleet is not given a multiple of its work.
//!
//! Each call adds a fraction of a token to each bucket, and each extra sending takes a whole one. Retries of answers
//! that have begun may take the last token; others leave a reserve to them.

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Parts of which a token consists.
const TOKEN: u64 = 1000;
/// What a call adds to the retries' bucket, in parts of a token.
const RETRY_SHARE: u64 = 200;
/// What a call adds to the hedges' bucket, in parts of a token.
const HEDGE_SHARE: u64 = 50;
/// Tokens that the retries' bucket holds.
const RETRY_BURST: u64 = 100;
/// Tokens that the hedges' bucket holds.
const HEDGE_BURST: u64 = 10;
/// Tokens left to answers that have begun.
const RESERVE: u64 = 40;

/// Keeps the budgets.
#[derive(Debug)]
pub struct Budgets {
    retries: Bucket,
    hedges: Bucket,
    is_bounded: bool,
    may_hedge: bool,
}

/// A token bucket that calls fill.
#[derive(Debug)]
struct Bucket {
    level: u64,
    most: u64,
    share: u64,
}

impl Bucket {
    fn new(burst: u64, share: u64) -> Self {
        let most = burst * TOKEN;
        Self {
            level: most,
            most,
            share,
        }
    }

    fn fill(&mut self) {
        self.level = (self.level + self.share).min(self.most);
    }

    fn take(&mut self) {
        self.level = self.level.saturating_sub(TOKEN);
    }
}

impl Budgets {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            retries: Bucket::new(RETRY_BURST, RETRY_SHARE),
            hedges: Bucket::new(HEDGE_BURST, HEDGE_SHARE),
            is_bounded: settings.has(Mechanism::RetryBudget),
            may_hedge: settings.has(Mechanism::Hedges),
        }
    }

    /// Whether a request may be sent again; one whose answer has begun may use the reserve.
    pub fn may_retry(&self, has_begun: bool) -> bool {
        let reserve = if has_begun { 0 } else { RESERVE };
        !self.is_bounded || self.retries.level >= (reserve + 1) * TOKEN
    }

    /// Whether a request may be sent a second time because its answer is late.
    pub fn may_hedge(&self) -> bool {
        self.may_hedge && self.hedges.level >= TOKEN
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
