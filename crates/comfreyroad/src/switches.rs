//! Mechanisms that a test can switch off, to see that it then fails.

/// Which mechanisms work; all of them by default, and no daemon has a flag for any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Switches {
    /// Signals are held against the attempt, the order and the count of their answer.
    pub checks_answers: bool,
    /// Retries have a budget.
    pub bounds_retries: bool,
    /// Late first parts are hedged.
    pub hedges: bool,
    /// Calls are refused early by class and deadline.
    pub sheds: bool,
    /// Waiting calls get their turn by class, customer and weight.
    pub is_fair: bool,
    /// Sessions of callers' own ids keep their version when shares change.
    pub keeps_ids: bool,
    /// Waiting requests get another version when theirs is withdrawn.
    pub pins_again: bool,
    /// A draining entry waits for its calls.
    pub drains: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            checks_answers: true,
            bounds_retries: true,
            hedges: true,
            sheds: true,
            is_fair: true,
            keeps_ids: true,
            pins_again: true,
            drains: true,
        }
    }
}
