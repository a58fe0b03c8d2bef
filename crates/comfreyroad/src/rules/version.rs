use crate::id::{ModelId, PoolId, VersionId};

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Its name, as `model@version`.
    pub id: VersionId,
    /// The model.
    pub model: ModelId,
    /// The pool whose engines can load it.
    pub pool: PoolId,
    /// Cost of a thousand tokens, in millionths of the venture's currency.
    pub cost: u64,
    /// Part of its model's new sessions, in percent.
    pub share: u32,
    /// Whether it takes no new work.
    pub withdrawn: bool,
}
