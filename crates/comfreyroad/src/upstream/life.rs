use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use super::{Load, Vm};
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
    /// After a failure, when it may be tried again.
    pub avoid_until: Option<Instant>,
    /// Requests of this entry sent since the newest report was true.
    pub sent_since_load: u32,
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
    pub(crate) fn restart(self, boot: Option<BootId>) -> Upstream<Cold> {
        let info = Info {
            boot,
            load: None,
            sent_since_load: 0,
            ..self.info
        };
        Upstream { info, stage: Cold }
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
            avoid_until: None,
            sent_since_load: 0,
        };
        Self { info, stage: Cold }
    }

    /// It has been up for long, by its own report.
    pub(crate) fn trust(self) -> Upstream<Warm> {
        Upstream {
            info: self.info,
            stage: Warm,
        }
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
    pub(crate) fn count_good(&mut self) {
        self.stage.good = self.stage.good.saturating_add(1);
    }

    /// Enough good answers at full size.
    pub(crate) fn finish(self) -> Upstream<Warm> {
        Upstream {
            info: self.info,
            stage: Warm,
        }
    }
}
