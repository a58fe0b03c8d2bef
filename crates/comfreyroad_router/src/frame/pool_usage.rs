use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, PoolId};

/// What customers use of a pool. All numbers are slots of its upstreams, in tenths, averaged over a few seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUsage {
    /// The pool.
    pub pool: PoolId,
    /// The customers that use most, and what each uses.
    #[serde(rename = "top")]
    pub largest: Vec<(CustomerId, u32)>,
    /// What all other customers use together.
    pub rest: u32,
}
