//! Chooses the version of a new session by the traffic shares.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{SessionHash, VersionId};
use crate::rules::Version;

/// Chooses a version of the cheapest model by weighted rendezvous hashing. When shares change, sessions only move from
/// versions whose share has shrunk to versions whose share has grown.
pub fn choose(active: &[&Version], session: SessionHash) -> Option<VersionId> {
    let cheapest = active.iter().min_by_key(|version| version.cost)?;
    let candidates = active
        .iter()
        .filter(|version| version.model == cheapest.model);
    let best = candidates
        .filter(|version| version.share > 0)
        .min_by(|a, b| score(a, session).total_cmp(&score(b, session)));
    Some(best.map_or_else(|| cheapest.id.clone(), |version| version.id.clone()))
}

/// The hash that identifies a session.
pub fn hash(customer: &str, route: &str, id: &str) -> SessionHash {
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    let seed = xxh3_64_with_seed(route.as_bytes(), seed);
    xxh3_64_with_seed(id.as_bytes(), seed)
}

/// Exponentially distributed with the share as its rate, so that the probability of a version to have the least score
/// is proportional to its share.
fn score(version: &Version, session: SessionHash) -> f64 {
    let hash = xxh3_64_with_seed(version.id.as_bytes(), session);
    // A float represents 53 bits exactly; the result is above 0 and at most 1.
    let unit = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -unit.ln() / f64::from(version.share)
}
