use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep_until;

use crate::answer::Answer;
use crate::slots::Slot;

/// Relative increase of the time per token when all slots are in use, compared with a single request.
const CONTENTION_SLOWDOWN: f64 = 0.6;

/// Why a run ended before its answer was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The engine restarted, or an injected fault broke the run.
    Broken,
    /// The caller cancelled it or disconnected.
    Cancelled,
}

/// State of a run that processes its prompt.
pub struct Prefill {
    done_at: Instant,
}

/// State of a run that generates its answer.
pub struct Decode {
    index: u32,
    due: Instant,
}

/// Generation of one answer; holds its slot until it is dropped.
pub struct Run<S> {
    slot: Slot,
    answer: Answer,
    token_time: Duration,
    break_at: Option<u32>,
    cancelled: Rc<Cell<bool>>,
    stalled_until: Rc<Cell<Instant>>,
    state: S,
}

impl Run<Prefill> {
    /// Creates a run whose prompt takes `prefill` to process.
    #[must_use]
    pub fn new(slot: Slot, answer: Answer, prefill: Duration, token_time: Duration) -> Self {
        let state = Prefill {
            done_at: Instant::now() + prefill,
        };
        Self {
            slot,
            answer,
            token_time,
            break_at: None,
            cancelled: Rc::default(),
            stalled_until: Rc::new(Cell::new(Instant::now())),
            state,
        }
    }

    /// Breaks the run before the token with this index.
    #[must_use]
    pub fn with_break(self, break_at: Option<u32>) -> Self {
        Self { break_at, ..self }
    }

    /// Cancels the run once the flag is set.
    #[must_use]
    pub fn with_cancel(self, cancelled: Rc<Cell<bool>>) -> Self {
        Self { cancelled, ..self }
    }

    /// Generates no token before the shared instant.
    #[must_use]
    pub fn with_stall(self, stalled_until: Rc<Cell<Instant>>) -> Self {
        Self {
            stalled_until,
            ..self
        }
    }

    /// Processes the prompt; the answer then starts at token `offset`.
    pub async fn prefill(self, offset: u32) -> Result<Run<Decode>, Interruption> {
        sleep_until(self.state.done_at).await;
        self.check()?;
        let state = Decode {
            index: offset,
            due: self.state.done_at,
        };
        Ok(Run {
            slot: self.slot,
            answer: self.answer,
            token_time: self.token_time,
            break_at: self.break_at,
            cancelled: self.cancelled,
            stalled_until: self.stalled_until,
            state,
        })
    }
}

impl Run<Decode> {
    /// The next token with its index, or `None` at the end of the answer.
    pub async fn token(&mut self) -> Result<Option<(u32, String)>, Interruption> {
        let index = self.state.index;
        if index >= self.answer.tokens {
            return Ok(None);
        }
        self.state.due += self
            .token_time
            .mul_f64(1.0 + CONTENTION_SLOWDOWN * self.slot.utilization());
        sleep_until(self.state.due).await;
        while self.stalled_until.get() > Instant::now() {
            self.state.due = self.stalled_until.get();
            sleep_until(self.state.due).await;
        }
        self.check()?;
        if self.break_at.is_some_and(|break_at| index >= break_at) {
            return Err(Interruption::Broken);
        }
        self.state.index += 1;
        Ok(Some((index, self.answer.token(index))))
    }
}

impl<S> Run<S> {
    /// The answer that is generated.
    #[must_use]
    pub fn answer(&self) -> &Answer {
        &self.answer
    }

    fn check(&self) -> Result<(), Interruption> {
        if self.slot.is_broken() {
            return Err(Interruption::Broken);
        }
        if self.cancelled.get() {
            return Err(Interruption::Cancelled);
        }
        Ok(())
    }
}
