//! Rendezvous hashing: all entries with the same set of members choose the same owner without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The hash of a member for a key.
pub fn hash(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The member with the highest hash for a key.
pub fn owner<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    members.max_by_key(|member| xxh3_64_with_seed(member.as_bytes(), seed))
}

/// The hash of a member for a key, scaled to the range from 0 to 1.
pub fn fraction(key: &str, member: &str) -> f64 {
    hash(key, member) as f64 / u64::MAX as f64
}

/// The number of members with a higher hash for a key than the given member.
pub fn rank<'a>(key: &str, own: &str, members: impl Iterator<Item = &'a str>) -> usize {
    let own = hash(key, own);
    members.filter(|member| hash(key, member) > own).count()
}
