use std::ops::AddAssign;

/// Numbers of rated answers and of good answers among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Score {
    /// Rated answers.
    pub rated: u32,
    /// Good answers.
    pub good: u32,
}

impl Score {
    /// Counts a rated answer.
    pub fn count(&mut self, is_good: bool) {
        self.rated = self.rated.saturating_add(1);
        self.good = self.good.saturating_add(is_good.into());
    }

    /// Expected rate of good answers: the posterior mean under a uniform prior.
    pub fn mean(self) -> f64 {
        (f64::from(self.good) + 1.0) / (f64::from(self.rated) + 2.0)
    }

    /// Whether the counts are consistent.
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
