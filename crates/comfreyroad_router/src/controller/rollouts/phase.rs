use std::time::Instant;

/// A small part of the requests tries the new version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Canary;

/// All requests move to the new version, a growing part of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shift {
    pub(super) began: Instant,
}

/// Every request has moved, and the old version finishes what it has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finish {
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
    Shift(Shift),
    Finish(Finish),
    Revert(Revert),
    Complete(Complete),
}

impl Canary {
    pub(super) fn shift(self, now: Instant) -> Shift {
        Shift { began: now }
    }

    pub(super) fn revert(self) -> Revert {
        Revert
    }
}

impl Shift {
    pub(super) fn finish(self, now: Instant) -> Finish {
        Finish { began: now }
    }

    pub(super) fn revert(self) -> Revert {
        Revert
    }
}

impl Finish {
    pub(super) fn revert(self) -> Revert {
        Revert
    }
}

impl Phase {
    /// Gives the new version up, where that is still possible.
    pub(super) fn revert(self) -> Self {
        match self {
            Self::Canary(canary) => Self::Revert(canary.revert()),
            Self::Shift(shift) => Self::Revert(shift.revert()),
            Self::Finish(finish) => Self::Revert(finish.revert()),
            over @ (Self::Revert(_) | Self::Complete(_)) => over,
        }
    }
}
