use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use http::StatusCode;

use crate::Exit;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed; the peer may or may not have processed it.
    #[error("{step}: {peer}: {source}")]
    Call {
        /// Step of the command.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: Box<cyper::Error>,
    },
    /// No response before the deadline.
    #[error("{step}: {peer}: no answer in time")]
    Deadline {
        /// Step of the command.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The peer responded with an error status.
    #[error("{step}: {peer}: answered {status}")]
    Status {
        /// Step of the command.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The append of a publish got no response, and the record did not appear on the log before the deadline.
    #[error("publish: not known whether the log stored it, see `comfreyroad audit`: {0}")]
    Unclear(#[source] Box<Self>),
    /// A VM on the VM list has an invalid address.
    #[error("list VMs: {peer}: address of {vm}: expected IP:PORT")]
    Address {
        /// Address of the VM list.
        peer: SocketAddr,
        /// Id of the VM.
        vm: String,
    },
    /// Reading a file failed.
    #[error("read {}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The HTTP client or the runtime failed to start.
    #[error("start: {0}")]
    Start(String),
    /// Standard input or output failed.
    #[error("standard input or output: {0}")]
    Stream(#[from] io::Error),
}

impl Error {
    /// Whether the peer certainly did not execute the request.
    pub fn is_not_executed(&self) -> bool {
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

    /// Whether a retry cannot succeed.
    pub fn is_permanent(&self) -> bool {
        match self {
            Self::Status { status, .. } => {
                status.is_client_error() && *status != StatusCode::TOO_MANY_REQUESTS
            }
            _ => false,
        }
    }

    /// Exit status of the command for this error.
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
