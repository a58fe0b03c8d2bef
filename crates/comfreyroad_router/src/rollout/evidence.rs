//! Evidence that a new version is worse than the others: the logarithm of how much better the observed answers fit to a bad
//! version than to a sound one. It is high for a bad version, low for a sound one, and near 0 as long as nothing is known, so
//! that a missing answer never speaks for a version.

use comfreyroad::quality::{Score, log_evidence_below};

use super::Histogram;

/// Fractions of the answers of a bad version that are bad.
const BAD_FRACTIONS: [f64; 6] = [0.15, 0.25, 0.4, 0.6, 0.8, 0.95];
/// Tolerated increase of the failure rate of a sound version.
const FAILURE_MARGIN: f64 = 0.02;
/// Standard errors by which a rate of the other versions may be misjudged.
const BASELINE_STANDARD_ERRORS: f64 = 2.0;
/// Fractions of the answers of a slow version that are slow.
const SLOW_FRACTIONS: [f64; 5] = [0.2, 0.35, 0.5, 0.75, 1.0];
/// Buckets of the histogram by which slow answers are later: factors of 1.7 to 8.9. Versions that do several times the work take
/// only about twice the time per event, as much of a decoding step does not depend on the work.
const SLOW_SHIFTS: [isize; 6] = [3, 4, 6, 8, 10, 12];
/// Fractions of the answers of a sound version that may be slow.
const TOLERATED_SLOW_FRACTIONS: [f64; 2] = [0.05, 0.1];
/// Buckets by which all answers of a sound version may be earlier or later. Upstreams of a new version have another load.
const TOLERATED_SHIFTS: std::ops::RangeInclusive<isize> = -8..=2;
/// Answers of the other versions that are needed before service times are compared.
const MIN_BASELINE_TIMES: u32 = 16;
/// Quantiles of the other versions' service times between which the limits lie by which answers are rated as fast. Times that vary
/// with the load leave little evidence at the median. Slow versions differ where few others are slower, or, if the others are under
/// load, where few of the new version's are as fast.
const LIMIT_QUANTILES: (f64, f64) = (0.25, 0.9);
/// Tolerated increase of the fraction of answers of a new version that are slower than one of the limits. It is small, because
/// upstreams of a new version have less load than the others.
const LIMIT_MARGIN: f64 = 0.05;
/// Minimum distance of rates from 0 and 1, where a logarithm would be infinite.
const RATE_MARGIN: f64 = 1e-6;

/// The answers of the new version and of the others on one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Comparison {
    /// Answers of the new version.
    pub target: Score,
    /// Answers of the other versions.
    pub others: Score,
}

/// Log evidence that the new version fails more often, on all routes or on one of them. Routes count by their traffic.
pub fn of_failures(routes: &[Comparison]) -> f64 {
    let traffic: f64 = routes.iter().map(|it| f64::from(it.others.rated)).sum();
    // For each route, the log-likelihood ratios at the fractions of bad answers.
    let ratios: Vec<[f64; BAD_FRACTIONS.len()]> = routes.iter().map(failure_ratios).collect();
    let together = (0..BAD_FRACTIONS.len()).map(|at| ratios.iter().map(|it| it[at]).sum());
    let on_all = log_mean_exp(together);
    let on_one = routes.iter().zip(&ratios).map(|(route, ratios)| {
        let weight = (f64::from(route.others.rated) / traffic.max(1.0)).ln();
        weight + log_mean_exp(ratios.iter().copied())
    });
    let on_one = log_sum_exp(on_one);
    log_mean_exp([on_all, on_one].into_iter())
}

