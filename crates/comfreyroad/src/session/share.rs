//! Choice of a version by the shares of new sessions.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{SessionHash, VersionId};
use crate::rules::Version;

/// The version of the cheapest model that a session gets, by weighted rendezvous hashing: where shares change, the only
/// sessions that get another version are those that a grown share takes from a shrunk one.
pub fn choose(active: &[&Version], session: SessionHash) -> Option<VersionId> {
    let cheapest = active.iter().min_by_key(|version| version.cost)?;
    let of_model = active
        .iter()
        .filter(|version| version.model == cheapest.model);
    let best = of_model
        .filter(|version| version.share > 0)
        .min_by(|a, b| score(a, session).total_cmp(&score(b, session)));
    Some(best.map_or_else(|| cheapest.id.clone(), |version| version.id.clone()))
}

/// The hash by which a session is known.
pub fn hash(customer: &str, route: &str, id: &str) -> SessionHash {
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    let seed = xxh3_64_with_seed(route.as_bytes(), seed);
    xxh3_64_with_seed(id.as_bytes(), seed)
}

/// Exponential with the share as its rate, so that each version is the least with its share's chance.
fn score(version: &Version, session: SessionHash) -> f64 {
    let hash = xxh3_64_with_seed(version.id.as_bytes(), session);
    // 53 bits make an exact float above 0 and at most 1.
    let unit = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -unit.ln() / f64::from(version.share)
}
