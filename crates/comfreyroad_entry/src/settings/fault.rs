/// An invalid setting. The value of a secret setting is not included.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The command line cannot be parsed.
    #[error("{0}")]
    Usage(String),
    /// A required setting is missing.
    #[error("--{flag} ({variable}): missing, expected {expected}")]
    Missing {
        /// Flag of the setting.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A setting has an invalid value.
    #[error("--{flag} ({variable}): {value:?}, expected {expected}")]
    Invalid {
        /// Flag of the setting.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: String,
        /// The invalid value.
        value: String,
        /// Description of a valid value.
        expected: &'static str,
    },
}
