use std::fmt;

use super::{Place, Severity};

/// Something wrong or suspicious in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What it is, in English; never contains an API key.
    pub text: String,
}

impl Finding {
    /// Creates an error.
    pub fn error(place: Place, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            place,
            text: text.into(),
        }
    }

    /// Creates a warning.
    pub fn warning(place: Place, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            place,
            text: text.into(),
        }
    }

    /// Whether it is an error.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.place, self.text)
    }
}
