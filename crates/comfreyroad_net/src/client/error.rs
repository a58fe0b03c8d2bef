use std::{fmt, io, net::SocketAddr};

use http::StatusCode;

/// A call that failed.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {cause}")]
pub struct Error {
    /// Step at which the call failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether any part of the request may have reached the peer.
    pub sent: Sent,
    /// Cause of the failure.
    #[source]
    pub cause: Cause,
}

impl Error {
    /// Whether the call exceeded its deadline.
    pub fn is_timeout(&self) -> bool {
        matches!(self.cause, Cause::Deadline)
    }

    /// An error while connecting, before any of the request was sent.
    pub(super) fn connect(peer: SocketAddr, cause: Cause) -> Self {
        Self {
            step: Step::Connect,
            peer,
            sent: Sent::No,
            cause,
        }
    }

    /// An error after the head of the response was received.
    pub(crate) fn body(peer: SocketAddr, cause: Cause) -> Self {
        Self {
            step: Step::Body,
            peer,
            sent: Sent::Maybe,
            cause,
        }
    }

    /// A response with an unexpected status.
    pub(crate) fn status(peer: SocketAddr, status: StatusCode) -> Self {
        Self {
            step: Step::Head,
            peer,
            sent: Sent::Maybe,
            cause: Cause::Status(status),
        }
    }

    /// A request that could not be built.
    pub(crate) fn request(peer: SocketAddr, cause: Cause) -> Self {
        Self {
            step: Step::Send,
            peer,
            sent: Sent::No,
            cause,
        }
    }
}

/// Steps of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Opening the TCP connection.
    Connect,
    /// Sending the request.
    Send,
    /// Waiting for the status and headers of the response.
    Head,
    /// Reading the body of the response.
    Body,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "connect",
            Self::Send => "send",
            Self::Head => "head",
            Self::Body => "body",
        })
    }
}

/// Whether any part of a request may have reached the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte of the request was written to the socket.
    No,
    /// Some of the request may have reached the peer.
    Maybe,
}

/// Cause of a failed call.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The deadline passed.
    #[error("deadline passed")]
    Deadline,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection failed, or the peer violated HTTP.
    #[error("{0}: {source}", source = RootCause(.0))]
    Http(#[from] hyper::Error),
    /// The request is invalid.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response body is longer than the limit in bytes.
    #[error("more than {0} bytes")]
    TooLong(usize),
    /// The bodies that are being read take too much memory together.
    #[error("no memory left for the body")]
    Memory,
    /// The JSON of the request or the response is invalid.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The Base64 in the response is invalid.
    #[error(transparent)]
    Base64(#[from] data_encoding::DecodeError),
}

/// Displays the innermost source of an error, which the `Display` of hyper's errors omits.
struct RootCause<'a>(&'a (dyn std::error::Error + 'static));

impl fmt::Display for RootCause<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut cause = self.0;
        while let Some(source) = cause.source() {
            cause = source;
        }
        fmt::Display::fmt(cause, f)
    }
}
