use serde::Serialize;

/// The result of checking one guarantee.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// The guarantee that is checked.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Whether the guarantee held.
    pub held: bool,
    /// The observed figures.
    #[serde(rename = "figures")]
    pub details: String,
}

impl Check {
    /// Creates the result of a check.
    #[must_use]
    pub fn new(guarantee: &'static str, held: bool, details: impl Into<String>) -> Self {
        Self {
            guarantee,
            held,
            details: details.into(),
        }
    }
}
