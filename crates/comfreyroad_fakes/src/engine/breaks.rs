use std::cell::Cell;

/// Streams that a fault is still to break, and where.
#[derive(Default)]
pub(super) struct Breaks {
    left: Cell<u32>,
    after: Cell<u32>,
}

impl Breaks {
    /// Breaks the next `left` answers before token `after`.
    pub(super) fn set(&self, left: u32, after: u32) {
        self.left.set(left);
        self.after.set(after);
    }

    /// Where the answer that starts now is to break.
    pub(super) fn next(&self) -> Option<u32> {
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        (left > 0).then(|| self.after.get())
    }
}
