use std::str::FromStr;

/// How the upstream and the model are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Upstreams and models in turn.
    #[default]
    RoundRobin,
    /// The upstream with the least load; models in turn.
    LeastLoaded,
    /// The upstream with the least load; the dearest model.
    Dearest,
    /// The upstream with the least load; the cheapest model.
    Cheapest,
}

impl Policy {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Dearest,
        Self::Cheapest,
    ];

    /// Its name on a command line.
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
            .ok_or_else(|| format!("{name}: no such policy"))
    }
}
