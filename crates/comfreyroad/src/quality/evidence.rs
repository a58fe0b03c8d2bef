//! Anytime-valid evidence: an e-value that depends only on counts.
//!
//! For answers that are good with rate `p`, the likelihood mixed over all rates by Jeffreys' prior, divided by the
//! likelihood at `p`, is a martingale with mean 1, no matter how often it is evaluated. The e-value is the product of
//! the mixtures of two versions, divided by the greatest likelihood of any pair of rates that satisfies the hypothesis.
//! It is at most the product of the martingales. So by Ville's inequality the probability that it ever reaches `1 /
//! alpha` is at most `alpha` if the hypothesis is true.

use super::Score;

/// Steps of the ternary search for the greatest likelihood; each one shrinks the range by a third.
const SEARCH_STEPS: u32 = 60;
/// Minimum distance of rates from 0 and 1, where a logarithm would be infinite.
const RATE_MARGIN: f64 = 1e-9;

/// Logarithm of the evidence against the hypothesis that the version's rate of good answers is at most `margin` below
/// the other version's rate.
pub fn log_evidence(version: Score, other: Score, margin: f64) -> f64 {
    if version.rated == 0 || other.rated == 0 {
        return 0.0;
    }
    let mixtures = log_mixture(version) + log_mixture(other);
    mixtures - max_log_likelihood(version, other, margin)
}

/// Logarithm of the evidence against the hypothesis that the version's rate of good answers is at least `least`, which
/// is known. A comparison with a rate that many answers show needs fewer answers of the version than [`log_evidence`].
pub fn log_evidence_below(version: Score, least: f64) -> f64 {
    if version.rated == 0 {
        return 0.0;
    }
    log_mixture(version) - log_likelihood(version, rate(version).max(least))
}

/// The greatest log-likelihood of both counts under the hypothesis.
fn max_log_likelihood(version: Score, other: Score, margin: f64) -> f64 {
    let unconstrained = log_likelihood(version, rate(version)) + log_likelihood(other, rate(other));
    if rate(version) >= rate(other) - margin {
        return unconstrained;
    }
    // The maximum is on the boundary, along which the log-likelihood is concave.
    let at = |p: f64| log_likelihood(version, p - margin) + log_likelihood(other, p);
    let (mut low, mut high) = (margin, 1.0);
    for _ in 0..SEARCH_STEPS {
        let third = (high - low) / 3.0;
        if at(low + third) < at(high - third) {
            low += third;
        } else {
            high -= third;
        }
    }
    at(f64::midpoint(low, high))
}

fn rate(score: Score) -> f64 {
    f64::from(score.good) / f64::from(score.rated)
}

/// Log-likelihood of a count at a rate.
fn log_likelihood(score: Score, rate: f64) -> f64 {
    let rate = rate.clamp(RATE_MARGIN, 1.0 - RATE_MARGIN);
    let bad = f64::from(score.rated.saturating_sub(score.good));
    f64::from(score.good) * rate.ln() + bad * (1.0 - rate).ln()
}

/// Logarithm of the likelihood of a count, mixed over all rates by Jeffreys' prior.
fn log_mixture(score: Score) -> f64 {
    let good = f64::from(score.good) + 0.5;
    let bad = f64::from(score.rated.saturating_sub(score.good)) + 0.5;
    ln_beta(good, bad) - ln_beta(0.5, 0.5)
}

fn ln_beta(a: f64, b: f64) -> f64 {
    ln_gamma(a) + ln_gamma(b) - ln_gamma(a + b)
}

/// Logarithm of the gamma function for positive numbers, by Stirling's series. Small numbers are shifted up first.
fn ln_gamma(x: f64) -> f64 {
    const MIN_ARGUMENT: f64 = 10.0;
    let mut x = x;
    let mut shift = 0.0;
    while x < MIN_ARGUMENT {
        shift += x.ln();
        x += 1.0;
    }
    let inverse = 1.0 / x;
    let square = inverse * inverse;
    let series = inverse * (1.0 / 12.0 - square * (1.0 / 360.0 - square / 1260.0));
    (x - 0.5) * x.ln() - x + 0.5 * std::f64::consts::TAU.ln() + series - shift
}
