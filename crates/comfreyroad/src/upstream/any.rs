use super::{Cold, Info, Leaving, Life, Upstream, Warm, Warming};

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

    /// Cold again, with a new start where one is known.
    pub(crate) fn restart(self, boot: Option<crate::id::BootId>) -> Self {
        Self::Cold(match self {
            Self::Cold(upstream) => upstream.restart(boot),
            Self::Warming(upstream) => upstream.restart(boot),
            Self::Warm(upstream) => upstream.restart(boot),
            // A leaving upstream stays so, whatever it restarts.
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
