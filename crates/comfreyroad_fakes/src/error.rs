//! Error type of this crate.

/// Error of a stand-in or of the load tool.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on an address failed.
    #[error("failed to listen on {peer}: {source}")]
    Listen {
        /// The address.
        peer: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The connection broke off while a request was read.
    #[error("failed to read the request from {peer}: {source}")]
    Read {
        /// Address of the caller.
        peer: String,
        /// The HTTP error.
        source: hyper::Error,
    },
    /// An injected fault or a cancellation ends the connection before the answer is complete.
    #[error("connection to {peer} dropped before the end of the answer")]
    Dropped {
        /// Address of the caller.
        peer: String,
    },
    /// A call failed.
    #[error("call to {peer} failed: {source}")]
    Call {
        /// The address called.
        peer: String,
        /// The HTTP error.
        source: cyper::Error,
    },
    /// The command line or the configuration file contains invalid values.
    #[error("invalid settings: {}", .0.join("; "))]
    Settings(Vec<String>),
    /// Reading or writing a file failed.
    #[error("failed to access file {path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
