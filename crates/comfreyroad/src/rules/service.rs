use std::sync::Arc;

use crate::id::PoolId;
use crate::request::Class;

/// A plain service, which is not a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub id: Arc<str>,
    /// The pool that runs the service.
    pub pool: PoolId,
    /// Prefix of the paths that belong to the service.
    pub path: Arc<str>,
    /// Urgency of the calls.
    pub class: Class,
    /// HTTP methods whose calls may be repeated. With `None` the semantics of HTTP apply.
    pub repeat: Option<Vec<Arc<str>>>,
}

impl Service {
    /// Whether a path belongs to the service.
    pub fn covers(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.path) else {
            return false;
        };
        rest.is_empty() || self.path.ends_with('/') || rest.starts_with(['/', '?'])
    }
}
