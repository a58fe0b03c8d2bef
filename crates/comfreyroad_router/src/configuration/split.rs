use serde::{Deserialize, Serialize};

use crate::id::PoolId;

/// Pools that share a route's requests by weight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    parts: Vec<(PoolId, u32)>,
}

impl Split {
    /// A split of pools by weight; pools of weight 0 get nothing.
    pub fn new(parts: impl IntoIterator<Item = (PoolId, u32)>) -> Self {
        let parts = parts.into_iter().filter(|(_, weight)| *weight > 0);
        Self {
            parts: parts.collect(),
        }
    }

    /// Everything to one pool.
    pub fn whole(pool: PoolId) -> Self {
        Self {
            parts: vec![(pool, 1)],
        }
    }

    /// The pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.parts.iter().map(|(pool, _)| pool)
    }

    /// The pool at a point of the split; `point` may be any number.
    pub fn at(&self, point: u64) -> Option<&PoolId> {
        let total: u64 = self
            .parts
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = point.checked_rem(total)?;
        for (pool, weight) in &self.parts {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(pool);
            }
            left -= weight;
        }
        None
    }
}
