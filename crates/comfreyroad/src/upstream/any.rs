use std::time::{Instant, SystemTime};

use super::{Cold, Info, Leaving, Life, Upstream, Warm, Warming};
use crate::id::BootId;

/// An upstream at whichever stage it is.
#[derive(Debug)]
pub enum Any {
    /// Just started, or unknown.
    Cold(Upstream<Cold>),
    /// Given more with each good answer.
    Warming(Upstream<Warming>),
    /// Bears full load.
    Warm(Upstream<Warm>),
    /// Gets no new work.
    Leaving(Upstream<Leaving>),
}

impl Any {
    /// What is known of it.
    pub fn info(&self) -> &Info {
        match self {
            Self::Cold(upstream) => upstream.info(),
            Self::Warming(upstream) => upstream.info(),
            Self::Warm(upstream) => upstream.info(),
            Self::Leaving(upstream) => upstream.info(),
        }
    }

    /// Name of its stage.
    pub fn stage(&self) -> &'static str {
        match self {
            Self::Cold(_) => Cold::NAME,
            Self::Warming(_) => Warming::NAME,
            Self::Warm(_) => Warm::NAME,
            Self::Leaving(_) => Leaving::NAME,
        }
    }

    /// Whether it is on its way out.
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Leaving(_))
    }

    pub(crate) fn info_mut(&mut self) -> &mut Info {
        match self {
            Self::Cold(upstream) => upstream.info_mut(),
            Self::Warming(upstream) => upstream.info_mut(),
            Self::Warm(upstream) => upstream.info_mut(),
            Self::Leaving(upstream) => upstream.info_mut(),
        }
    }

    /// Good answers since it was cold, as far as they count; `u32::MAX` once it is warm.
    pub fn good(&self) -> u32 {
        match self {
            Self::Warming(upstream) => upstream.stage().good,
            Self::Warm(_) => u32::MAX,
            Self::Cold(_) | Self::Leaving(_) => 0,
        }
    }

    /// It is known to have given this many good answers, of `full` that make it warm.
    pub(crate) fn prove(self, good: u32, full: u32, now: Instant) -> Self {
        match self {
            Self::Cold(cold) if good > 0 => Self::Warming(cold.warm_up(now)).prove(good, full, now),
            Self::Warming(warming) if good >= full => Self::Warm(warming.finish()),
            Self::Warming(mut warming) => {
                warming.prove(good);
                Self::Warming(warming)
            }
            other => other,
        }
    }

    /// Cold again, with a new start where one is known.
    pub(crate) fn restart(self, boot: Option<BootId>, born: Option<SystemTime>) -> Self {
        Self::Cold(match self {
            Self::Cold(upstream) => upstream.restart(boot, born),
            Self::Warming(upstream) => upstream.restart(boot, born),
            Self::Warm(upstream) => upstream.restart(boot, born),
            // A leaving upstream stays so, whatever it restarts.
            Self::Leaving(_) => return self,
        })
    }

    /// Cold until something tells whether it has started again.
    pub(crate) fn doubt(self) -> Self {
        Self::Cold(match self {
            Self::Cold(upstream) => upstream.doubt(),
            Self::Warming(upstream) => upstream.doubt(),
            Self::Warm(upstream) => upstream.doubt(),
            Self::Leaving(_) => return self,
        })
    }

    /// Cold again, at the same start.
    pub(crate) fn clear(self, cleared: u64) -> Self {
        Self::Cold(match self {
            Self::Cold(upstream) => upstream.clear(cleared),
            Self::Warming(upstream) => upstream.clear(cleared),
            Self::Warm(upstream) => upstream.clear(cleared),
            Self::Leaving(_) => return self,
        })
    }

    /// On its way out.
    pub(crate) fn leave(self) -> Self {
        Self::Leaving(match self {
            Self::Cold(upstream) => upstream.leave(),
            Self::Warming(upstream) => upstream.leave(),
            Self::Warm(upstream) => upstream.leave(),
            Self::Leaving(upstream) => upstream,
        })
    }
}
