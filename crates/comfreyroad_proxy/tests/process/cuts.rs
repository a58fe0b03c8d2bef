//! Answers that an engine cuts off after each of their bytes in turn: callers take none of them for complete that is not whole.

use std::collections::BTreeSet;

use super::cut::{self, BODY, EVENTS};
use super::environment::{Environment, request_text};
use super::http::{self, Message};

/// Requests at once.
const THREADS: usize = 4;

/// Length of the whole answer in a format to the request of that id.
fn length(format: &str, id: &str) -> usize {
    let head = |status: &str, rest: &str| {
        format!(
            "HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Server-Signature: s\r\n{rest}"
        )
    };
    cut::answer(format, head).unwrap().len()
}

/// Sends a request that the engine answers with the first bytes of an answer; the last `missing` of them don't arrive.
fn request(
    env: &Environment,
    (method, route): (&str, &str),
    (format, end): (&str, &str),
    missing: usize,
) -> Option<Message> {
    let text = request_text(method, "PATH", "");
    let id = text
        .lines()
        .find_map(|it| it.strip_prefix("X-Comfreyroad-Request-Id: "))?;
    let sent = length(format, id) - missing;
    let path = format!("/{route}/cut-{format}-{end}-{sent}");
    http::send_request(env.front, &text.replacen("PATH", &path, 1))
}

/// Number of requests for a path that have arrived at the engine.
fn arrivals(env: &Environment, path: &str) -> usize {
    let requests = env.engine.requests();
    let of_path = requests.iter().filter(|it| it.path().contains(path));
    let ids: BTreeSet<_> = of_path
        .map(|it| it.header("x-comfreyroad-request-id"))
        .collect();
    ids.len()
}

/// Cuts off the answer in each format after each byte, and passes what the caller gets to `check`, with the number of bytes missing.
fn cut_everywhere(
    caller: (&str, &str),
    formats: &[&str],
    ends: &[&str],
    check: impl Fn(&str, usize, Option<Message>) + Sync,
) {
    let env = &Environment::start_configured();
    let check = &check;
    for format in formats {
        for end in ends {
            let longest = length(format, "r0");
            std::thread::scope(|scope| {
                for thread in 0..THREADS {
                    scope.spawn(move || {
                        for missing in (thread..=longest).step_by(THREADS) {
                            let answer = request(env, caller, (format, end), missing);
                            check(&format!("{caller:?} {format} {end}"), missing, answer);
                        }
                    });
                }
            });
            // One may meet the connection of the whole answer just before its end.
            let arrived = arrivals(env, &format!("/cut-{format}-{end}-"));
            assert!(arrived >= longest, "{caller:?} {format} {end}: {arrived}");
        }
    }
    assert_eq!(env.errors(), "");
}

/// An engine stopped in the middle of an answer's head, and callers got an empty body that looked complete.
#[test]
fn a_plain_answer_that_is_cut_off_is_not_a_success() {
    for caller in [("POST", "once"), ("GET", "again")] {
        let formats = ["length", "chunks"];
        cut_everywhere(
            caller,
            &formats,
            &["close", "reset"],
            |what, missing, answer| {
                let answer = answer.expect("an answer");
                if answer.status() == 200 {
                    assert_eq!(answer.text(), BODY, "{what}, {missing} bytes missing");
                    // All that follows the body may be missing.
                    assert!(missing == 0, "{what}, {missing} bytes missing");
                } else {
                    assert!(answer.status() >= 500, "{what}, {missing} bytes missing");
                    assert!(
                        missing > 0 || what.contains("reset"),
                        "{what}: the whole answer"
                    );
                }
            },
        );
    }
}

#[test]
fn a_stream_that_is_cut_off_does_not_look_complete() {
    let formats = ["eventlength", "eventchunks"];
    let check = |what: &str, missing: usize, answer: Option<Message>| {
        let Some(answer) = answer else { return };
        let text = answer.text();
        if answer.status() == 200 {
            assert!(
                EVENTS.starts_with(&text),
                "{what}, {missing} missing: {text}"
            );
            let is_whole = text == EVENTS;
            assert!(!answer.is_complete || is_whole, "{what}, {missing} missing");
            assert!(answer.is_complete || missing > 0 || what.contains("reset"));
        } else {
            assert!(answer.status() >= 500, "{what}, {missing} missing");
        }
    };
    cut_everywhere(("POST", "events"), &formats, &["close", "reset"], check);
}

/// The end of an answer without length or chunks is that of its connection, but a reset is no end.
#[test]
fn a_stream_without_length_or_chunks_that_is_reset_does_not_look_complete() {
    let check = |what: &str, missing: usize, answer: Option<Message>| {
        let Some(answer) = answer else { return };
        let text = answer.text();
        assert!(
            answer.status() != 200 || EVENTS.starts_with(&text),
            "{what}, {missing} missing: {text}"
        );
        assert!(
            answer.status() != 200 || !answer.is_complete,
            "{what}, {missing} missing"
        );
    };
    cut_everywhere(("POST", "events"), &["eventunframed"], &["reset"], check);
}
