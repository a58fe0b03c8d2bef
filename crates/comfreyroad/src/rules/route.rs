use crate::id::{ModelId, RouteId};
use crate::request::Class;

/// A name under which callers request one of several models.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Models that may answer.
    pub models: Vec<ModelId>,
    /// Urgency of the requests.
    pub class: Class,
    /// Minimum fraction of answers that must be good, from 0.0 to 1.0.
    pub quality: f64,
}
