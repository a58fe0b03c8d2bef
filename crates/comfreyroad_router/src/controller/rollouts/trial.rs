use std::time::Duration;

use super::exposure::Exposure;
use crate::frame::RolloutProgress;

/// Requests after which a trial has shown what it can: three failures in ten show in a third of their answers.
const REQUESTS: f64 = 48.0;
/// Time in which a trial's requests are to be sent where that takes less than the share which is allowed. The fewer sessions
/// a trial moves, the fewer come to an entry that has not heard of their move.
const SENT_IN: Duration = Duration::from_secs(4);
/// Part of a rollout's time after which the trial is over in any case.
const LASTS: f64 = 0.55;
/// Logarithm of the evidence from which a trial goes on for more answers: as likely worse as not.
const SUSPICION: f64 = 0.0;
/// Time after an order in which entries tell each other of the sessions that keep the old version: four rounds of gossip.
const NOTICE: Duration = Duration::from_millis(2000);
/// Part of the live entries whose counts are known to one that decides by counts.
const INFORMED: f64 = 0.75;

/// How many new requests go to a new version before all do.
///
/// Entries that know the counts of most others decide, and the others go by what these tell.
#[derive(Debug)]
pub(super) struct Trial {
    exposure: Exposure,
    planned: Option<f64>,
    told: Option<f64>,
    is_informed: bool,
}

/// A rollout at a moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment {
    /// Time since the order.
    pub(super) age: Duration,
    /// Time that the rollout may take.
    pub(super) lasts: Duration,
    /// Requests of all entries to the new version, and to the others.
    pub(super) sent: (f64, f64),
    /// Logarithm of the evidence against the new version.
    pub(super) evidence: f64,
}

impl Trial {
    pub(super) fn new(exposure: Exposure) -> Self {
        Self {
            exposure,
            planned: None,
            told: None,
            is_informed: false,
        }
    }

    /// Part of new requests that the trial sends to the new version, once it is known.
    pub(super) fn planned(&self) -> Option<f64> {
        self.planned
    }

    /// The same, or what it is at most.
    pub(super) fn widest(&self) -> f64 {
        self.planned.unwrap_or(self.exposure.trial())
    }

    /// Whether this entry decides by counts.
    pub(super) fn is_informed(&self) -> bool {
        self.is_informed
    }

    /// Takes what another entry decided.
    pub(super) fn hear(&mut self, progress: &RolloutProgress) {
        if let Some(planned) = progress.trial_share {
            self.planned = Some(self.planned.map_or(planned, |known| known.min(planned)));
        }
        self.told = progress.target_share.or(self.told);
    }

    /// Goes on with time and counts, those of `counted` entries of the `live` ones.
    pub(super) fn advance(&mut self, moment: Moment, counted: usize, live: usize) {
        self.is_informed = counted as f64 >= live as f64 * INFORMED;
        if self.planned.is_some() || !self.is_informed || moment.age < NOTICE {
            return;
        }
        // By the requests that have come while entries told each other of sessions.
        let (target, others) = moment.sent;
        let coming = (target + others) / moment.age.as_secs_f64() * SENT_IN.as_secs_f64();
        self.planned = Some(self.exposure.trial().min(REQUESTS / coming.max(1.0)));
    }

    /// Part of new requests that go to the new version.
    pub(super) fn share(&self, moment: Moment) -> f64 {
        if moment.age < NOTICE {
            return 0.0;
        }
        if !self.is_informed {
            return self.told.unwrap_or(self.widest());
        }
        if Self::is_over(moment) {
            return self.exposure.trickle().min(self.widest());
        }
        self.widest()
    }

    /// Whether the trial has shown what it can. One that looks bad goes on until it is known.
    fn is_over(moment: Moment) -> bool {
        let (target, _) = moment.sent;
        let is_late = moment.age >= moment.lasts.mul_f64(LASTS);
        is_late || (target >= REQUESTS && moment.evidence < SUSPICION)
    }

    /// Whether all requests may move: by counts, as others tell, or at the last moment.
    pub(super) fn may_cut_over(&self, moment: Moment) -> bool {
        let Moment {
            age, lasts, sent, ..
        } = moment;
        if Exposure::must_cut_over(age, lasts) {
            return true;
        }
        if self.is_informed {
            return self.exposure.may_cut_over(age, lasts, sent);
        }
        self.told.is_some_and(|share| share >= 1.0)
    }
}
