/// Number of intervals of a percentage that are told apart.
const BUCKETS: usize = 20;
/// Width of an interval in percent.
const BUCKET_WIDTH: f64 = 100.0 / BUCKETS as f64;
/// Factor by which each answer reduces the weight of those before, so that about the last hundred count.
const DECAY: f64 = 0.99;
/// Weight of all answers from which they are representative: about ten answers.
const MIN_WEIGHT: f64 = 9.0;

/// The recent confidences of a model in its answers, as a histogram.
#[derive(Clone, Debug, Default)]
pub(super) struct Opinions {
    weights: [f64; BUCKETS],
}

impl Opinions {
    /// Adds a confidence in percent.
    pub(super) fn add(&mut self, confidence: u8) {
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        let bucket = (f64::from(confidence) / BUCKET_WIDTH) as usize;
        self.weights[bucket.min(BUCKETS - 1)] += 1.0;
    }

    /// The fraction of the answers with less than a confidence in percent; `None` before there are enough.
    pub(super) fn share_below(&self, confidence: f64) -> Option<f64> {
        let total: f64 = self.weights.iter().sum();
        if total < MIN_WEIGHT {
            return None;
        }
        let position = (confidence / BUCKET_WIDTH).clamp(0.0, BUCKETS as f64);
        let covered = |index: usize| (position - index as f64).clamp(0.0, 1.0);
        let weights = self.weights.iter().enumerate();
        let below: f64 = weights.map(|(index, weight)| weight * covered(index)).sum();
        Some(below / total)
    }
}
