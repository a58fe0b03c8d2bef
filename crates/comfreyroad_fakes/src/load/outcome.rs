use std::time::Duration;

use serde::{Deserialize, Serialize, Serializer};

use super::{Kind, Session};
use crate::answer::Quality;
use crate::{RequestId, VersionId};

/// Verdict on the answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The whole and correct answer to this request.
    Whole,
    /// Refused without having run.
    RefusedNotRun,
    /// Refused or unanswered; the request may have run.
    #[default]
    RefusedMaybe,
    /// An answer to another request, or one with tokens out of order.
    Wrong,
    /// An answer that broke off.
    Broken,
}

/// Result of one request; its fields are those of a trace line.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Id of the request.
    pub id: RequestId,
    /// Milliseconds from the start of the run to the arrival of the request.
    pub at_ms: u64,
    /// Kind of the request.
    pub kind: Kind,
    /// Name of the customer.
    pub customer: String,
    /// Verdict on its answer.
    pub verdict: Verdict,
    /// HTTP status of the last answer; 0 when there was none.
    pub status: u16,
    /// Codes of the failed attempts, in order.
    pub codes: Vec<String>,
    /// Version that answered.
    pub version: Option<VersionId>,
    /// Route, model or version requested; `None` for plain services.
    pub model: Option<String>,
    /// Quality of the answer, when a model gave a whole one.
    pub quality: Option<Quality>,
    /// Number of tokens of a whole answer of a model.
    pub tokens: u32,
    /// Number of times that it was sent.
    pub sent: u32,
    /// Time to the first token, or to the answer of a plain service.
    #[serde(rename = "ttft_ms", serialize_with = "as_millis")]
    pub first: Option<Duration>,
    /// Time to the end of the answer.
    #[serde(rename = "total_ms", serialize_with = "as_millis")]
    pub total: Option<Duration>,
    /// Whether the request ended after its deadline, answered or not.
    pub late: bool,
    /// Whether the session was answered by another version than before.
    pub moved: bool,
    /// Session including this request and its answer.
    #[serde(skip)]
    pub session: Session,
}

fn as_millis<S: Serializer>(time: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error> {
    let millis = time.map(|time| time.as_secs_f64() * 1000.0);
    millis.serialize(serializer)
}
