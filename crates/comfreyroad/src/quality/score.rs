use std::ops::AddAssign;

/// Rated answers, and the good ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Score {
    /// Answers that were rated.
    pub rated: u32,
    /// Those that were good.
    pub good: u32,
}

impl Score {
    /// Counts one more answer.
    pub fn count(&mut self, is_good: bool) {
        self.rated = self.rated.saturating_add(1);
        self.good = self.good.saturating_add(is_good.into());
    }

    /// The part of good answers to expect: the mean of a uniform prior and what was seen.
    pub fn mean(self) -> f64 {
        (f64::from(self.good) + 1.0) / (f64::from(self.rated) + 2.0)
    }

    /// Whether it can be a count at all.
    pub fn is_valid(self) -> bool {
        self.good <= self.rated
    }
}

impl AddAssign for Score {
    fn add_assign(&mut self, other: Self) {
        self.rated = self.rated.saturating_add(other.rated);
        self.good = self.good.saturating_add(other.good);
    }
}
