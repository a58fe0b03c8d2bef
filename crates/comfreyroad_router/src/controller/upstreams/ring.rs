use std::collections::BinaryHeap;
use std::ops::RangeInclusive;

use comfreyroad::rendezvous;

use crate::id::UpstreamId;

/// Expected number of members that are sorted at first.
const FIRST_MEMBERS: u64 = 48;

/// The upstreams of a pool, which each key puts into an order of its own. All entries that know the same upstreams agree on it.
#[derive(Debug, Default)]
pub(super) struct Ring {
    members: Vec<Member>,
    /// Whether more than half of the upstreams are ejected or suspected.
    pub(super) is_mostly_unhealthy: bool,
    /// Whether some upstream has stated that work takes more or less than its usual time. Only then is the time that work takes at
    /// each one compared; without such statements it is mostly the load of the moment.
    pub(super) is_uneven: bool,
}

#[derive(Debug)]
struct Member {
    hash: u64,
    id: UpstreamId,
}

impl Ring {
    /// Adds an upstream, which is not a member.
    pub(super) fn insert(&mut self, id: &UpstreamId) {
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

    /// The upstreams in the order of a key. Usually the first few are enough, so that the others are not sorted before they are
    /// asked for.
    pub(super) fn order(&self, key: u64) -> impl Iterator<Item = &UpstreamId> {
        let share = u64::MAX / self.members.len().max(1) as u64;
        let bound = u64::MAX - share.saturating_mul(FIRST_MEMBERS);
        let first = self.ranked(key, bound..=u64::MAX);
        let others = std::iter::once(()).flat_map(move |()| {
            let last = bound.checked_sub(1);
            last.map(|last| self.ranked(key, 0..=last))
        });
        first.chain(others.flatten())
    }

    /// The upstreams whose rank is in a range, the highest first.
    fn ranked(&self, key: u64, range: RangeInclusive<u64>) -> impl Iterator<Item = &UpstreamId> {
        let members = self.members.iter().enumerate();
        let ranks = members.map(|(index, it)| (mix(it.hash ^ key), index));
        let ranks = ranks.filter(|(rank, _)| range.contains(rank));
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
