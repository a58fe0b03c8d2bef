//! Answers around a planned stop.

use std::io::{BufReader, Write};
use std::net::TcpStream;

use super::environment::Environment;
use super::http;

/// Sends a request on an open connection, whose caller waits up to so many milliseconds.
fn send_within(stream: &mut BufReader<TcpStream>, id: &str, path: &str, deadline_ms: u32) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: {id}\r\n\
         X-Comfreyroad-Deadline-Ms: {deadline_ms}\r\nX-Comfreyroad-Key: key\r\n\r\n"
    );
    stream.get_mut().write_all(request.as_bytes()).unwrap();
}

fn send(stream: &mut BufReader<TcpStream>, id: &str, path: &str) {
    send_within(stream, id, path, 20_000);
}

/// Sends a request on a connection of its own.
fn open(env: &Environment, id: &str, path: &str) -> BufReader<TcpStream> {
    let mut stream = http::connect(env.front);
    send(&mut stream, id, path);
    stream
}

/// Number of times that a request has reached the engine.
fn attempts(env: &Environment, id: &str) -> usize {
    let requests = env.engine.requests();
    let ids = requests
        .iter()
        .map(|it| it.header("x-comfreyroad-request-id"));
    ids.filter(|it| *it == id).count()
}

fn wait_for_attempts(env: &Environment, id: &str, count: usize) {
    env.wait_for("request at the engine", |env| attempts(env, id) >= count);
}

/// Streams cut at the end of a shutdown were logged as if their callers had disconnected, and the process as idle.
#[test]
fn answers_cut_at_the_exit_deadline_are_logged_with_their_requests() {
    let mut env = Environment::start_logged(&["i-1"]);
    let mut stream = open(&env, "long", "/events/every-700/stream");
    wait_for_attempts(&env, "long", 1);
    env.signal("-TERM");
    let answer = http::read_message(&mut stream).expect("the head of an answer");
    assert!(!answer.is_complete);
    assert!(env.wait_for_exit().success());
    let lines = env.log_lines("request=long");
    assert!(
        lines.iter().any(|it| it.contains("E1509")) && !lines.iter().any(|it| it.contains("E1507")),
        "{lines:#?}"
    );
    let stopped = env.log_lines("E1004");
    assert!(stopped[0].ends_with("open=1"), "{stopped:?}");
}
