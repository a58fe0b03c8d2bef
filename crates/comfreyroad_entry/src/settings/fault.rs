/// A setting that does not check. Its value is left out where it is secret.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The command line cannot be read.
    #[error("{0}")]
    Usage(String),
    /// A setting that is needed is missing.
    #[error("--{flag} ({variable}): missing, expected {expected}")]
    Missing {
        /// Its flag.
        flag: &'static str,
        /// Its environment variable.
        variable: String,
        /// What it should be.
        expected: &'static str,
    },
    /// A setting has a value that it cannot have.
    #[error("--{flag} ({variable}): {value:?}, expected {expected}")]
    Invalid {
        /// Its flag.
        flag: &'static str,
        /// Its environment variable.
        variable: String,
        /// What it is.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
}
