//! Traces of requests as JSON, for operators and support. They hold names and numbers, but no bodies and no keys.

use std::time::UNIX_EPOCH;

use comfreyroad::Entry;
use comfreyroad::controller::trace::{Point, Trace};
use serde_json::{Value, json};

/// Traces of the calls of a request at this entry; `None` if there are none.
pub(super) fn explain(entry: &Entry, request: &str) -> Option<Value> {
    let calls: Vec<Value> = entry.state().traces.of_request(request).map(call).collect();
    (!calls.is_empty()).then(|| json!({"request": request, "calls": calls}))
}

fn call(trace: &Trace) -> Value {
    let received = trace
        .received
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    json!({
        "attempt": trace.attempt,
        "received_ms": received.as_millis() as u64,
        "steps": trace.steps.iter().map(step).collect::<Vec<Value>>(),
        "dropped": trace.dropped,
    })
}

fn step(point: &Point) -> Value {
    let mut step = json!({
        "after_ms": point.after.as_millis() as u64,
        "generation": point.generation,
        "step": point.step.name,
        "said": point.step.result,
    });
    for (name, value) in &point.step.fields {
        step[*name] = value.as_str().into();
    }
    step
}

/// Decodes a percent-encoded path segment; `None` if an escape is invalid.
pub(super) fn percent_decode(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let byte = data_encoding::HEXUPPER_PERMISSIVE.decode(&digits).ok()?;
        bytes.extend(byte);
    }
    String::from_utf8(bytes).ok()
}
