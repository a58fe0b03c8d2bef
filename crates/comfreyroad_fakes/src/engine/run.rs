use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep_until;

use crate::answer::Answer;
use crate::slots::Slot;

/// How much slower a token gets in a full batch than alone.
const CROWDING_COST: f64 = 0.6;

/// Why a run ended before its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The engine started again, or a fault broke the run.
    Broken,
    /// It was cancelled.
    Cancelled,
}

/// State of a run that reads its prompt.
pub struct Prefill {
    done_at: Instant,
}

/// State of a run that gives its answer.
pub struct Decode {
    index: u32,
    due: Instant,
}

/// An answer being given, which holds a slot while it lives.
pub struct Run<S> {
    slot: Slot,
    answer: Answer,
    token: Duration,
    break_at: Option<u32>,
    cancelled: Rc<Cell<bool>>,
    stalled_until: Rc<Cell<Instant>>,
    state: S,
}

impl Run<Prefill> {
    /// A run whose prompt takes `prefill` to read.
    #[must_use]
    pub fn new(slot: Slot, answer: Answer, prefill: Duration, token: Duration) -> Self {
        let state = Prefill {
            done_at: Instant::now() + prefill,
        };
        Self {
            slot,
            answer,
            token,
            break_at: None,
            cancelled: Rc::default(),
            stalled_until: Rc::new(Cell::new(Instant::now())),
            state,
        }
    }

    /// Breaks the run before the token with this number.
    #[must_use]
    pub fn with_break(self, break_at: Option<u32>) -> Self {
        Self { break_at, ..self }
    }

    /// Cancels the run once the flag is set.
    #[must_use]
    pub fn with_cancel(self, cancelled: Rc<Cell<bool>>) -> Self {
        Self { cancelled, ..self }
    }

    /// Gives no token before the shared instant.
    #[must_use]
    pub fn with_stall(self, stalled_until: Rc<Cell<Instant>>) -> Self {
        Self {
            stalled_until,
            ..self
        }
    }

    /// Reads the prompt; the answer then starts at token `offset`.
    pub async fn prefill(self, offset: u32) -> Result<Run<Decode>, Ended> {
        sleep_until(self.state.done_at).await;
        self.check()?;
        let state = Decode {
            index: offset,
            due: self.state.done_at,
        };
        Ok(Run {
            slot: self.slot,
            answer: self.answer,
            token: self.token,
            break_at: self.break_at,
            cancelled: self.cancelled,
            stalled_until: self.stalled_until,
            state,
        })
    }
}

impl Run<Decode> {
    /// The next token with its number, or nothing at the answer's end.
    pub async fn token(&mut self) -> Result<Option<(u32, String)>, Ended> {
        let index = self.state.index;
        if index >= self.answer.tokens {
            return Ok(None);
        }
        self.state.due += self
            .token
            .mul_f64(1.0 + CROWDING_COST * self.slot.crowding());
        sleep_until(self.state.due).await;
        while self.stalled_until.get() > Instant::now() {
            self.state.due = self.stalled_until.get();
            sleep_until(self.state.due).await;
        }
        self.check()?;
        if self.break_at.is_some_and(|break_at| index >= break_at) {
            return Err(Ended::Broken);
        }
        self.state.index += 1;
        Ok(Some((index, self.answer.token(index))))
    }
}

impl<S> Run<S> {
    /// The answer being given.
    #[must_use]
    pub fn answer(&self) -> &Answer {
        &self.answer
    }

    fn check(&self) -> Result<(), Ended> {
        if self.slot.is_broken() {
            return Err(Ended::Broken);
        }
        if self.cancelled.get() {
            return Err(Ended::Cancelled);
        }
        Ok(())
    }
}
