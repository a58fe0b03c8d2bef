use serde::{Deserialize, Serialize};

use crate::id::PoolId;

/// Divides a route's requests among pools by weight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    #[serde(rename = "parts")]
    weights: Vec<(PoolId, u32)>,
}

impl Split {
    /// Creates a split from pools and weights; pools with weight 0 get no requests.
    pub fn new(weights: impl IntoIterator<Item = (PoolId, u32)>) -> Self {
        let weights = weights.into_iter().filter(|(_, weight)| *weight > 0);
        Self {
            weights: weights.collect(),
        }
    }

    /// Sends all requests to one pool.
    pub fn single(pool: PoolId) -> Self {
        Self {
            weights: vec![(pool, 1)],
        }
    }

    /// The pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.weights.iter().map(|(pool, _)| pool)
    }

    /// The pools with their weights.
    pub fn weights(&self) -> impl Iterator<Item = (&PoolId, u32)> {
        self.weights.iter().map(|(pool, weight)| (pool, *weight))
    }

    /// The pool for a hash value; the pools divide the hash values in proportion to their weights.
    pub fn pool_at(&self, hash: u64) -> Option<&PoolId> {
        let total: u64 = self
            .weights
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut rest = hash.checked_rem(total)?;
        for (pool, weight) in &self.weights {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(pool);
            }
            rest -= weight;
        }
        None
    }
}
