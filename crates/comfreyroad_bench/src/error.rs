//! Error type of this crate.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use comfreyroad_net::client;
use http::StatusCode;

/// An error, with the step that failed and the peer, program or file concerned.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file system operation failed.
    #[error("{step} {}: {source}", path.display())]
    File {
        /// The operation that failed.
        step: &'static str,
        /// Path of the file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A program could not be started, polled or signalled.
    #[error("{step} {program}: {source}")]
    Program {
        /// The operation that failed.
        step: &'static str,
        /// Name of the program.
        program: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// A program exited with a failure status.
    #[error("run {program}: {status}: {output}")]
    Exited {
        /// Name of the program.
        program: String,
        /// Its exit status.
        status: String,
        /// The last part of its output.
        output: String,
    },
    /// An HTTP call failed.
    #[error("{step}: {source}")]
    Call {
        /// The operation that failed.
        step: &'static str,
        /// The error, which names the peer.
        source: Box<client::Error>,
    },
    /// An HTTP request could not be built.
    #[error("{step}: {peer}: {source}")]
    Request {
        /// The operation that failed.
        step: &'static str,
        /// Address the request was meant for.
        peer: SocketAddr,
        /// The library's error.
        source: http::Error,
    },
    /// A peer answered with an unexpected status.
    #[error("{step}: {peer}: answered {status}")]
    Status {
        /// The operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// Status of its answer.
        status: StatusCode,
    },
    /// JSON could not be parsed or serialised.
    #[error("{step}: {peer}: {source}")]
    Json {
        /// The operation that failed.
        step: &'static str,
        /// The peer, program or file that the JSON comes from or goes to.
        peer: String,
        /// The library's error.
        source: serde_json::Error,
    },
    /// An operation did not complete by its deadline.
    #[error("{step}: {peer}: deadline exceeded")]
    Deadline {
        /// The operation that failed.
        step: &'static str,
        /// The peer or program waited for.
        peer: String,
    },
    /// Invalid command line options.
    #[error("options: {}", .0.join("; "))]
    Options(Vec<String>),
    /// The rules file is invalid.
    #[error("rules: {0}")]
    Rules(String),
    /// A plot could not be drawn or a histogram could not be filled.
    #[error("draw: {0}")]
    Draw(String),
    /// The run was interrupted by a signal.
    #[error("interrupted by a signal")]
    Signalled,
}

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
