use crate::id::{ModelId, RouteId};
use crate::request::Class;

/// A name under which callers ask for one of several models.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// Models that may answer.
    pub models: Vec<ModelId>,
    /// How urgent its requests are.
    pub class: Class,
    /// Least part of answers that must be good, from 0.0 to 1.0.
    pub quality: f64,
}
