//! The filter before each stand-in: faults that hold for all of them.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use compio::time::{sleep, sleep_until};
use serde::{Deserialize, Serialize};

/// Body of `POST /faults`: what is absent stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answer 503 without effect for so long.
    pub outage_ms: Option<u64>,
    /// Answer nothing for so long, then go on.
    pub hang_ms: Option<u64>,
    /// Wait before each answer.
    pub slow_ms: Option<u64>,
    /// Drop the connection instead of answering, after the effect, so many times.
    pub lose_answers: Option<u32>,
    /// Take so many appends to the log and drop the connection instead of answering.
    pub lose_appends: Option<u32>,
    /// Take so many bookings and drop the connection instead of answering.
    pub lose_bookings: Option<u32>,
    /// Answer 503 without effect so many times.
    pub refuse: Option<u32>,
    /// Start again: running streams break and the upstream is cold.
    pub restart: bool,
    /// Break so many streams.
    pub break_streams: Option<u32>,
    /// After how many tokens they break.
    pub break_after: Option<u32>,
    /// Give no token for so long, in the middle of streams too.
    pub stall_ms: Option<u64>,
    /// This version answers badly.
    pub bad_version: Option<String>,
    /// This version no longer answers badly.
    pub good_version: Option<String>,
    /// Fewer slots, or more, from now on.
    pub slots: Option<u32>,
    /// Time per token from now on.
    pub token_us: Option<u64>,
}

/// What the filter lets an admitted call do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// Run it and answer.
    Answer,
    /// Run it and drop the connection.
    Lose,
    /// Answer 503 and don't run it.
    Refuse,
}

/// Filter with the faults now in force.
#[derive(Debug, Default)]
pub struct Gate {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    outage_until: Option<Instant>,
    hang_until: Option<Instant>,
    slow: Duration,
    lose: u32,
    refuse: u32,
    refused: u64,
    lost: u64,
}

impl Gate {
    /// Puts new faults in force.
    pub fn set(&self, faults: &Faults) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if let Some(ms) = faults.outage_ms {
            state.outage_until = Some(now + Duration::from_millis(ms));
        }
        if let Some(ms) = faults.hang_ms {
            state.hang_until = Some(now + Duration::from_millis(ms));
        }
        if let Some(ms) = faults.slow_ms {
            state.slow = Duration::from_millis(ms);
        }
        state.lose = faults.lose_answers.unwrap_or(state.lose);
        state.refuse = faults.refuse.unwrap_or(state.refuse);
    }

    /// Holds a call up as the faults say, and tells what is to become of it.
    pub async fn pass(&self) -> Pass {
        let (hang_until, slow) = {
            let state = self.state.borrow();
            (state.hang_until, state.slow)
        };
        if let Some(until) = hang_until.filter(|until| *until > Instant::now()) {
            sleep_until(until).await;
        }
        if !slow.is_zero() {
            sleep(slow).await;
        }
        self.state.borrow_mut().judge()
    }

    /// Calls refused and answers lost by faults so far.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.refused, state.lost)
    }
}

impl State {
    fn judge(&mut self) -> Pass {
        let out = self
            .outage_until
            .is_some_and(|until| until > Instant::now());
        if out || self.refuse > 0 {
            self.refuse = self.refuse.saturating_sub(1);
            self.refused += 1;
            return Pass::Refuse;
        }
        if self.lose > 0 {
            self.lose -= 1;
            self.lost += 1;
            return Pass::Lose;
        }
        Pass::Answer
    }
}
