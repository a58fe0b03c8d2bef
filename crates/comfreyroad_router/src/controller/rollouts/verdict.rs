/// Log evidence at which a new version is found bad: at most one false positive in fifty rollouts, which costs a rollout but no
/// request.
const BAD: f64 = 4.0;
/// Log evidence at which a version is not completed: it is as likely bad as sound.
const SUSPICIOUS: f64 = 0.0;
/// Log evidence up to which a new version is sound enough to get all requests: the answers fit nearly three times as well to a
/// sound version as to a bad one.
const SOUND: f64 = -1.0;

/// Log evidence that a new version is bad.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    /// That it fails more often.
    pub(super) failures: f64,
    /// That its answers take longer; `None` if there is nothing to compare them with.
    pub(super) times: Option<f64>,
}

impl Evidence {
    /// Whether the version is found bad.
    pub(super) fn is_bad(self) -> bool {
        self.failures >= BAD || self.times.is_some_and(|times| times >= BAD)
    }

    /// Whether the version is more likely bad than not.
    pub(super) fn is_suspicious(self) -> bool {
        self.failures >= SUSPICIOUS || self.times.is_some_and(|times| times >= SUSPICIOUS)
    }

    /// Whether the answers show that the version is sound. Without answers they do not.
    pub(super) fn is_sound(self) -> bool {
        self.failures <= SOUND && self.times.is_none_or(|times| times <= SOUND)
    }
}
