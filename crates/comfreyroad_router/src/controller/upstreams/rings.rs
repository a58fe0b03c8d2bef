//! The ring of each pool: its upstreams in the order of a key, and what is known of them together.

use std::time::Instant;

use indexmap::IndexMap;

use super::Upstreams;
use super::ring::Ring;
use crate::id::{PoolId, UpstreamId};
use crate::upstream::Upstream;

impl Upstreams {
    /// Finds out which pools are mostly unhealthy, and which are uneven.
    pub(super) fn assess_pools(&mut self, now: Instant) {
        for (pool, ring) in &mut self.rings {
            let in_pool = |it: &&Upstream| it.registration.pool == *pool && it.is_ready(now);
            let upstreams = self.upstreams.values().filter(in_pool);
            let (mut all, mut unhealthy) = (0, 0);
            for upstream in upstreams {
                all += 1;
                unhealthy += usize::from(!upstream.is_healthy(now));
                ring.is_uneven |= upstream.has_stated_work_time();
            }
            ring.is_mostly_unhealthy = unhealthy * 2 > all;
        }
    }

    /// Removes an upstream from the ring of a pool.
    pub(super) fn leave_ring(rings: &mut IndexMap<PoolId, Ring>, pool: &PoolId, id: &UpstreamId) {
        if rings.get_mut(pool).is_some_and(|ring| ring.remove(id)) {
            rings.swap_remove(pool);
        }
    }
}
