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
    /// A booking, which may not be repeated.
    Booking,
    /// An idempotent lookup.
    Lookup,
}

/// One request with all that is needed to send it and to check its answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of the request, the same for each retry.
    pub id: RequestId,
    /// Kind of the request.
    pub kind: Kind,
    /// Who asks.
    pub customer: Customer,
    /// What is asked of a model; empty for plain services.
    pub chat: Chat,
    /// Where a plain service is called; empty for models.
    pub path: &'static str,
    /// The session that it belongs to.
    pub session: Session,
    /// Time that the caller gives the whole answer.
    pub patience: Duration,
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

    /// Whether its answer comes from a model.
    #[must_use]
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, Kind::Draft | Kind::Whole)
    }

    /// Whether a caller may send it again when it may have run.
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

    /// Whether this text is the whole answer to this very request.
    #[must_use]
    pub fn is_answered_by(&self, text: &str) -> bool {
        Answer::new(self.chat.hash(), self.chat.max_tokens).matches(text)
    }

    /// Whether this JSON answers this very booking or lookup.
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
