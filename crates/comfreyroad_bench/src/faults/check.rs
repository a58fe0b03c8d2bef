use serde::Serialize;

/// A promise held against what was seen.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// The promise.
    pub promise: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub figures: String,
}

impl Check {
    /// A promise with what was seen.
    #[must_use]
    pub fn new(promise: &'static str, held: bool, figures: impl Into<String>) -> Self {
        Self {
            promise,
            held,
            figures: figures.into(),
        }
    }
}
