use crate::id::{CustomerId, FirmId, KeyHash, ModelId, VersionId};

/// A customer of one of the firms.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// The firm that serves the customer.
    pub firm: FirmId,
    /// Hashes of the API keys of the customer. There are two while a key is being replaced.
    pub keys: Vec<KeyHash>,
    /// Models that the customer may use in every version.
    pub models: Vec<ModelId>,
    /// Single versions that the customer may use.
    pub versions: Vec<VersionId>,
    /// Minimum fraction of answers that must be good, from 0.0 to 1.0. With `None` that of the route applies.
    pub quality: Option<f64>,
    /// Weight for the fair sharing of an overloaded upstream among customers.
    pub weight: u32,
}

impl Customer {
    /// Whether the customer may use a version.
    pub fn allows(&self, version: &super::Version) -> bool {
        self.models.contains(&version.model) || self.versions.contains(&version.id)
    }
}
