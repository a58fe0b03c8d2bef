use super::{Choice, Class, Pinned, Request, Stage};
use crate::id::{CustomerId, PoolId, RouteId, VersionId};

/// The customer is authenticated and may use the target of the request.
#[derive(Clone, Debug)]
pub struct Allowed {
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The requested route, or the name of the model, version or plain service if the request names no route.
    pub route: RouteId,
    /// The versions that may answer. Empty for a plain service.
    pub versions: Vec<VersionId>,
    /// The pool of a plain service. `None` for chat, whose engines are looked up by version.
    pub pool: Option<PoolId>,
    /// Urgency of the request.
    pub class: Class,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Minimum fraction of answers that must be good, from 0.0 to 1.0.
    pub quality: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It may run at most once.
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
