use crate::id::{CustomerId, FirmId, KeyHash, ModelId, VersionId};

/// A customer of one of the firms.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub id: CustomerId,
    /// The firm that serves it.
    pub firm: FirmId,
    /// Hashes of the keys that it may use; two while one is replaced.
    pub keys: Vec<KeyHash>,
    /// Models of which every version is allowed.
    pub models: Vec<ModelId>,
    /// Single versions that are allowed.
    pub versions: Vec<VersionId>,
    /// Least part of answers that must be good, from 0.0 to 1.0; `None` leaves it to the route.
    pub quality: Option<f64>,
    /// Share of a crowded upstream, against other customers.
    pub weight: u32,
}

impl Customer {
    /// Whether it may use a version.
    pub fn allows(&self, version: &super::Version) -> bool {
        self.models.contains(&version.model) || self.versions.contains(&version.id)
    }
}
