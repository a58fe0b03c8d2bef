use std::time::Duration;

/// Fraction of the exposure limit used during the trial, the first part of the canary phase.
const TRIAL_FRACTION: f64 = 0.8;
/// Fraction of the exposure limit used between the trial and the cutover. Some bad versions show no bad answers, so the
/// limit must also cover the requests that move at the cutover, before the rollout's time is over.
const TRICKLE_FRACTION: f64 = 0.1;
/// Fraction of the exposure limit and its slack that is used. The rest covers requests that other entries have sent since
/// their last report.
const SAFETY_FACTOR: f64 = 0.85;
/// Fraction of the rollout's duration before which sessions in progress do not move to the new version.
const MIN_CANARY_FRACTION: f64 = 0.52;
/// Time before the end of a rollout at which all requests move to the new version at the latest.
const LATEST_CUTOVER_BEFORE_END: Duration = Duration::from_millis(2200);

/// Limit on the requests that an unproven version may receive within the duration of a rollout.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exposure {
    /// Fraction of the pool's requests.
    pub(super) share: f64,
    /// Requests allowed in addition to the fraction.
    pub(super) slack: f64,
}

impl Exposure {
    /// Fraction of new requests sent to the new version during the trial.
    pub(super) fn trial_share(self) -> f64 {
        self.share * TRIAL_FRACTION
    }

    /// Fraction of new requests sent to the new version between the trial and the cutover.
    pub(super) fn trickle_share(self) -> f64 {
        self.share * TRICKLE_FRACTION
    }

    /// Whether all requests must move at this age of the rollout so that it finishes within its duration.
    pub(super) fn must_cut_over(age: Duration, duration: Duration) -> bool {
        age >= duration.mul_f64(MIN_CANARY_FRACTION)
            && duration.saturating_sub(age) <= LATEST_CUTOVER_BEFORE_END
    }

    /// Whether all requests may move at this age of the rollout, given the requests sent so far to the new version and to
    /// the others. If requests keep arriving at the rate seen so far, the new version stays within the exposure limit for
    /// the whole duration of the rollout, even if it turns out to be bad.
    pub(super) fn may_cut_over(
        self,
        age: Duration,
        duration: Duration,
        (target, others): (f64, f64),
    ) -> bool {
        let remaining = duration.saturating_sub(age);
        if age < duration.mul_f64(MIN_CANARY_FRACTION) {
            return false;
        }
        let total = target + others;
        let expected = total / age.as_secs_f64().max(1.0) * remaining.as_secs_f64();
        let allowed = self.share * (total + expected) + self.slack;
        target + expected <= allowed * SAFETY_FACTOR
    }
}
