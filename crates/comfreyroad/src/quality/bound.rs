use super::Score;

/// One-sided 95 % quantile of the standard normal distribution.
const Z: f64 = 1.645;

/// Lower bound of the Wilson score interval for the rate of good answers, at 95 % confidence.
pub fn lower(score: Score) -> f64 {
    if score.rated == 0 {
        return 0.0;
    }
    let count = f64::from(score.rated);
    let rate = f64::from(score.good) / count;
    let shrink = Z * Z / count;
    let middle = rate + shrink / 2.0;
    let spread = Z * (rate * (1.0 - rate) / count + shrink / (4.0 * count)).sqrt();
    ((middle - spread) / (1.0 + shrink)).clamp(0.0, 1.0)
}

/// Upper bound of the Wilson score interval for the rate of good answers, at 95 % confidence.
pub fn upper(score: Score) -> f64 {
    let bad = Score {
        rated: score.rated,
        good: score.rated.saturating_sub(score.good),
    };
    1.0 - lower(bad)
}
