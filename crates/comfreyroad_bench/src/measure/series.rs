/// One value of each seed.
#[derive(Clone, Debug, Default)]
pub struct Series {
    values: Vec<f64>,
}

impl Series {
    /// Values in the order of the seeds.
    #[must_use]
    pub fn new(values: Vec<f64>) -> Self {
        Self { values }
    }

    /// These values over others of the same seeds; pairs of zeros are equal.
    #[must_use]
    pub fn ratio(&self, other: &Self) -> Self {
        let pairs = self.values.iter().zip(&other.values);
        let ratio = |(one, other): (&f64, &f64)| {
            if one == other { 1.0 } else { one / other }
        };
        Self::new(pairs.map(ratio).collect())
    }

    /// The value in the middle.
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

    /// Median, least and greatest value in words.
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

/// Three digits are enough for a reader.
fn format_value(value: f64) -> String {
    match value.abs() {
        _ if !value.is_finite() => "-".to_owned(),
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}
