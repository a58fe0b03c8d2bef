use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Customer, Session};
use crate::RequestId;
use crate::answer::Answer;
use crate::chat::Chat;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A streamed answer.
    Draft,
    /// A chat answer in one piece.
    Whole,
    /// A booking, which is not idempotent.
    Booking,
    /// An idempotent lookup.
    Lookup,
}

/// One request with the data needed to send it and to check its answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request, the same for each retry.
    pub id: RequestId,
    /// Kind of the request.
    pub kind: Kind,
    /// Customer that sends it.
    pub customer: Customer,
    /// Chat request; empty for plain services.
    pub chat: Chat,
    /// Path of a plain service; not used for models.
    pub path: &'static str,
    /// Session that it belongs to.
    pub session: Session,
    /// Time from the arrival to the deadline for the whole answer.
    pub timeout: Duration,
}

impl Job {
    /// Method and path.
    #[must_use]
    pub fn target(&self) -> (Method, String) {
        match self.kind {
            Kind::Draft | Kind::Whole => (Method::POST, "/v1/chat/completions".to_owned()),
            Kind::Booking => (Method::POST, self.path.to_owned()),
            Kind::Lookup => (Method::GET, format!("{}/{}", self.path, self.id)),
        }
    }

    /// Whether a model answers it.
    #[must_use]
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, Kind::Draft | Kind::Whole)
    }

    /// Whether a caller may send it again although it may have run.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        self.kind != Kind::Booking
    }

    /// Body to send.
    #[must_use]
    pub fn body(&self) -> Value {
        match self.kind {
            Kind::Draft | Kind::Whole => json!(self.chat),
            Kind::Booking => json!({ "booking": self.id }),
            Kind::Lookup => Value::Null,
        }
    }

    /// Whether this text is the whole answer to this request.
    #[must_use]
    pub fn is_answered_by(&self, text: &str) -> bool {
        Answer::new(self.chat.hash(), self.chat.max_tokens).matches(text)
    }

    /// Whether this JSON answers this booking or lookup.
    #[must_use]
    pub fn is_confirmed_by(&self, body: &Value) -> bool {
        let field = if self.kind == Kind::Booking {
            "booked"
        } else {
            "order"
        };
        body[field] == self.id.as_str()
    }
}
