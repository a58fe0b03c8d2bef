/// One value per seed.
#[derive(Clone, Debug, Default)]
pub struct Series {
    values: Vec<f64>,
}

impl Series {
    /// Creates a series of values in the order of the seeds.
    #[must_use]
    pub fn new(values: Vec<f64>) -> Self {
        Self { values }
    }

    /// Ratios of these values to those of the same seeds in another series; the ratio of equal values, also zeros, is 1.
    #[must_use]
    pub fn ratio(&self, other: &Self) -> Self {
        let pairs = self.values.iter().zip(&other.values);
        let ratio = |(one, other): (&f64, &f64)| {
            if one == other { 1.0 } else { one / other }
        };
        Self::new(pairs.map(ratio).collect())
    }

    /// The median.
    #[must_use]
    pub fn median(&self) -> f64 {
        let sorted = self.sorted();
        let middle = sorted.len() / 2;
        match sorted.len() {
            0 => f64::NAN,
            odd if odd % 2 == 1 => sorted[middle],
            _ => f64::midpoint(sorted[middle - 1], sorted[middle]),
        }
    }

    /// Median, least and greatest value as text.
    #[must_use]
    pub fn summary(&self) -> String {
        let sorted = self.sorted();
        let (Some(least), Some(most)) = (sorted.first(), sorted.last()) else {
            return "not run".to_owned();
        };
        if least == most {
            return format_value(*least);
        }
        format!(
            "{} ({} to {})",
            format_value(self.median()),
            format_value(*least),
            format_value(*most)
        )
    }

    fn sorted(&self) -> Vec<f64> {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
    }
}

/// Formats a value with about three significant digits.
fn format_value(value: f64) -> String {
    match value.abs() {
        _ if !value.is_finite() => "-".to_owned(),
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}
