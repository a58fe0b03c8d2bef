use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use http::StatusCode;

use crate::Exit;

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed; what the peer made of it is not known.
    #[error("{step}: {peer}: {source}")]
    Call {
        /// What was wanted.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
        /// What happened.
        source: Box<cyper::Error>,
    },
    /// The deadline came before the answer.
    #[error("{step}: {peer}: no answer in time")]
    Deadline {
        /// What was wanted.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
    },
    /// The peer refused.
    #[error("{step}: {peer}: answered {status}")]
    Status {
        /// What was wanted.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
        /// Its answer.
        status: StatusCode,
    },
    /// A publish whose append was never answered, and that was not seen on the log by the deadline.
    #[error("publish: not known whether it was taken, see `comfreyroad audit`: {0}")]
    Unclear(#[source] Box<Self>),
    /// The VM list gives an address that is none.
    #[error("list VMs: {peer}: {vm} has no address as IP:PORT")]
    Address {
        /// The VM list.
        peer: SocketAddr,
        /// The VM.
        vm: String,
    },
    /// A file cannot be read.
    #[error("read {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: io::Error,
    },
    /// The HTTP client or the runtime did not start.
    #[error("start: {0}")]
    Start(String),
    /// Standard input or output failed.
    #[error("standard input or output: {0}")]
    Stream(#[from] io::Error),
}

impl Error {
    /// Whether the peer has certainly not done what it was asked for.
    pub fn is_not_taken(&self) -> bool {
        match self {
            Self::Status { status, .. } => {
                status.is_client_error() || *status == StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Call { source, .. } => match &**source {
                cyper::Error::HyperClient(error) => error.is_connect(),
                _ => false,
            },
            _ => false,
        }
    }

    /// Whether asking again is of no use.
    pub fn is_final(&self) -> bool {
        match self {
            Self::Status { status, .. } => {
                status.is_client_error() && *status != StatusCode::TOO_MANY_REQUESTS
            }
            _ => false,
        }
    }

    /// The exit code that stands for it.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Call { .. } | Self::Deadline { .. } | Self::Status { .. } | Self::Unclear(_) => {
                Exit::Unreachable
            }
            Self::Address { .. } | Self::File { .. } | Self::Start(_) | Self::Stream(_) => {
                Exit::Refused
            }
        }
    }
}
