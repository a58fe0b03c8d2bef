use std::{fmt, io, net::SocketAddr};

use http::StatusCode;

/// A call that failed.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {cause}")]
pub struct Error {
    /// What was being done.
    pub step: Step,
    /// With whom.
    pub peer: SocketAddr,
    /// Whether the peer can have seen some of the request.
    pub sent: Sent,
    /// What went wrong.
    #[source]
    pub cause: Cause,
}

impl Error {
    /// Whether the call ran out of time.
    pub fn is_timeout(&self) -> bool {
        matches!(self.cause, Cause::Deadline)
    }

    /// An error at the connect, of which the request knows nothing.
    pub(super) fn connect(peer: SocketAddr, cause: Cause) -> Self {
        Self {
            step: Step::Connect,
            peer,
            sent: Sent::No,
            cause,
        }
    }

    /// An error after the answer's head.
    pub(crate) fn body(peer: SocketAddr, cause: Cause) -> Self {
        Self {
            step: Step::Body,
            peer,
            sent: Sent::Maybe,
            cause,
        }
    }

    /// A head that says something else than was hoped for.
    pub(crate) fn status(peer: SocketAddr, status: StatusCode) -> Self {
        Self {
            step: Step::Head,
            peer,
            sent: Sent::Maybe,
            cause: Cause::Status(status),
        }
    }

    /// A request that could not even be written down.
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
    /// The TCP connect.
    Connect,
    /// Writing the request.
    Send,
    /// Waiting for the answer's status and headers.
    Head,
    /// Reading the answer's body.
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

/// Whether the peer can have seen some of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Certainly not: no byte of it was handed to the kernel.
    No,
    /// It may have.
    Maybe,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The deadline passed.
    #[error("deadline passed")]
    Deadline,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection broke or did not speak HTTP.
    #[error("{0}: {source}", source = RootCause(.0))]
    Http(#[from] hyper::Error),
    /// The request is no valid one.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The answer has a status that was not expected.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer is longer than allowed.
    #[error("more than {0} bytes")]
    TooLong(usize),
    /// The JSON of the request or the answer is wrong.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The base64 in the answer is wrong.
    #[error(transparent)]
    Base64(#[from] data_encoding::DecodeError),
}

/// Shows the innermost source of an error, which hyper leaves out.
struct RootCause<'a>(&'a (dyn std::error::Error + 'static));

impl fmt::Display for RootCause<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut innermost = self.0;
        while let Some(source) = innermost.source() {
            innermost = source;
        }
        fmt::Display::fmt(innermost, f)
    }
}
