use std::str::FromStr;

/// Policy that selects the upstream and the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Upstreams and models in rotation.
    #[default]
    RoundRobin,
    /// The upstream with the least load; models in rotation.
    LeastLoaded,
    /// The upstream with the least load; the most expensive model.
    Dearest,
    /// The upstream with the least load; the cheapest model.
    Cheapest,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Dearest,
        Self::Cheapest,
    ];

    /// Name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Dearest => "dearest",
            Self::Cheapest => "cheapest",
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|policy| policy.name() == name)
            .ok_or_else(|| format!("{name}: unknown policy"))
    }
}
