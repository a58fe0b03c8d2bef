/// How recently an entry has confirmed that its rules are the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Confirmed recently.
    Fresh,
    /// Not confirmed recently, but entries of every zone report the same: nobody can reach the log, so nothing can be
    /// published, and new work is accepted under the last known rules.
    Outage,
    /// Not confirmed recently, and newer rules may exist: no new work is accepted.
    Stale,
}

impl Freshness {
    /// Name for logs and status pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Outage => "outage",
            Self::Stale => "stale",
        }
    }

    /// Whether new work may be accepted.
    pub fn accepts_work(self) -> bool {
        self != Self::Stale
    }
}
