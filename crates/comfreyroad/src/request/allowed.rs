use super::{Choice, Class, Pinned, Request, Stage};
use crate::id::{CustomerId, PoolId, RouteId, VersionId};

/// Known to come from a customer who may ask this.
#[derive(Clone, Debug)]
pub struct Allowed {
    /// Who asks.
    pub customer: CustomerId,
    /// The route asked for; the model's or service's own name where there is no route.
    pub route: RouteId,
    /// The versions that may answer, none for a plain service.
    pub versions: Vec<VersionId>,
    /// The pool of a plain service; engines are found by version.
    pub pool: Option<PoolId>,
    /// How urgent it is.
    pub class: Class,
    /// Whether it may run twice.
    pub repeat: Repeat,
    /// Least part of answers that must be good, from 0.0 to 1.0.
    pub quality: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// A second run does no harm.
    Idempotent,
    /// It may run once at most.
    Once,
}

impl Stage for Allowed {
    const NAME: &'static str = "pin";
}

impl Request<Allowed> {
    pub(crate) fn pin(self, choice: Choice) -> Request<Pinned> {
        self.into_stage(|allowed| Pinned::new(allowed, choice))
    }
}
