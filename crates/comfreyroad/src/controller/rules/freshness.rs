/// How sure an entry is that its rules are the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Confirmed a short time ago.
    Fresh,
    /// Not confirmed, but entries of every zone say the same: the log is out of reach of all, so nothing can be
    /// published, and work goes on.
    Outage,
    /// Not confirmed, and there may be newer rules: no new work.
    Stale,
}

impl Freshness {
    /// Its name, for people.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Outage => "outage",
            Self::Stale => "stale",
        }
    }

    /// Whether new work may be taken.
    pub fn takes_work(self) -> bool {
        self != Self::Stale
    }
}
