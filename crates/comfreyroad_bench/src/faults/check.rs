use serde::Serialize;

/// A promise held against what was seen.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// The promise.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    #[serde(rename = "figures")]
    pub details: String,
}

impl Check {
    /// A promise with what was seen.
    #[must_use]
    pub fn new(guarantee: &'static str, held: bool, details: impl Into<String>) -> Self {
        Self {
            guarantee,
            held,
            details: details.into(),
        }
    }
}
