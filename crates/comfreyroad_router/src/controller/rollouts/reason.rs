/// Why a rollout is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The answers are significantly worse or slower than those of the other versions.
    Evidence,
    /// The answers do not show that the new version is sound when all requests are to move to it.
    Unproved,
    /// The exposure limit admitted no cutover in time, or was used up after it.
    Exposure,
    /// Another entry has rolled it back.
    Peer,
}

impl Reason {
    /// The name used in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Unproved => "unproved",
            Self::Exposure => "exposure",
            Self::Peer => "peer",
        }
    }
}
