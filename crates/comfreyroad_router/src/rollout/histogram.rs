use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_millis(1);
/// Ratio of the bounds of a bucket. Service times that differ by less count as equal.
const RATIO: f64 = 1.2;
/// Number of buckets. The last one has no upper bound.
const BUCKETS: usize = 60;

/// Counts of service times in buckets of exponentially growing width. Histograms of several entries can be added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Histogram {
    counts: Vec<u32>,
}

impl Histogram {
    /// Counts a service time.
    pub fn add(&mut self, time: Duration) {
        let ratio = time.as_secs_f64() / FIRST_BOUND.as_secs_f64();
        let bucket = ratio.max(1.0).ln() / RATIO.ln();
        let bucket = (bucket.ceil() as usize).min(BUCKETS - 1);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let counts = other.counts.iter().take(BUCKETS);
        if self.counts.len() < counts.len() {
            self.counts.resize(counts.len(), 0);
        }
        for (sum, count) in self.counts.iter_mut().zip(counts) {
            *sum = sum.saturating_add(*count);
        }
    }

    /// Number of service times.
    pub fn total(&self) -> u32 {
        self.up_to(BUCKETS)
    }

    /// Number of service times up to the upper bound of a bucket.
    pub fn up_to(&self, bucket: usize) -> u32 {
        let counts = self.counts.iter().take(bucket + 1);
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// The first bucket up to which a fraction of the service times lies.
    pub fn quantile(&self, fraction: f64) -> usize {
        let total = f64::from(self.total());
        let reaches = |bucket: &usize| f64::from(self.up_to(*bucket)) >= total * fraction;
        (0..BUCKETS).find(reaches).unwrap_or(BUCKETS - 1)
    }
}
