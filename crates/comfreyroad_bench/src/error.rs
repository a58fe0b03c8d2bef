//! The error of this crate.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use comfreyroad_net::client;
use http::StatusCode;

/// What went wrong, at which step and with which peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or folder could not be used.
    #[error("{step} {}: {source}", path.display())]
    File {
        /// What was wanted.
        step: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A program could not be started, watched or signalled.
    #[error("{step} {program}: {source}")]
    Program {
        /// What was wanted.
        step: &'static str,
        /// The program.
        program: String,
        /// The system's error.
        source: io::Error,
    },
    /// A program ended otherwise than it should.
    #[error("run {program}: {status}: {output}")]
    Exited {
        /// The program.
        program: String,
        /// How it ended.
        status: String,
        /// The end of what it wrote.
        output: String,
    },
    /// A call failed.
    #[error("{step}: {source}")]
    Call {
        /// What was wanted.
        step: &'static str,
        /// The error, which names the peer.
        source: Box<client::Error>,
    },
    /// A call could not be written down.
    #[error("{step}: {peer}: {source}")]
    Request {
        /// What was wanted.
        step: &'static str,
        /// Who was to be asked.
        peer: SocketAddr,
        /// The library's error.
        source: http::Error,
    },
    /// A peer answered with a status that was not hoped for.
    #[error("{step}: {peer}: answered {status}")]
    Status {
        /// What was wanted.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
        /// Its answer.
        status: StatusCode,
    },
    /// JSON that could not be read.
    #[error("{step}: {peer}: {source}")]
    Json {
        /// What was wanted.
        step: &'static str,
        /// The peer, program or file that it came from.
        peer: String,
        /// The library's error.
        source: serde_json::Error,
    },
    /// Something did not come about by its deadline.
    #[error("{step}: {peer}: not by the deadline")]
    Deadline {
        /// What was wanted.
        step: &'static str,
        /// The peer or program that was waited for.
        peer: String,
    },
    /// Values on the command line that can't be used.
    #[error("options: {}", .0.join("; "))]
    Options(Vec<String>),
    /// The rules file has faults.
    #[error("rules: {0}")]
    Rules(String),
    /// A plot or histogram could not be made.
    #[error("draw: {0}")]
    Draw(String),
    /// The run was ended by a signal.
    #[error("ended by a signal")]
    Signalled,
}

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
