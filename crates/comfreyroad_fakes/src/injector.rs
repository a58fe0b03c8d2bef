//! Fault injection filter in front of each stand-in.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use compio::time::{sleep, sleep_until};
use serde::{Deserialize, Serialize};

/// Body of `POST /faults`; an absent field leaves the fault unchanged.
///
/// A fault with a count applies to that many calls or streams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Duration during which calls are answered with 503 and not executed.
    pub outage_ms: Option<u64>,
    /// Duration during which calls hang; they continue afterwards.
    pub hang_ms: Option<u64>,
    /// Delay before each call is executed.
    pub slow_ms: Option<u64>,
    /// Number of calls that are executed and whose connections are dropped instead of answered.
    pub lose_answers: Option<u32>,
    /// Number of log appends that are stored and whose connections are dropped instead of answered.
    pub lose_appends: Option<u32>,
    /// Number of bookings that are executed and whose connections are dropped instead of answered.
    pub lose_bookings: Option<u32>,
    /// Number of calls that are answered with 503 and not executed.
    pub refuse: Option<u32>,
    /// Restarts the upstream: running streams break and the upstream is cold.
    pub restart: bool,
    /// Number of answers that break off.
    pub break_streams: Option<u32>,
    /// Index of the token before which they break off.
    pub break_after: Option<u32>,
    /// Duration during which no tokens are generated, also in running streams.
    pub stall_ms: Option<u64>,
    /// Version whose answers become bad.
    pub bad_version: Option<String>,
    /// Version whose answers are no longer bad.
    pub good_version: Option<String>,
    /// New number of slots.
    pub slots: Option<u32>,
    /// New time per token.
    pub token_us: Option<u64>,
}

/// How the filter treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Execute the call and answer.
    Answer,
    /// Execute the call and drop the connection.
    Lose,
    /// Answer with 503 without executing the call.
    Refuse,
}

/// Filter that applies the current faults.
#[derive(Debug, Default)]
pub struct Injector {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    outage_until: Option<Instant>,
    hang_until: Option<Instant>,
    slow: Duration,
    answers_to_lose: u32,
    calls_to_refuse: u32,
    refused: u64,
    lost: u64,
}

impl Injector {
    /// Changes the faults.
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
        state.answers_to_lose = faults.lose_answers.unwrap_or(state.answers_to_lose);
        state.calls_to_refuse = faults.refuse.unwrap_or(state.calls_to_refuse);
    }

    /// Delays a call according to the current faults and decides how it continues.
    pub async fn admit(&self) -> Decision {
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
        self.state.borrow_mut().decide()
    }

    /// Numbers of calls refused and answers lost by faults.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.refused, state.lost)
    }
}

impl State {
    fn decide(&mut self) -> Decision {
        let in_outage = self
            .outage_until
            .is_some_and(|until| until > Instant::now());
        if in_outage || self.calls_to_refuse > 0 {
            self.calls_to_refuse = self.calls_to_refuse.saturating_sub(1);
            self.refused += 1;
            return Decision::Refuse;
        }
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            self.lost += 1;
            return Decision::Lose;
        }
        Decision::Answer
    }
}
