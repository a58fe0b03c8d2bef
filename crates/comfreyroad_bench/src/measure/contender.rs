use crate::router::Policy;

/// A router that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Contender {
    /// The entries of comfreyroad.
    Comfreyroad,
    /// A baseline router with a policy.
    Baseline(Policy),
}

impl Contender {
    /// All contenders, comfreyroad first.
    pub const ALL: [Self; 5] = [
        Self::Comfreyroad,
        Self::Baseline(Policy::RoundRobin),
        Self::Baseline(Policy::LeastLoaded),
        Self::Baseline(Policy::Dearest),
        Self::Baseline(Policy::Cheapest),
    ];

    /// Name in tables and plots.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Comfreyroad => "comfreyroad",
            Self::Baseline(policy) => policy.name(),
        }
    }

    /// The policy of a baseline router.
    #[must_use]
    pub fn policy(self) -> Option<Policy> {
        match self {
            Self::Comfreyroad => None,
            Self::Baseline(policy) => Some(policy),
        }
    }
}
