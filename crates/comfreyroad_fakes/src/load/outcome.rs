use std::time::Duration;

use serde::{Deserialize, Serialize, Serializer};

use super::{Kind, Session};
use crate::answer::Quality;
use crate::{RequestId, VersionId};

/// What came of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The whole answer to this very request.
    Whole,
    /// Refused, and surely not run.
    RefusedNotRun,
    /// Refused or unanswered, and perhaps run.
    #[default]
    RefusedMaybe,
    /// An answer, but not this one's, or out of order.
    Wrong,
    /// An answer that ended before its end.
    Broken,
}

/// Result of one request; its fields are those of a trace line.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the request.
    pub id: RequestId,
    /// Milliseconds from the run's begin to the request's arrival.
    pub at_ms: u64,
    /// Kind of the request.
    pub kind: Kind,
    /// Who asked.
    pub customer: String,
    /// What came of it.
    pub verdict: Verdict,
    /// Status of the last answer, 0 for none.
    pub status: u16,
    /// Codes of the refusals met, the last one last.
    pub codes: Vec<String>,
    /// Version that answered.
    pub version: Option<VersionId>,
    /// Route, model or version asked; nothing for plain services.
    pub model: Option<String>,
    /// How good the answer was, when a model gave a whole one.
    pub quality: Option<Quality>,
    /// Tokens of a model's whole answer.
    pub tokens: u32,
    /// Times that it was sent.
    pub sent: u32,
    /// Time to the first token, or to the answer of a plain service.
    #[serde(rename = "ttft_ms", serialize_with = "as_millis")]
    pub first: Option<Duration>,
    /// Time to the answer's end.
    #[serde(rename = "total_ms", serialize_with = "as_millis")]
    pub total: Option<Duration>,
    /// Whether the answer came after the deadline, or none came by it.
    pub late: bool,
    /// Whether the session's version changed.
    pub moved: bool,
    /// The session after it.
    #[serde(skip)]
    pub session: Session,
}

fn as_millis<S: Serializer>(time: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error> {
    let millis = time.map(|time| time.as_secs_f64() * 1000.0);
    millis.serialize(serializer)
}
