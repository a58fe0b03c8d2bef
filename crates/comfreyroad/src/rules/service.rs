use std::sync::Arc;

use crate::id::PoolId;
use crate::request::Class;

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub id: Arc<str>,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Start of the paths that belong to it.
    pub path: Arc<str>,
    /// How urgent its calls are.
    pub class: Class,
    /// Methods whose calls may be repeated; `None` leaves it to HTTP.
    pub repeat: Option<Vec<Arc<str>>>,
}

impl Service {
    /// Whether a path belongs to it.
    pub fn covers(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.path) else {
            return false;
        };
        rest.is_empty() || self.path.ends_with('/') || rest.starts_with(['/', '?'])
    }
}
