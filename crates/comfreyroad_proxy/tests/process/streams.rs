use super::environment::Environment;

fn events() -> String {
    (1..=10)
        .map(|number| format!("id: {number}\ndata: event {number}\n\n"))
        .collect()
}

#[test]
fn stream_is_forwarded_completely_and_in_order() {
    let env = Environment::start_configured();
    let response = env.request("POST", "/events/stream", "");
    assert_eq!((response.status(), response.text()), (200, events()));
    assert!(response.is_complete);
}

#[test]
fn stream_broken_inside_an_event_resumes_after_the_last_complete_event() {
    let env = Environment::start_configured();
    let response = env.request("POST", "/events/breaks/stream", "");
    assert_eq!(response.text(), events());
    assert!(response.is_complete);
    let requests = env.engine.requests();
    let last_event_ids: Vec<&str> = requests
        .iter()
        .filter(|it| it.path().contains("breaks"))
        .map(|it| it.header("last-event-id"))
        .collect();
    assert_eq!(last_event_ids, ["", "4"]);
}

#[test]
fn stream_that_cannot_be_resumed_ends_incomplete() {
    let env = Environment::start_configured();
    let response = env.request("POST", "/events/always/stream", "");
    assert!(!response.is_complete);
    assert!(events().starts_with(&response.text()));
}

#[test]
fn caller_resumes_a_stream_with_last_event_id() {
    let env = Environment::start_configured();
    let response = env.request("POST", "/events/stream", "Last-Event-Id: 7\r\n");
    let expected: String = (8..=10)
        .map(|it| format!("id: {it}\ndata: event {it}\n\n"))
        .collect();
    assert_eq!(response.text(), expected);
}

#[test]
fn stream_without_length_or_chunks_ends_with_the_connection() {
    let env = Environment::start_configured();
    let response = env.request("POST", "/events/unframed/stream", "");
    assert_eq!((response.status(), response.text()), (200, events()));
    assert!(response.is_complete);
    let response = env.request("POST", "/events/unframed/breaks/stream", "");
    assert_eq!(response.text(), events());
    let response = env.request("POST", "/events/unframed/always/stream", "");
    assert!(!response.is_complete, "it ended inside an event");
}

/// An engine that crashed after the head of its answer left the caller with an empty stream that looked complete.
#[test]
fn stream_that_ends_before_its_first_event_is_tried_again() {
    let env = Environment::start_configured();
    for path in ["/events/unframed/empty/stream", "/events/empty/stream"] {
        let response = env.request("POST", path, "");
        assert_eq!((response.status(), response.text()), (200, events()));
        assert!(response.is_complete);
    }
}

/// The next engine answered a stream that had broken off with an error, whose text reached the caller in the middle of the stream.
#[test]
fn an_answer_that_is_no_stream_does_not_continue_one() {
    let env = Environment::start_configured();
    let answers = ["500", "404", "429", "503", "204", "text", "untyped"];
    for answer in answers {
        let path = format!("/events/breaks/then-{answer}/stream");
        let response = env.request("POST", &path, "");
        assert_eq!(response.status(), 200, "{answer}");
        let text = response.text();
        assert!(events().starts_with(&text), "{answer}: {text}");
        assert!(!response.is_complete, "{answer}: {text}");
    }
}

/// An engine that resumed a stream crashed after the head of its answer, and the caller took what it had for the whole stream.
#[test]
fn a_resumed_stream_without_events_whose_end_is_not_marked_is_incomplete() {
    let env = Environment::start_configured();
    let response = env.request("POST", "/events/breaks/then-gone/stream", "");
    let text = response.text();
    assert!(events().starts_with(&text) && text != events(), "{text}");
    assert!(!response.is_complete, "{text}");
}
