use std::cell::Cell;

/// Injected stream failures that are still pending.
#[derive(Default)]
pub(super) struct Breaks {
    remaining: Cell<u32>,
    at_token: Cell<u32>,
}

impl Breaks {
    /// Breaks the next `count` answers before the token with index `at_token`.
    pub(super) fn set(&self, count: u32, at_token: u32) {
        self.remaining.set(count);
        self.at_token.set(at_token);
    }

    /// Index of the token before which the answer that starts now breaks, if any.
    pub(super) fn next(&self) -> Option<u32> {
        let remaining = self.remaining.get();
        self.remaining.set(remaining.saturating_sub(1));
        (remaining > 0).then(|| self.at_token.get())
    }
}
