use crate::router::Policy;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Contender {
    /// The system itself.
    Comfreyroad,
    /// A router to compare with.
    Baseline(Policy),
}

impl Contender {
    /// All of them, the system first.
    pub const ALL: [Self; 5] = [
        Self::Comfreyroad,
        Self::Baseline(Policy::RoundRobin),
        Self::Baseline(Policy::LeastLoaded),
        Self::Baseline(Policy::Dearest),
        Self::Baseline(Policy::Cheapest),
    ];

    /// Its name in tables and plots.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Comfreyroad => "comfreyroad",
            Self::Baseline(policy) => policy.name(),
        }
    }

    /// The policy of a router to compare with.
    #[must_use]
    pub fn policy(self) -> Option<Policy> {
        match self {
            Self::Comfreyroad => None,
            Self::Baseline(policy) => Some(policy),
        }
    }
}
