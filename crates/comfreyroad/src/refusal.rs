//! Refusals, the error responses to callers.

use std::time::Duration;

use crate::request::{Request, Unsent};

/// Whether a refused request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It was not executed and will not be.
    No,
    /// It may have been executed.
    Maybe,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Code {
    /// The request is malformed.
    #[error("bad_request")]
    BadRequest,
    /// No customer has this key.
    #[error("unknown_key")]
    UnknownKey,
    /// The customer may use none of the requested versions.
    #[error("not_allowed")]
    NotAllowed,
    /// All requested versions are withdrawn.
    #[error("withdrawn")]
    Withdrawn,
    /// No such route, model, version or service.
    #[error("not_found")]
    NotFound,
    /// The session token is invalid or belongs to another customer.
    #[error("bad_session")]
    BadSession,
    /// This entry cannot confirm that its rules are current.
    #[error("stale")]
    Stale,
    /// This entry does not accept new work.
    #[error("not_ready")]
    NotReady,
    /// The venture's term is over.
    #[error("term_over")]
    TermOver,
    /// The entry or its upstreams are overloaded.
    #[error("overloaded")]
    Overloaded,
    /// The deadline passed.
    #[error("deadline")]
    Deadline,
    /// No upstream can take the request.
    #[error("no_upstream")]
    NoUpstream,
    /// A request with the same id was already claimed.
    #[error("claimed")]
    Claimed,
    /// The claim could not be written to the log.
    #[error("log_down")]
    LogDown,
    /// The upstream failed.
    #[error("upstream_failed")]
    UpstreamFailed,
}

/// A refusal, as sent to the caller.
///
/// `ran: no` can only be constructed from a [`Request`] that was never sent:
///
/// ```compile_fail,E0277
/// fn wrong_claim(request: &comfreyroad::Request<comfreyroad::request::Sent>) -> comfreyroad::Refusal {
///     comfreyroad::Refusal::not_run(request, comfreyroad::refusal::Code::Deadline)
/// }
/// ```
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} at {step}")]
pub struct Refusal {
    code: Code,
    step: &'static str,
    ran: Ran,
    message: String,
    retry_after: Option<Duration>,
    was_sent: bool,
}

impl Refusal {
    /// A refusal of a request that was not sent to an upstream.
    ///
    /// A second attempt by the caller gets "not run" only if the log proves it, because this entry does not know what
    /// happened to the first attempt.
    pub fn not_run<S: Unsent>(request: &Request<S>, code: Code) -> Self {
        if request.head().attempt > 1 && !request.stage().has_proof() {
            return Self::unknown(request, code);
        }
        Self::new(code, S::NAME, Ran::No)
    }

    /// A refusal of a request that was not sent for this call, but may have been executed for an earlier attempt.
    pub fn unknown<S: Unsent>(_: &Request<S>, code: Code) -> Self {
        Self::new(code, S::NAME, Ran::Maybe)
    }

    /// A refusal of a request that an upstream may have executed.
    pub fn maybe(code: Code, step: &'static str) -> Self {
        Self {
            was_sent: true,
            ..Self::new(code, step, Ran::Maybe)
        }
    }

    fn new(code: Code, step: &'static str, ran: Ran) -> Self {
        let (message, retry_after) = (String::new(), None);
        Self {
            code,
            step,
            ran,
            message,
            retry_after,
            was_sent: false,
        }
    }

    /// Adds a human-readable message.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The reason.
    pub fn code(&self) -> Code {
        self.code
    }

    /// The step at which the request was refused.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Whether the request may have been executed.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Whether the request was sent to an upstream for this call.
    pub fn was_sent(&self) -> bool {
        self.was_sent
    }

    /// A human-readable message; may be empty.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Time after which the caller may retry.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
