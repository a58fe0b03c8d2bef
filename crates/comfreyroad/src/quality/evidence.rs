//! Evidence that is valid at any time: an e-value as a function of counts alone.
//!
//! For answers that are good with a rate `p`, the mixture of all rates by Jeffreys' prior over the likelihood of `p` is
//! a martingale with mean 1, however often it is looked at. The product for two versions over the greatest likelihood
//! of any pair of rates that fits the hypothesis is no greater, so by Ville's inequality it ever reaches `1 / alpha`
//! with a chance of at most `alpha` while the hypothesis is true.

use super::Score;

/// Steps of the search for the greatest likelihood; each shrinks the range by a third.
const STEPS: u32 = 60;
/// Rates are kept this far from 0 and 1, where a logarithm would be infinite.
const EDGE: f64 = 1e-9;

/// Logarithm of the evidence against "this version's good rate is at most `margin` below the other one's".
pub fn worse(version: Score, other: Score, margin: f64) -> f64 {
    if version.rated == 0 || other.rated == 0 {
        return 0.0;
    }
    let mixtures = mixture(version) + mixture(other);
    mixtures - greatest(version, other, margin)
}

/// Greatest logarithm of the likelihood of both counts with rates at most a margin apart.
fn greatest(version: Score, other: Score, margin: f64) -> f64 {
    let free = likelihood(version, rate(version)) + likelihood(other, rate(other));
    if rate(version) >= rate(other) - margin {
        return free;
    }
    // The best pair lies on the edge, and along the edge the logarithm is concave.
    let at = |p: f64| likelihood(version, p - margin) + likelihood(other, p);
    let (mut low, mut high) = (margin, 1.0);
    for _ in 0..STEPS {
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

/// Logarithm of the likelihood of a count at a rate.
fn likelihood(score: Score, rate: f64) -> f64 {
    let rate = rate.clamp(EDGE, 1.0 - EDGE);
    let bad = f64::from(score.rated.saturating_sub(score.good));
    f64::from(score.good) * rate.ln() + bad * (1.0 - rate).ln()
}

/// Logarithm of the likelihood of a count, mixed over all rates by Jeffreys' prior.
fn mixture(score: Score) -> f64 {
    let good = f64::from(score.good) + 0.5;
    let bad = f64::from(score.rated.saturating_sub(score.good)) + 0.5;
    ln_beta(good, bad) - ln_beta(0.5, 0.5)
}

fn ln_beta(a: f64, b: f64) -> f64 {
    ln_gamma(a) + ln_gamma(b) - ln_gamma(a + b)
}

/// Logarithm of the gamma function for positive numbers: Stirling's series, after shifting small numbers up.
fn ln_gamma(x: f64) -> f64 {
    const LEAST: f64 = 10.0;
    let mut x = x;
    let mut shift = 0.0;
    while x < LEAST {
        shift += x.ln();
        x += 1.0;
    }
    let inverse = 1.0 / x;
    let square = inverse * inverse;
    let series = inverse * (1.0 / 12.0 - square * (1.0 / 360.0 - square / 1260.0));
    (x - 0.5) * x.ln() - x + 0.5 * std::f64::consts::TAU.ln() + series - shift
}
