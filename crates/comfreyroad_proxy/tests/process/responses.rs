use std::io::Write;
use std::time::{Duration, Instant};

use super::environment::{Environment, request_text};
use super::http;

#[test]
fn request_is_forwarded_unchanged_except_router_headers() {
    let env = Environment::start_configured();
    let forged = "X-Comfreyroad-Tenant: forged\r\nX-Comfreyroad-Pin-Ms: 9\r\nKv-From: a/b\r\nX-Own: kept\r\n\
                  Content-Length: 4\r\n";
    let mut stream = http::connect(env.front);
    let text = request_text("POST", "/once/ok?a=b", forged) + "body";
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    let response = http::read_message(&mut stream).unwrap();
    assert_eq!((response.status(), response.text()), (200, "ok".into()));
    assert_eq!(response.header("x-comfreyroad-server-signature"), "s");
    let forwarded = env.engine.requests().pop().unwrap();
    assert_eq!(forwarded.start_line.trim(), "POST /once/ok?a=b HTTP/1.1");
    assert_eq!(
        (forwarded.text(), forwarded.header("x-own")),
        ("body".into(), "kept")
    );
    assert_eq!(forwarded.header("x-comfreyroad-tenant"), "customer");
    assert!(
        forwarded
            .header("x-comfreyroad-target-instance")
            .starts_with("i-")
    );
    for name in ["x-comfreyroad-key", "x-comfreyroad-pin-ms", "kv-from"] {
        assert_eq!(forwarded.header(name), "", "{name}");
    }
    let remaining_ms: u64 = forwarded
        .header("x-comfreyroad-deadline-ms")
        .parse()
        .unwrap();
    assert!(remaining_ms <= 4000);
}

#[test]
fn invalid_responses_are_not_forwarded() {
    let env = Environment::start_configured();
    for path in ["crossed", "unsigned", "closed", "unconfirmed"] {
        let response = env.request("POST", &format!("/once/{path}"), "");
        assert_eq!(response.status(), 502, "{path}");
        assert_eq!(
            response.header("x-comfreyroad-server-signature"),
            "",
            "{path}"
        );
        assert_eq!(response.header("retry-after"), "", "{path}");
    }
    let sent = env
        .engine
        .requests()
        .iter()
        .filter(|it| it.path().starts_with("/once/"))
        .count();
    assert_eq!(sent, 4, "a request that may run only once is sent once");
}

#[test]
fn rejection_by_a_full_engine_becomes_503_with_retry_after() {
    let env = Environment::start_configured();
    let response = env.request("POST", "/once/full", "");
    assert_eq!(response.status(), 503);
    assert_ne!(response.header("retry-after"), "");
}

#[test]
fn engine_failure_is_forwarded_after_the_allowed_attempts() {
    let env = Environment::start_configured();
    let once = env.request("POST", "/once/failed", "");
    assert_eq!((once.status(), once.text()), (500, "oops".into()));
    assert_eq!(once.header("x-comfreyroad-server-signature"), "s");
    let before = env.engine.requests().len();
    assert_eq!(env.request("GET", "/again/failed", "").status(), 500);
    assert_eq!(env.engine.requests().len() - before, 2);
}

#[test]
fn extra_response_on_a_connection_is_discarded() {
    let env = Environment::start_configured();
    for _ in 0..20 {
        assert_eq!(env.request("GET", "/again/extra", "").text(), "ok");
        assert_eq!(env.request("GET", "/again/ok", "").status(), 200);
    }
}

/// An engine sends a second copy of each answer some milliseconds late, on a connection that may be in use again.
#[test]
fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    let env = Environment::start_configured();
    for round in 0..60 {
        let text = request_text("GET", "/again/copied", "");
        let id = text
            .lines()
            .find_map(|it| it.strip_prefix("X-Comfreyroad-Request-Id: "));
        let response = http::send_request(env.front, &text).unwrap();
        if response.status() == 200 {
            assert_eq!(Some(&*response.text()), id);
        } else {
            assert_eq!(response.status(), 502);
        }
        std::thread::sleep(std::time::Duration::from_millis(round % 6));
    }
}

