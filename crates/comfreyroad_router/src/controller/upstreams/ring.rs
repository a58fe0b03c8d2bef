use std::collections::BinaryHeap;

use comfreyroad::rendezvous;

use crate::id::UpstreamId;

/// The upstreams of a pool, which each key puts into an order of its own. All entries that know the same upstreams agree on it.
#[derive(Debug, Default)]
pub(super) struct Ring {
    members: Vec<Member>,
}

#[derive(Debug)]
struct Member {
    hash: u64,
    id: UpstreamId,
}

impl Ring {
    /// Adds an upstream, unless it is a member.
    pub(super) fn insert(&mut self, id: &UpstreamId) {
        if self.members.iter().any(|it| it.id == *id) {
            return;
        }
        self.members.push(Member {
            hash: rendezvous::hash(id, ""),
            id: id.clone(),
        });
    }

    /// Removes an upstream. Returns whether the ring is empty.
    pub(super) fn remove(&mut self, id: &UpstreamId) -> bool {
        self.members.retain(|it| it.id != *id);
        self.members.is_empty()
    }

    /// The upstreams in the order of a key. Only those that are taken are sorted.
    pub(super) fn order(&self, key: u64) -> impl Iterator<Item = &UpstreamId> {
        let members = self.members.iter().enumerate();
        let ranks = members.map(|(index, it)| (mix(it.hash ^ key), index));
        let mut heap: BinaryHeap<(u64, usize)> = ranks.collect::<Vec<_>>().into();
        std::iter::from_fn(move || heap.pop()).map(|(_, index)| &self.members[index].id)
    }
}

/// The finalizer of SplitMix64: each bit of the value changes about half of the result.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
