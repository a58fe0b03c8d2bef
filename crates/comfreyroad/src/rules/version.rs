use crate::id::{ModelId, PoolId, VersionId};

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Name of the version, in the form `model@version`.
    pub id: VersionId,
    /// The model.
    pub model: ModelId,
    /// The pool whose engines can load it.
    pub pool: PoolId,
    /// Cost of 1,000 tokens, in millionths of the currency of the venture.
    pub cost: u64,
    /// Share of the new sessions of the model, in percent.
    pub share: u32,
    /// Whether the version takes no new work.
    pub withdrawn: bool,
}