/// An engine wrote a rejection once more on a kept connection, where it was taken for the answer to the next request: the caller was
/// told that it had not run, though it had.
#[test]
fn a_repeated_rejection_says_nothing_about_the_next_request() {
    let env = Environment::start_configured();
    for path in ["refused-again", "refused-again-unnamed"] {
        for round in 0..40 {
            env.request("POST", &format!("/once/{path}"), "");
            std::thread::sleep(Duration::from_millis(round % 4));
            let text = request_text("POST", "/once/ok", "");
            let id = text
                .lines()
                .find_map(|it| it.strip_prefix("X-Comfreyroad-Request-Id: "));
            let response = http::send_request(env.front, &text).unwrap();
            let arrivals = env.engine.requests().into_iter();
            let runs = arrivals
                .filter(|it| Some(it.header("x-comfreyroad-request-id")) == id)
                .count();
            assert!(runs <= 1, "{path}: it ran {runs} times");
            assert!(
                response.status() != 503 || runs == 0,
                "{path}: the caller was told that a request had not run that had"
            );
        }
    }
}

/// The connection of an unusable answer was kept, so that the engine worked on after its request had been given up.
#[test]
fn an_answer_without_the_id_of_its_request_ends_the_work_on_it() {
    let env = Environment::start_logged(&["i-1"]);
    env.request("POST", "/once/refused-again-late", "");
    let response = env.request("GET", "/again/hang", "");
    assert_eq!(response.status(), 502);
    let given_up_at = Instant::now();
    env.wait_for("cancellation", |env| env.engine.cancelled() == 1);
    assert!(given_up_at.elapsed() < Duration::from_secs(1));
}

/// The next request on such a connection got the answer to the one before, and failed though its engine was sound.
#[test]
fn an_answer_without_the_id_of_its_request_leaves_the_next_one_alone() {
    let env = Environment::start_logged(&["i-1"]);
    env.request("POST", "/once/refused-again-late", "");
    env.request("POST", "/once/slow", "");
    let response = env.request("POST", "/once/ok", "");
    let lines = env.log_lines("E1503");
    assert_eq!(
        (response.status(), response.text()),
        (200, "ok".into()),
        "{lines:#?}"
    );
}

#[test]
fn response_without_length_ends_with_the_connection() {
    let env = Environment::start_configured();
    let response = env.request("GET", "/again/unframed", "");
    assert_eq!((response.status(), response.text()), (200, "ok".into()));
}

#[test]
fn invalid_requests_are_refused_with_specific_statuses() {
    let env = Environment::start_configured();
    assert_eq!(env.request("GET", "/nowhere/ok", "").status(), 404);
    let long = format!("Content-Length: 2000\r\n\r\n{}", "x".repeat(2000));
    assert_eq!(env.request("POST", "/once/ok", &long).status(), 413);
    let with_unknown_key = request_text("GET", "/again/ok", "").replace(": key", ": stranger");
    assert_eq!(
        http::send_request(env.front, &with_unknown_key)
            .unwrap()
            .status(),
        401
    );
    let without_id = request_text("GET", "/again/ok", "").replace("Request-Id", "Other");
    assert_eq!(
        http::send_request(env.front, &without_id).unwrap().status(),
        400
    );
}

#[test]
fn caller_disconnect_cancels_the_upstream_request() {
    let env = Environment::start_configured();
    let mut stream = http::connect(env.front);
    stream
        .get_mut()
        .write_all(request_text("GET", "/again/hang", "").as_bytes())
        .unwrap();
    env.wait_for("request", |env| {
        env.engine
            .requests()
            .iter()
            .any(|it| it.path().ends_with("hang"))
    });
    drop(stream);
    let disconnected = std::time::Instant::now();
    env.wait_for("cancellation", |env| env.engine.cancelled() > 0);
    // The platform requires cancellation within half a second.
    assert!(disconnected.elapsed() < std::time::Duration::from_millis(500));
}
