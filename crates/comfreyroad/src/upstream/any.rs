use std::time::{Instant, SystemTime};

use super::{Cold, Info, Leaving, Stage, Upstream, Warm, Warming};
use crate::id::BootId;

/// An upstream at any stage.
#[derive(Debug)]
pub enum Any {
    /// Just started, or of unknown state.
    Cold(Upstream<Cold>),
    /// Gets more concurrent requests with each good answer.
    Warming(Upstream<Warming>),
    /// Takes its full load.
    Warm(Upstream<Warm>),
    /// Gets no new requests.
    Leaving(Upstream<Leaving>),
}

impl Any {
    /// The data kept at every stage.
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

    /// Whether it is at the last stage.
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

    /// Good answers since it was cold; `u32::MAX` once it is warm.
    pub fn good_answers(&self) -> u32 {
        match self {
            Self::Warming(upstream) => upstream.stage().good_answers,
            Self::Warm(_) => u32::MAX,
            Self::Cold(_) | Self::Leaving(_) => 0,
        }
    }

    /// Applies a count of good answers; `required` of them make it warm.
    pub(crate) fn record_good_answers(
        self,
        good_answers: u32,
        required: u32,
        now: Instant,
    ) -> Self {
        match self {
            Self::Cold(cold) if good_answers > 0 => {
                Self::Warming(cold.warm_up(now)).record_good_answers(good_answers, required, now)
            }
            Self::Warming(warming) if good_answers >= required => Self::Warm(warming.finish()),
            Self::Warming(mut warming) => {
                warming.record_good_answers(good_answers);
                Self::Warming(warming)
            }
            other => other,
        }
    }

    /// Makes it cold after a restart, with the new start where it is known.
    pub(crate) fn restart(self, boot: Option<BootId>, started_at: Option<SystemTime>) -> Self {
        Self::Cold(match self {
            Self::Cold(upstream) => upstream.restart(boot, started_at),
            Self::Warming(upstream) => upstream.restart(boot, started_at),
            Self::Warm(upstream) => upstream.restart(boot, started_at),
            // A leaving upstream stays at that stage when it restarts.
            Self::Leaving(_) => return self,
        })
    }

    /// Makes it cold until it is known whether it has restarted.
    pub(crate) fn suspect_restart(self) -> Self {
        Self::Cold(match self {
            Self::Cold(upstream) => upstream.suspect_restart(),
            Self::Warming(upstream) => upstream.suspect_restart(),
            Self::Warm(upstream) => upstream.suspect_restart(),
            Self::Leaving(_) => return self,
        })
    }

    /// Makes it cold at the same start, because its caches were emptied.
    pub(crate) fn clear_caches(self, clear_seq: u64) -> Self {
        Self::Cold(match self {
            Self::Cold(upstream) => upstream.clear_caches(clear_seq),
            Self::Warming(upstream) => upstream.clear_caches(clear_seq),
            Self::Warm(upstream) => upstream.clear_caches(clear_seq),
            Self::Leaving(_) => return self,
        })
    }

    /// Moves it to the last stage.
    pub(crate) fn leave(self) -> Self {
        Self::Leaving(match self {
            Self::Cold(upstream) => upstream.leave(),
            Self::Warming(upstream) => upstream.leave(),
            Self::Warm(upstream) => upstream.leave(),
            Self::Leaving(upstream) => upstream,
        })
    }
}
