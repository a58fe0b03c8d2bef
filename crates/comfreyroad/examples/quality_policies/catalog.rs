//! True quality and cost of the versions. The entries do not see the quality; they only estimate it from ratings.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of prompts on which failures of the versions are correlated; on the others they are independent.
const CORRELATED_SHARE: f64 = 0.7;

/// True properties of a version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Version {
    /// Id of the version.
    pub(crate) id: &'static str,
    /// Cost of 1000 tokens.
    pub(crate) cost: u64,
    /// Fraction of its answers that are good, by second since the start.
    pub(crate) good_rate: fn(u64) -> f64,
    /// Duration of an answer, in milliseconds.
    pub(crate) latency_ms: u64,
    /// Share of the new sessions of its model, in percent.
    pub(crate) share: u32,
}

/// All versions of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Catalog {
    /// The versions.
    pub(crate) versions: Vec<Version>,
    /// Seed for the quality of the answers.
    pub(crate) seed: u64,
}

impl Catalog {
    /// Returns the version with an id.
    pub(crate) fn version(&self, id: &str) -> &Version {
        let found = self.versions.iter().find(|version| version.id == id);
        found.expect("the rules name only versions of this simulation")
    }

    /// Returns whether the answer of a version to a request is good at a second of the run.
    pub(crate) fn is_good(&self, id: &str, request: &str, second: u64) -> bool {
        let prompt = xxh3_64_with_seed(request.as_bytes(), self.seed);
        let own = xxh3_64_with_seed(id.as_bytes(), prompt);
        let draw = if unit_interval(prompt.rotate_left(21)) < CORRELATED_SHARE {
            unit_interval(prompt)
        } else {
            unit_interval(own)
        };
        draw < (self.version(id).good_rate)(second)
    }
}

/// Maps a hash to the interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
