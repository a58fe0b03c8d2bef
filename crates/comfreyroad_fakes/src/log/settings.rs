use std::time::Duration;

/// Retention and rate limit of the log service.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of records retained per stream.
    pub max_records: usize,
    /// Maximum age of a retained record.
    pub max_age: Duration,
    /// Maximum number of appends per second.
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
