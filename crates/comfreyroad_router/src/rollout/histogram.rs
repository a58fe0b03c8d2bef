use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_millis(1);
/// Ratio of the bounds of a bucket. Service times that differ by less count as equal.
const RATIO: f64 = 1.2;
/// Number of buckets. The last one has no upper bound.
const BUCKETS: usize = 60;
/// Fraction of the service times that is spread over all buckets by [`Histogram::smoothed`].
const UNSEEN_FRACTION: f64 = 0.02;
/// Weights with which it spreads a bucket over the one before, itself and the next one.
const BLUR: [f64; 3] = [0.25, 0.5, 0.25];

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

    /// Number of service times in each bucket, up to the last one that has any.
    pub fn counts(&self) -> &[u32] {
        &self.counts
    }

    /// The distribution of the service times, as a fraction for each bucket. Neighbouring buckets are blurred, and each bucket has a
    /// small fraction of its own, because the counts are a sample.
    pub fn smoothed(&self) -> [f64; BUCKETS] {
        let total = f64::from(self.total().max(1));
        let mut smoothed = [UNSEEN_FRACTION / BUCKETS as f64; BUCKETS];
        for (bucket, count) in self.counts.iter().enumerate().take(BUCKETS) {
            let fraction = f64::from(*count) / total * (1.0 - UNSEEN_FRACTION);
            let neighbours = [
                bucket.saturating_sub(1),
                bucket,
                (bucket + 1).min(BUCKETS - 1),
            ];
            for (neighbour, weight) in neighbours.into_iter().zip(BLUR) {
                smoothed[neighbour] += fraction * weight;
            }
        }
        smoothed
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
