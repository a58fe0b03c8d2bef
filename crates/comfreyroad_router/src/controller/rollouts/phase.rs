use std::time::Instant;

/// A small part of the requests tries the new version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Canary;

/// Every request has moved, and the old version finishes what it has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cutover {
    pub(super) began: Instant,
}

/// The new version is out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Revert;

/// The old version is out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Complete;

/// How far a rollout is.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    Canary(Canary),
    Cutover(Cutover),
    Revert(Revert),
    Complete(Complete),
}

impl Canary {
    pub(super) fn cut_over(self, now: Instant) -> Cutover {
        Cutover { began: now }
    }

    pub(super) fn revert(self) -> Revert {
        Revert
    }
}

impl Cutover {
    pub(super) fn revert(self) -> Revert {
        Revert
    }
}

impl Phase {
    /// Gives the new version up, where that is still possible.
    pub(super) fn revert(self) -> Self {
        match self {
            Self::Canary(canary) => Self::Revert(canary.revert()),
            Self::Cutover(cutover) => Self::Revert(cutover.revert()),
            over @ (Self::Revert(_) | Self::Complete(_)) => over,
        }
    }
}
