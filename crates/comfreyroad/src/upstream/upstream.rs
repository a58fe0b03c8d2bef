use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

use super::{Allocation, Backoff, Evidence, Load, Vm};
use crate::id::{Address, BootId, PoolId, UpstreamId, ZoneId};

/// A stage of an upstream's life.
pub trait Stage {
    /// Name of the stage, for logs and status pages.
    const NAME: &'static str;
}

/// The data of an upstream that is kept at every stage.
#[derive(Clone, Debug)]
pub struct Info {
    /// Its name.
    pub id: UpstreamId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// IP number and port.
    pub address: Address,
    /// The current start of its program, once known.
    pub boot: Option<BootId>,
    /// The newest report.
    pub load: Option<Load>,
    /// Requests of this entry at the upstream. Dropping a [`Slot`](super::Slot) decrements it.
    pub in_flight: Rc<Cell<u32>>,
    /// The observations of its current start.
    pub evidence: Evidence,
    /// The slots that belong to this entry while the upstream is not warm.
    pub allocation: Allocation,
    /// The backoff after failures.
    pub backoff: Backoff,
    /// Whether this entry sends requests to it regularly. To any other upstream it sends only where it holds slots.
    pub is_preferred: bool,
    /// Whether this entry polls it for its load.
    pub is_poller: bool,
    /// When it is polled next.
    pub next_poll_at: Option<Instant>,
    /// Whether the VM list still contains it.
    pub is_listed: bool,
}

/// An upstream at one stage of its life.
#[derive(Debug)]
pub struct Upstream<S> {
    info: Info,
    stage: S,
}

/// Just started, or of unknown state.
#[derive(Debug)]
pub struct Cold;

/// Answers well, and gets more concurrent requests with each good answer.
#[derive(Debug)]
pub struct Warming {
    /// Good answers since it was cold.
    pub good_answers: u32,
    /// When the first one arrived.
    pub since: Instant,
}

/// Takes its full load.
#[derive(Debug)]
pub struct Warm;

/// Gets no new requests.
#[derive(Debug)]
pub struct Leaving;

impl Stage for Cold {
    const NAME: &'static str = "cold";
}
impl Stage for Warming {
    const NAME: &'static str = "warming";
}
impl Stage for Warm {
    const NAME: &'static str = "warm";
}
impl Stage for Leaving {
    const NAME: &'static str = "leaving";
}

impl<S: Stage> Upstream<S> {
    /// The data kept at every stage.
    pub fn info(&self) -> &Info {
        &self.info
    }

    /// The data of the stage.
    pub fn stage(&self) -> &S {
        &self.stage
    }

    pub(crate) fn info_mut(&mut self) -> &mut Info {
        &mut self.info
    }

    /// Makes it cold after a restart, or a sign of one.
    pub(crate) fn restart(
        mut self,
        boot: Option<BootId>,
        started_at: Option<SystemTime>,
    ) -> Upstream<Cold> {
        let suspected = self
            .info
            .evidence
            .suspicion
            .take()
            .and_then(|suspicion| suspicion.boot);
        let previous = self.info.boot.take().or(suspected);
        if previous.is_some() && previous != boot {
            self.info.evidence.previous_boot = previous;
        }
        let evidence = Evidence {
            started_at,
            previous_boot: self.info.evidence.previous_boot,
            reported_at: self.info.evidence.reported_at,
            last_hint_at: self.info.evidence.last_hint_at,
            ..Evidence::default()
        };
        let info = Info {
            boot,
            load: None,
            evidence,
            ..self.info
        };
        Upstream { info, stage: Cold }
    }

    /// Makes it cold after a hint at a restart. The evidence keeps the previous state.
    pub(crate) fn suspect_restart(self) -> Upstream<Cold> {
        Upstream {
            info: self.info,
            stage: Cold,
        }
    }

    /// Makes it cold at the same start, because its caches were emptied.
    pub(crate) fn clear_caches(mut self, clear_seq: u64) -> Upstream<Cold> {
        self.info.evidence.clear_seq = clear_seq;
        Upstream {
            info: self.info,
            stage: Cold,
        }
    }

    /// Moves it to the last stage.
    pub(crate) fn leave(self) -> Upstream<Leaving> {
        Upstream {
            info: self.info,
            stage: Leaving,
        }
    }
}

impl Upstream<Cold> {
    pub(crate) fn new(vm: &Vm) -> Self {
        let info = Info {
            id: vm.id.clone(),
            pool: vm.pool.clone(),
            zone: vm.zone.clone(),
            address: vm.address.clone(),
            boot: None,
            load: None,
            in_flight: Rc::default(),
            evidence: Evidence::default(),
            allocation: Allocation::default(),
            backoff: Backoff::default(),
            is_preferred: false,
            is_poller: false,
            next_poll_at: None,
            is_listed: true,
        };
        Self { info, stage: Cold }
    }

    /// Starts warming after the first good answer.
    pub(crate) fn warm_up(self, now: Instant) -> Upstream<Warming> {
        Upstream {
            info: self.info,
            stage: Warming {
                good_answers: 1,
                since: now,
            },
        }
    }
}

impl Upstream<Warming> {
    /// Raises the count of good answers.
    pub(crate) fn record_good_answers(&mut self, good_answers: u32) {
        self.stage.good_answers = self.stage.good_answers.max(good_answers);
    }

    /// Ends warming after enough good answers.
    pub(crate) fn finish(self) -> Upstream<Warm> {
        Upstream {
            info: self.info,
            stage: Warm,
        }
    }
}
