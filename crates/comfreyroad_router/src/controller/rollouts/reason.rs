/// Why a rollout is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The answers are significantly worse or slower than those of the other versions.
    Evidence,
    /// The answers look worse or slower when all requests are to move to the new version.
    Suspicion,
    /// The exposure limit did not admit a cutover in time.
    Exposure,
    /// Another entry has rolled it back.
    Peer,
}

impl Reason {
    /// The name used in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Suspicion => "suspicion",
            Self::Exposure => "exposure",
            Self::Peer => "peer",
        }
    }
}
