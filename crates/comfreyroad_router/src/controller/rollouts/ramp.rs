use std::time::Duration;

use super::exposure::{Exposure, Usage};
use crate::frame::Progress;

/// Requests to the new version after which a trial that proves it has enough answers. What it leaves of the exposure limit is for an
/// earlier cutover, and so for more answers under the whole load.
const ENOUGH_REQUESTS: f64 = 30.0;
/// Time within which the trial sends its requests where a lower share than the exposure limit is enough for that. The
/// fewer sessions move, the fewer of them reach an entry that does not know yet that they have moved.
const TRIAL_DURATION: Duration = Duration::from_secs(4);
/// Time after the order in which entries exchange the sessions that are pinned to the old version: four gossip rounds.
const SESSION_SYNC_DELAY: Duration = Duration::from_millis(2000);
/// Fraction of the live entries whose counts an entry must have to decide by counts.
const QUORUM: f64 = 0.75;

/// Controls the share of new requests that the new version receives during the canary phase.
///
/// The canary phase begins with a trial, which is followed by a lower share until the cutover. Entries that have the
/// counts of a quorum of entries decide by counts; the others follow the share that these report.
#[derive(Debug)]
pub(super) struct Ramp {
    exposure: Exposure,
    agreed_trial_share: Option<f64>,
    reported_share: Option<f64>,
    has_quorum: bool,
}

/// The state of a rollout at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Snapshot {
    /// The requests that all entries have sent.
    pub(super) usage: Usage,
    /// Whether the answers show that the new version is sound.
    pub(super) is_proved: bool,
}

impl Ramp {
    pub(super) fn new(exposure: Exposure) -> Self {
        Self {
            exposure,
            agreed_trial_share: None,
            reported_share: None,
            has_quorum: false,
        }
    }

    /// Fraction of new requests that the trial sends to the new version, once an entry has determined it.
    pub(super) fn agreed_trial_share(&self) -> Option<f64> {
        self.agreed_trial_share
    }

    /// The agreed trial share, or its upper limit while there is none.
    pub(super) fn max_share(&self) -> f64 {
        self.agreed_trial_share
            .unwrap_or(self.exposure.trial_share())
    }

    /// Whether this entry has the counts of enough entries to decide by them.
    pub(super) fn has_quorum(&self) -> bool {
        self.has_quorum
    }

    /// Merges the shares that another entry reports. The lowest trial share wins.
    pub(super) fn merge(&mut self, progress: &Progress) {
        if let Some(share) = progress.trial_share {
            self.agreed_trial_share = Some(
                self.agreed_trial_share
                    .map_or(share, |known| known.min(share)),
            );
        }
        self.reported_share = progress.target_share.or(self.reported_share);
    }

    /// Updates the quorum and determines the trial share once there is one. `counted` of the `live` entries have reported
    /// their counts.
    pub(super) fn advance(&mut self, snapshot: Snapshot, counted: usize, live: usize) {
        self.has_quorum = counted as f64 >= live as f64 * QUORUM;
        if self.agreed_trial_share.is_some()
            || !self.has_quorum
            || snapshot.usage.age < SESSION_SYNC_DELAY
        {
            return;
        }
        // The request rate is measured over the time in which entries exchanged their sessions.
        let expected = snapshot.usage.rate() * TRIAL_DURATION.as_secs_f64();
        self.agreed_trial_share = Some(
            self.exposure
                .trial_share()
                .min(ENOUGH_REQUESTS / expected.max(1.0)),
        );
    }

    /// Fraction of new requests that go to the new version.
    pub(super) fn share(&self, snapshot: Snapshot) -> f64 {
        let usage = snapshot.usage;
        if usage.age < SESSION_SYNC_DELAY {
            return 0.0;
        }
        if !self.has_quorum {
            return self.reported_share.unwrap_or(self.max_share());
        }
        if usage.target >= self.exposure.canary_limit(usage) {
            return 0.0;
        }
        if self.is_trial_over(snapshot) {
            return self.exposure.trickle_share().min(self.max_share());
        }
        self.max_share()
    }

    /// Whether the trial has enough answers, or has used its part of the exposure limit.
    fn is_trial_over(&self, snapshot: Snapshot) -> bool {
        let usage = snapshot.usage;
        let is_used_up = usage.target >= self.exposure.trial_limit(usage);
        is_used_up || (usage.target >= ENOUGH_REQUESTS && snapshot.is_proved)
    }

    /// Whether the exposure limit leaves nothing to a version that gets all requests.
    pub(super) fn is_used_up(&self, snapshot: Snapshot) -> bool {
        self.exposure.is_used_up(snapshot.usage)
    }

    /// Whether all requests may move to the new version: by counts, or by the share that others report.
    pub(super) fn may_cut_over(&self, snapshot: Snapshot) -> bool {
        if self.has_quorum {
            return self.exposure.may_cut_over(snapshot.usage);
        }
        self.have_others_cut_over()
    }

    /// Whether another entry has reported that all requests move.
    pub(super) fn have_others_cut_over(&self) -> bool {
        self.reported_share.is_some_and(|share| share >= 1.0)
    }
}
