//! The error of this crate.

/// What went wrong, at which step and with which peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be listened on.
    #[error("listen on {peer}: {source}")]
    Listen {
        /// The address.
        peer: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A connection broke off while a message was read.
    #[error("read from {peer}: {source}")]
    Read {
        /// The other end.
        peer: String,
        /// The library's error.
        source: hyper::Error,
    },
    /// A fault makes the stand-in drop the connection without an answer.
    #[error("answer to {peer}: dropped by a fault")]
    Dropped {
        /// The other end.
        peer: String,
    },
    /// A call failed.
    #[error("call {peer}: {source}")]
    Call {
        /// The address called.
        peer: String,
        /// The library's error.
        source: cyper::Error,
    },
    /// Values on the command line or in the configuration file that can't be used.
    #[error("settings: {}", .0.join("; "))]
    Settings(Vec<String>),
    /// A file could not be read or written.
    #[error("file {path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
