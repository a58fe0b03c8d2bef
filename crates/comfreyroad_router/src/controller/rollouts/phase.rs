use std::time::Instant;

/// A small fraction of the requests goes to the new version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Canary;

/// All new requests go to the new version while the old one finishes its open requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cutover {
    pub(super) started_at: Instant,
}

/// The rollout was rolled back: only the old version serves requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rollback;

/// The rollout has completed: only the new version serves requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completion;

/// The phase of a rollout.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    Canary(Canary),
    Cutover(Cutover),
    Rollback(Rollback),
    Completion(Completion),
}

impl Canary {
    pub(super) fn cut_over(self, now: Instant) -> Cutover {
        Cutover { started_at: now }
    }

    pub(super) fn roll_back(self) -> Rollback {
        Rollback
    }
}

impl Cutover {
    pub(super) fn roll_back(self) -> Rollback {
        Rollback
    }
}

impl Phase {
    /// The name used in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Canary(_) => "canary",
            Self::Cutover(_) => "cutover",
            Self::Rollback(_) => "rollback",
            Self::Completion(_) => "completion",
        }
    }

    /// Rolls back to the old version; has no effect in a final phase.
    pub(super) fn roll_back(self) -> Self {
        match self {
            Self::Canary(canary) => Self::Rollback(canary.roll_back()),
            Self::Cutover(cutover) => Self::Rollback(cutover.roll_back()),
            terminal @ (Self::Rollback(_) | Self::Completion(_)) => terminal,
        }
    }
}
