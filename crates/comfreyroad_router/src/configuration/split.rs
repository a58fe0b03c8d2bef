use serde::{Deserialize, Serialize};

use crate::id::PoolId;

/// Pools that share a route's requests by weight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    #[serde(rename = "parts")]
    weights: Vec<(PoolId, u32)>,
}

impl Split {
    /// A split of pools by weight; pools of weight 0 get nothing.
    pub fn new(parts: impl IntoIterator<Item = (PoolId, u32)>) -> Self {
        let parts = parts.into_iter().filter(|(_, weight)| *weight > 0);
        Self {
            weights: parts.collect(),
        }
    }

    /// Everything to one pool.
    pub fn single(pool: PoolId) -> Self {
        Self {
            weights: vec![(pool, 1)],
        }
    }

    /// The pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.weights.iter().map(|(pool, _)| pool)
    }

    /// The pool at a point of the split; `point` may be any number.
    pub fn pool_at(&self, point: u64) -> Option<&PoolId> {
        let total: u64 = self
            .weights
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = point.checked_rem(total)?;
        for (pool, weight) in &self.weights {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(pool);
            }
            left -= weight;
        }
        None
    }
}
