use std::io::Write;

use super::http;
use super::site::{Site, request};

#[test]
fn a_request_is_forwarded_unchanged_but_for_the_router_s_headers() {
    let site = Site::serving();
    let forged = "X-Comfreyroad-Tenant: forged\r\nX-Comfreyroad-Pin-Ms: 9\r\nKv-From: a/b\r\nX-Own: kept\r\n\
                  Content-Length: 4\r\n";
    let mut stream = http::connect(site.front);
    let text = request("POST", "/once/ok?a=b", forged) + "body";
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    let answer = http::read(&mut stream).unwrap();
    assert_eq!((answer.status(), answer.text()), (200, "ok".into()));
    assert_eq!(answer.header("x-comfreyroad-server-signature"), "s");
    let seen = site.engine.requests().pop().unwrap();
    assert_eq!(seen.first.trim(), "POST /once/ok?a=b HTTP/1.1");
    assert_eq!((seen.text(), seen.header("x-own")), ("body".into(), "kept"));
    assert_eq!(seen.header("x-comfreyroad-tenant"), "customer");
    assert!(
        seen.header("x-comfreyroad-target-instance")
            .starts_with("i-")
    );
    for name in ["x-comfreyroad-key", "x-comfreyroad-pin-ms", "kv-from"] {
        assert_eq!(seen.header(name), "", "{name}");
    }
    let left: u64 = seen.header("x-comfreyroad-deadline-ms").parse().unwrap();
    assert!(left <= 4000);
}

#[test]
fn what_cannot_be_this_request_s_answer_is_not_passed_on() {
    let site = Site::serving();
    for path in ["crossed", "unsigned", "closed", "bare"] {
        let answer = site.ask("POST", &format!("/once/{path}"), "");
        assert_eq!(answer.status(), 502, "{path}");
        assert_eq!(
            answer.header("x-comfreyroad-server-signature"),
            "",
            "{path}"
        );
        assert_eq!(answer.header("retry-after"), "", "{path}");
    }
    let ran = site
        .engine
        .requests()
        .iter()
        .filter(|it| it.path().starts_with("/once/"))
        .count();
    assert_eq!(ran, 4, "what runs once is sent once");
}

#[test]
fn a_full_engine_s_word_is_passed_on_as_a_promise() {
    let site = Site::serving();
    let answer = site.ask("POST", "/once/full", "");
    assert_eq!(answer.status(), 503);
    assert_ne!(answer.header("retry-after"), "");
}

#[test]
fn an_engine_s_own_failure_is_passed_on_after_the_tries_that_are_allowed() {
    let site = Site::serving();
    let once = site.ask("POST", "/once/failed", "");
    assert_eq!((once.status(), once.text()), (500, "oops".into()));
    assert_eq!(once.header("x-comfreyroad-server-signature"), "s");
    let before = site.engine.requests().len();
    assert_eq!(site.ask("GET", "/again/failed", "").status(), 500);
    assert_eq!(site.engine.requests().len() - before, 2);
}

#[test]
fn a_second_answer_on_a_connection_reaches_nobody() {
    let site = Site::serving();
    for _ in 0..20 {
        assert_eq!(site.ask("GET", "/again/extra", "").text(), "ok");
        assert_eq!(site.ask("GET", "/again/ok", "").status(), 200);
    }
}

#[test]
fn an_answer_without_a_length_is_whole_when_its_connection_ends() {
    let site = Site::serving();
    let answer = site.ask("GET", "/again/unframed", "");
    assert_eq!((answer.status(), answer.text()), (200, "ok".into()));
}

#[test]
fn what_is_not_allowed_is_refused_with_its_own_status() {
    let site = Site::serving();
    assert_eq!(site.ask("GET", "/nowhere/ok", "").status(), 404);
    let long = format!("Content-Length: 2000\r\n\r\n{}", "x".repeat(2000));
    assert_eq!(site.ask("POST", "/once/ok", &long).status(), 413);
    let stranger = request("GET", "/again/ok", "").replace(": key", ": stranger");
    assert_eq!(http::ask(site.front, &stranger).unwrap().status(), 401);
    let nameless = request("GET", "/again/ok", "").replace("Request-Id", "Other");
    assert_eq!(http::ask(site.front, &nameless).unwrap().status(), 400);
}

#[test]
fn a_caller_who_leaves_stops_its_engine() {
    let site = Site::serving();
    let mut stream = http::connect(site.front);
    stream
        .get_mut()
        .write_all(request("GET", "/again/hang", "").as_bytes())
        .unwrap();
    site.wait("request", |site| {
        site.engine
            .requests()
            .iter()
            .any(|it| it.path().ends_with("hang"))
    });
    drop(stream);
    let left = std::time::Instant::now();
    site.wait("cancellation", |site| site.engine.cancelled() > 0);
    // Half a second by the platform's word.
    assert!(left.elapsed() < std::time::Duration::from_millis(500));
}
