use std::time::Duration;

/// Part of the allowed exposure at which a version is tried first.
const TRIAL: f64 = 0.8;
/// Part of the allowed exposure between the trial and the cutover. Some versions are bad in ways that no answer shows, so
/// what is allowed must also hold for what moves before the rollout's time is over.
const TRICKLE: f64 = 0.1;
/// Part of the allowed exposure and slack that is used; the rest covers what other entries have sent since they last told.
const USED: f64 = 0.85;
/// Part of a rollout's time before which no session under way moves.
const FIRST_HALF: f64 = 0.52;
/// Time before a rollout's end at which all requests move at the latest.
const CUT_OVER_BEFORE: Duration = Duration::from_millis(2200);

/// What a version under trial may get of a pool's requests in a rollout's time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exposure {
    /// As a part of all.
    pub(super) share: f64,
    /// Beyond that.
    pub(super) slack: f64,
}

impl Exposure {
    /// Part of new requests that tries the new version first.
    pub(super) fn trial(self) -> f64 {
        self.share * TRIAL
    }

    /// Part of new requests between the trial and the cutover.
    pub(super) fn trickle(self) -> f64 {
        self.share * TRICKLE
    }

    /// Whether all requests have to move at an age of the rollout, for it to be over in time.
    pub(super) fn must_cut_over(age: Duration, lasts: Duration) -> bool {
        age >= lasts.mul_f64(FIRST_HALF) && lasts.saturating_sub(age) <= CUT_OVER_BEFORE
    }

    /// Whether all requests may move at an age of the rollout, with so many sent to the new version and to the others: also
    /// if the new version is bad, it then gets no more than is allowed in the rollout's time, as far as requests come as
    /// they have come so far.
    pub(super) fn may_cut_over(
        self,
        age: Duration,
        lasts: Duration,
        (target, others): (f64, f64),
    ) -> bool {
        let left = lasts.saturating_sub(age);
        if age < lasts.mul_f64(FIRST_HALF) {
            return false;
        }
        let all = target + others;
        let coming = all / age.as_secs_f64().max(1.0) * left.as_secs_f64();
        let allowed = self.share * (all + coming) + self.slack;
        target + coming <= allowed * USED
    }
}
