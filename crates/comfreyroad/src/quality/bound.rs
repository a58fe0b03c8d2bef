use super::Score;

/// Quantile of the normal distribution for 95 in 100, one-sided.
const Z: f64 = 1.645;

/// Lower confidence bound (Wilson) of the part of good answers, for 95 in 100.
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

/// Upper confidence bound (Wilson) of the part of good answers, for 95 in 100.
pub fn upper(score: Score) -> f64 {
    let bad = Score {
        rated: score.rated,
        good: score.rated.saturating_sub(score.good),
    };
    1.0 - lower(bad)
}
