//! What a caller is told when a request is not answered.

use std::time::Duration;

use crate::request::{Request, Unsent};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It has not run and will not.
    No,
    /// It may have run.
    Maybe,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Code {
    /// The request cannot be understood.
    #[error("bad_request")]
    BadRequest,
    /// No customer has this key.
    #[error("unknown_key")]
    UnknownKey,
    /// The customer may use no version that was asked for.
    #[error("not_allowed")]
    NotAllowed,
    /// Every version that was asked for is withdrawn.
    #[error("withdrawn")]
    Withdrawn,
    /// No such route, model, version or service.
    #[error("not_found")]
    NotFound,
    /// The session's token is not genuine or belongs to another customer.
    #[error("bad_session")]
    BadSession,
    /// This entry does not know the newest rules.
    #[error("stale")]
    Stale,
    /// This entry does not take new work.
    #[error("not_ready")]
    NotReady,
    /// The venture's term is over.
    #[error("term_over")]
    TermOver,
    /// Too much work for now.
    #[error("overloaded")]
    Overloaded,
    /// The deadline passed.
    #[error("deadline")]
    Deadline,
    /// No upstream can take the request.
    #[error("no_upstream")]
    NoUpstream,
    /// The same request was claimed before.
    #[error("claimed")]
    Claimed,
    /// The claim could not be written to the log.
    #[error("log_down")]
    LogDown,
    /// The upstream failed.
    #[error("upstream_failed")]
    UpstreamFailed,
}

/// A refusal, as a caller gets it.
///
/// `ran: no` is built from a [`Request`] that was never sent, and from nothing else:
///
/// ```compile_fail,E0277
/// fn lie(request: &comfreyroad::Request<comfreyroad::request::Sent>) -> comfreyroad::Refusal {
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
    /// A refusal of a request that no upstream has seen.
    ///
    /// A caller's second attempt gets "not run" only on the log's proof: nobody here knows what became of the first.
    pub fn not_run<S: Unsent>(request: &Request<S>, code: Code) -> Self {
        if request.head().attempt > 1 && !request.stage().has_proof() {
            return Self::unknown(request, code);
        }
        Self::new(code, S::NAME, Ran::No)
    }

    /// A refusal of a request that was not sent for this call, but may have run for another attempt.
    pub fn unknown<S: Unsent>(_: &Request<S>, code: Code) -> Self {
        Self::new(code, S::NAME, Ran::Maybe)
    }

    /// A refusal of a request that an upstream may have run.
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

    /// Adds words for a person.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Adds the time after which a retry makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Why.
    pub fn code(&self) -> Code {
        self.code
    }

    /// The step at which the request was refused.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Whether it may have run.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Whether it was sent to an upstream for this call.
    pub fn was_sent(&self) -> bool {
        self.was_sent
    }

    /// Words for a person; may be empty.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Time after which a retry makes sense.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
