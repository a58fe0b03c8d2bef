use super::Score;
use crate::id::Generation;

/// What one start of one entry has counted of a version on a route.
///
/// A cell only grows in the order of its fields, and only its origin writes it, so the greater of two is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Cell {
    /// The generation that lifted the version's last hold, from which on it is counted anew.
    pub since: Generation,
    /// Number of the newest window of time.
    pub window: u64,
    /// Answers of all windows before.
    pub old: Score,
    /// Answers of the newest window.
    pub new: Score,
}

impl Cell {
    /// Counts one more answer in a window of time; an earlier window counts as the newest one.
    pub fn count(&mut self, window: u64, is_good: bool) {
        if window > self.window {
            self.old += std::mem::take(&mut self.new);
            self.window = window;
        }
        self.new.count(is_good);
    }

    /// Answers of all windows.
    pub fn all(self) -> Score {
        let mut all = self.old;
        all += self.new;
        all
    }

    /// Whether it can be a count at all.
    pub fn is_valid(self) -> bool {
        self.old.is_valid() && self.new.is_valid()
    }
}
