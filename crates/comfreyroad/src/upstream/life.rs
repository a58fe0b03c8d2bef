use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

use super::{Evidence, Load, Pause, Share, Vm};
use crate::id::{Address, BootId, PoolId, UpstreamId, ZoneId};

/// A stage of an upstream's life.
pub trait Life {
    /// Name of the stage, for people.
    const NAME: &'static str;
}

/// What is known of an upstream at any stage.
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
    /// The start of its program, once known.
    pub boot: Option<BootId>,
    /// The newest report.
    pub load: Option<Load>,
    /// Requests of this entry at the upstream; counted down by the slots' drop.
    pub in_flight: Rc<Cell<u32>>,
    /// How sure the knowledge of its present start is.
    pub evidence: Evidence,
    /// What of it belongs to this entry while it is not warm.
    pub share: Share,
    /// After failures, when it may be tried again.
    pub pause: Pause,
    /// Whether this entry sends to it by choice; others only where it holds slots.
    pub is_near: bool,
    /// Whether it falls to this entry to ask it for its load.
    pub is_poller: bool,
    /// When it is to be asked next.
    pub ask_at: Option<Instant>,
    /// Whether the VM list still names it.
    pub is_listed: bool,
}

/// An upstream at one stage of its life.
#[derive(Debug)]
pub struct Upstream<S> {
    info: Info,
    stage: S,
}

/// Just started, or nothing is known of it.
#[derive(Debug)]
pub struct Cold;

/// Answers well, and is given more with each good answer.
#[derive(Debug)]
pub struct Warming {
    /// Good answers since it was cold.
    pub good: u32,
    /// When the first one came.
    pub since: Instant,
}

/// Bears full load.
#[derive(Debug)]
pub struct Warm;

/// Gets no new work.
#[derive(Debug)]
pub struct Leaving;

impl Life for Cold {
    const NAME: &'static str = "cold";
}
impl Life for Warming {
    const NAME: &'static str = "warming";
}
impl Life for Warm {
    const NAME: &'static str = "warm";
}
impl Life for Leaving {
    const NAME: &'static str = "leaving";
}

impl<S: Life> Upstream<S> {
    /// What is known of it.
    pub fn info(&self) -> &Info {
        &self.info
    }

    /// The stage's own knowledge.
    pub fn stage(&self) -> &S {
        &self.stage
    }

    pub(crate) fn info_mut(&mut self) -> &mut Info {
        &mut self.info
    }

    /// It has started again, or shows a sign of it.
    pub(crate) fn restart(
        mut self,
        boot: Option<BootId>,
        born: Option<SystemTime>,
    ) -> Upstream<Cold> {
        let doubted = self.info.evidence.doubt.take().and_then(|doubt| doubt.boot);
        let before = self.info.boot.take().or(doubted);
        if before.is_some() && before != boot {
            self.info.evidence.former = before;
        }
        let evidence = Evidence {
            born,
            former: self.info.evidence.former,
            at: self.info.evidence.at,
            hinted: self.info.evidence.hinted,
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

    /// Something hints at a new start; what was known is kept in the evidence.
    pub(crate) fn doubt(self) -> Upstream<Cold> {
        Upstream {
            info: self.info,
            stage: Cold,
        }
    }

    /// Cold again, at the same start: its caches were emptied.
    pub(crate) fn clear(mut self, cleared: u64) -> Upstream<Cold> {
        self.info.evidence.cleared = cleared;
        Upstream {
            info: self.info,
            stage: Cold,
        }
    }

    /// It is on its way out.
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
            share: Share::default(),
            pause: Pause::default(),
            is_near: false,
            is_poller: false,
            ask_at: None,
            is_listed: true,
        };
        Self { info, stage: Cold }
    }

    /// The first good answer.
    pub(crate) fn warm_up(self, now: Instant) -> Upstream<Warming> {
        Upstream {
            info: self.info,
            stage: Warming {
                good: 1,
                since: now,
            },
        }
    }
}

impl Upstream<Warming> {
    /// It is known to have given this many good answers.
    pub(crate) fn prove(&mut self, good: u32) {
        self.stage.good = self.stage.good.max(good);
    }

    /// Enough good answers at full size.
    pub(crate) fn finish(self) -> Upstream<Warm> {
        Upstream {
            info: self.info,
            stage: Warm,
        }
    }
}
