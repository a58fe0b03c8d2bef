use std::time::Duration;

/// Fraction of the exposure limit used during the trial, the first part of the canary phase.
const TRIAL_FRACTION: f64 = 0.8;
/// Fraction of the exposure limit used between the trial and the cutover.
const TRICKLE_FRACTION: f64 = 0.1;
/// Fraction of the exposure limit and its slack that the trial leaves to the cutover or uses itself. The rest covers requests
/// that other entries have sent since their last report.
const TRIAL_SAFETY_FACTOR: f64 = 0.9;
/// As above, at the cutover: the trial has ended by then, and reports of its requests have arrived.
const CUTOVER_SAFETY_FACTOR: f64 = 0.95;
/// Recent request rate, as a factor of the mean, from which it counts as a burst. Less than this is the jitter of gossip, in which the
/// counts of many entries arrive at a time.
const BURST_FACTOR: f64 = 1.4;
/// Fraction of the rollout's duration before which sessions in progress do not move to the new version.
const MIN_CANARY_FRACTION: f64 = 0.52;
/// Time before the end of a rollout after which requests can no longer move so that it finishes within its duration.
const LATEST_CUTOVER_BEFORE_END: Duration = Duration::from_millis(1500);

/// Limit on the requests that an unproven version may receive within the duration of a rollout.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exposure {
    /// Fraction of the pool's requests.
    pub(super) share: f64,
    /// Requests allowed in addition to the fraction.
    pub(super) slack: f64,
}

/// The requests of a rollout up to one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    /// Time since the order.
    pub(super) age: Duration,
    /// Duration of the rollout.
    pub(super) duration: Duration,
    /// Requests sent to the new version.
    pub(super) target: f64,
    /// Requests sent to the other versions.
    pub(super) others: f64,
    /// Requests per second of late.
    pub(super) recent_rate: f64,
}

impl Usage {
    fn total(&self) -> f64 {
        self.target + self.others
    }

    /// Requests per second: the mean so far, or the recent rate during a burst.
    pub(super) fn rate(&self) -> f64 {
        let mean = self.total() / self.age.as_secs_f64().max(1.0);
        if self.recent_rate > mean * BURST_FACTOR {
            self.recent_rate
        } else {
            mean
        }
    }

    fn remaining(&self) -> Duration {
        self.duration.saturating_sub(self.age)
    }

    /// Requests until the end of the rollout, if they keep arriving at this rate.
    fn expected(&self) -> f64 {
        self.rate() * self.remaining().as_secs_f64()
    }
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

    /// Requests that the new version may receive within the duration of the rollout.
    fn allowed(self, usage: Usage) -> f64 {
        self.share * (usage.total() + usage.expected()) + self.slack
    }

    /// Requests that the new version may receive before the cutover. The others are left to those that move at the latest
    /// cutover: a version that shows no bad answers until then must stay within the limit too.
    pub(super) fn canary_limit(self, usage: Usage) -> f64 {
        let moved = usage.rate() * LATEST_CUTOVER_BEFORE_END.as_secs_f64();
        self.allowed(usage) * TRIAL_SAFETY_FACTOR - moved
    }

    /// Requests that the trial may send: those before the cutover, less those that follow the trial.
    pub(super) fn trial_limit(self, usage: Usage) -> f64 {
        self.canary_limit(usage) - self.trickle_share() * usage.expected()
    }

    /// Whether all requests may move now. If requests keep arriving at the rate seen so far, the new version stays within the
    /// exposure limit for the whole duration of the rollout, even if it turns out to be bad.
    pub(super) fn may_cut_over(self, usage: Usage) -> bool {
        let after = usage.target + usage.expected();
        usage.age >= usage.duration.mul_f64(MIN_CANARY_FRACTION)
            && after <= self.allowed(usage) * CUTOVER_SAFETY_FACTOR
    }

    /// Whether the new version has received nearly all that it may until the end of the rollout.
    pub(super) fn is_used_up(self, usage: Usage) -> bool {
        usage.target >= self.allowed(usage) * CUTOVER_SAFETY_FACTOR
    }

    /// Whether it is too late for a cutover that finishes within the duration of the rollout.
    pub(super) fn is_too_late_to_cut_over(usage: Usage) -> bool {
        usage.remaining() < LATEST_CUTOVER_BEFORE_END
    }
}
