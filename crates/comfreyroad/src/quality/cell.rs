use super::Score;
use crate::id::Generation;

/// The ratings of a version on a route, as counted by one start of one entry.
///
/// Only its origin writes a cell, and each write increases it in the order of its fields. So the greater of two cells
/// is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Cell {
    /// The generation that lifted the last hold of the version. Counting restarts with it.
    pub since: Generation,
    /// Number of the newest time window.
    pub window: u64,
    /// Ratings of all earlier windows.
    pub old: Score,
    /// Ratings of the newest window.
    pub new: Score,
}

impl Cell {
    /// Counts a rating in a time window. An earlier window counts as the newest one.
    pub fn count(&mut self, window: u64, is_good: bool) {
        if window > self.window {
            self.old += std::mem::take(&mut self.new);
            self.window = window;
        }
        self.new.count(is_good);
    }

    /// Ratings of all windows.
    pub fn all(self) -> Score {
        let mut all = self.old;
        all += self.new;
        all
    }

    /// Whether its counts are consistent.
    pub fn is_valid(self) -> bool {
        self.old.is_valid() && self.new.is_valid()
    }
}
