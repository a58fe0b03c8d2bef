use std::time::Duration;

/// How a log service behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Records kept per stream.
    pub max_records: usize,
    /// How long a record is kept.
    pub max_age: Duration,
    /// Appends taken per second.
    pub appends_per_second: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_records: 100_000,
            max_age: Duration::from_secs(3600),
            appends_per_second: 400.0,
        }
    }
}
