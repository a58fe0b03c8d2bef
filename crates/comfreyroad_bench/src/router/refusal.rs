use bytes::Bytes;
use comfreyroad_net::body::Body;
use http::{Response, StatusCode};
use serde_json::{Value, json};

/// A refused request.
pub(super) struct Refusal {
    status: StatusCode,
    code: &'static str,
    ran: &'static str,
}

impl Refusal {
    /// Refuses a request that was certainly not executed.
    pub(super) fn not_run(status: StatusCode, code: &'static str) -> Self {
        let ran = "no";
        Self { status, code, ran }
    }

    /// Refuses a request that may have been executed.
    pub(super) fn maybe_run(code: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            code,
            ran: "maybe",
        }
    }

    pub(super) fn answer(&self) -> Response<Body> {
        let error =
            json!({ "code": self.code, "step": "route", "ran": self.ran, "message": self.code });
        json_answer(self.status, &json!({ "error": error }))
    }
}

pub(super) fn json_answer(status: StatusCode, value: &Value) -> Response<Body> {
    let mut answer = Response::new(Body::full(Bytes::from(value.to_string())));
    *answer.status_mut() = status;
    answer
}
