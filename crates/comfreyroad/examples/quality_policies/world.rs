//! What versions are worth, and what they cost: known to the world only.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Part of prompts on which versions fail together; on the others each fails by itself.
const TOGETHER: f64 = 0.7;

/// One version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Truth {
    /// Its name.
    pub(crate) id: &'static str,
    /// Cost of a thousand tokens.
    pub(crate) cost: u64,
    /// Part of its answers that are good, by the second since the start.
    pub(crate) good: fn(u64) -> f64,
    /// Time that an answer takes, in milliseconds.
    pub(crate) takes_ms: u64,
    /// Part of its model's new sessions.
    pub(crate) share: u32,
}

/// All versions.
#[derive(Clone, Debug)]
pub(crate) struct World {
    /// The versions.
    pub(crate) versions: Vec<Truth>,
    /// Seed of what is good.
    pub(crate) seed: u64,
}

impl World {
    /// The version with this name.
    pub(crate) fn version(&self, id: &str) -> &Truth {
        let found = self.versions.iter().find(|version| version.id == id);
        found.expect("the rules name versions of this world")
    }

    /// Whether a version's answer to a request at a second is good.
    pub(crate) fn is_good(&self, id: &str, request: &str, second: u64) -> bool {
        let prompt = xxh3_64_with_seed(request.as_bytes(), self.seed);
        let own = xxh3_64_with_seed(id.as_bytes(), prompt);
        let chance = if unit(prompt.rotate_left(21)) < TOGETHER {
            unit(prompt)
        } else {
            unit(own)
        };
        chance < (self.version(id).good)(second)
    }
}

fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