/// Log-likelihood ratios of the failures on a route, for a version with each of the fractions of bad answers and for a sound one.
fn failure_ratios(route: &Comparison) -> [f64; BAD_FRACTIONS.len()] {
    let failures = |score: Score| f64::from(score.rated.saturating_sub(score.good));
    let (count, failed) = (f64::from(route.target.rated), failures(route.target));
    if count == 0.0 {
        return [0.0; BAD_FRACTIONS.len()];
    }
    let baseline_count = f64::from(route.others.rated) + 1.0;
    let baseline = (failures(route.others) + 0.5) / baseline_count;
    let standard_error = (baseline * (1.0 - baseline) / baseline_count).sqrt();
    let tolerated = baseline + BASELINE_STANDARD_ERRORS * standard_error + FAILURE_MARGIN;
    let log_likelihood = |rate: f64| {
        let rate = rate.clamp(RATE_MARGIN, 1.0 - RATE_MARGIN);
        failed * rate.ln() + (count - failed) * (1.0 - rate).ln()
    };
    let sound = log_likelihood((failed / count).min(tolerated));
    BAD_FRACTIONS.map(|bad| log_likelihood(baseline + (1.0 - baseline) * bad) - sound)
}

/// Log evidence that the new version is slower. `None` if too few answers of the others are known for a comparison.
pub fn of_slowness(target: &Histogram, others: &Histogram) -> Option<f64> {
    if others.total() < MIN_BASELINE_TIMES {
        return None;
    }
    if target.total() == 0 {
        return Some(0.0);
    }
    Some(of_slow_fraction(target, others).max(of_missing_fast(target, others)))
}

/// Log evidence that too few answers are fast, by the limit at which the versions differ most. It finds versions whose times vary
/// less than those of the others.
fn of_missing_fast(target: &Histogram, others: &Histogram) -> f64 {
    let (low, high) = LIMIT_QUANTILES;
    let limits = others.quantile(low)..=others.quantile(high);
    let correction = (limits.clone().count() as f64).ln();
    let evidence = |limit| {
        let target = Score {
            rated: target.total(),
            good: target.up_to(limit),
        };
        let total = f64::from(others.total());
        let fast = f64::from(others.up_to(limit)) / total;
        let standard_error = (fast * (1.0 - fast) / total).sqrt();
        let expected = fast - BASELINE_STANDARD_ERRORS * standard_error - LIMIT_MARGIN;
        log_evidence_below(target, expected) - correction
    };
    limits.map(evidence).fold(f64::NEG_INFINITY, f64::max)
}

/// Log evidence that a fraction of the answers takes several times as long as those of the others.
fn of_slow_fraction(target: &Histogram, others: &Histogram) -> f64 {
    let baseline = others.smoothed();
    let at = |bucket: usize, shift: isize| {
        let from = bucket.checked_add_signed(-shift);
        from.and_then(|from| baseline.get(from))
            .copied()
            .unwrap_or(0.0)
    };
    let floor = RATE_MARGIN / baseline.len() as f64;
    let log_likelihood = |slow: f64, slow_shift: isize, shift: isize| -> f64 {
        let density = |bucket| (1.0 - slow) * at(bucket, shift) + slow * at(bucket, slow_shift);
        let counts = target.counts().iter().enumerate();
        counts
            .filter(|(_, count)| **count > 0)
            .map(|(bucket, count)| f64::from(*count) * density(bucket).max(floor).ln())
            .sum()
    };
    let slow = |fractions: &'static [f64]| {
        let pair = |fraction: &'static f64| SLOW_SHIFTS.map(|shift| (*fraction, shift));
        fractions.iter().flat_map(pair)
    };
    let shifted = TOLERATED_SHIFTS.map(|shift| log_likelihood(0.0, 0, shift));
    let tolerated = slow(&TOLERATED_SLOW_FRACTIONS).map(|(slow, by)| log_likelihood(slow, by, 0));
    let sound = shifted.chain(tolerated).fold(f64::NEG_INFINITY, f64::max);
    let bad = slow(&SLOW_FRACTIONS).map(|(slow, by)| log_likelihood(slow, by, 0));
    log_mean_exp(bad) - sound
}

fn log_sum_exp(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if max == f64::NEG_INFINITY {
        return max;
    }
    max + values.iter().map(|it| (it - max).exp()).sum::<f64>().ln()
}

fn log_mean_exp(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    let count = values.len().max(1) as f64;
    log_sum_exp(values.into_iter()) - count.ln()
}
