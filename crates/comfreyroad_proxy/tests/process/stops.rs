//! Answers around a planned stop.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::environment::Environment;
use super::http::{self, Message};

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

fn events() -> String {
    (1..=10)
        .map(|number| format!("id: {number}\ndata: event {number}\n\n"))
        .collect()
}

/// The events of an answer, without comments.
fn events_of(answer: &Message) -> String {
    let text = answer.text();
    let events = text.split_inclusive("\n\n");
    events.filter(|it| !it.starts_with(':')).collect()
}

fn assert_served_in_spite_of_silence(upstreams: &[&str], path: &str) {
    let env = Environment::start_logged(upstreams);
    let answer = http::read_message(&mut open(&env, "silent", path)).expect("an answer");
    let lines = env.log_lines("request=silent");
    assert_eq!(answer.status(), 200, "{lines:#?}");
    assert!(answer.is_complete, "{lines:#?}");
    let expected = if path.ends_with("stream") {
        events()
    } else {
        "ok".into()
    };
    assert_eq!(events_of(&answer), expected, "{lines:#?}");
}

/// A stream was aborted because its engine was silent for a while, though no other engine could go on with it.
#[test]
fn a_stream_is_not_given_up_for_silence_if_no_other_upstream_is_left() {
    assert_served_in_spite_of_silence(&["i-1"], "/events/pauses-2500/stream");
}

/// A stream went on at a second engine, and was aborted when that engine was silent too.
#[test]
fn a_resumed_stream_is_not_given_up_for_silence_if_no_third_upstream_is_left() {
    assert_served_in_spite_of_silence(&["i-1", "i-2"], "/events/pauses-2500/stream");
}

/// An attempt was given up before its first event, and its request refused, though no other engine was left.
#[test]
fn an_attempt_is_not_given_up_before_its_answer_if_no_other_upstream_is_left() {
    assert_served_in_spite_of_silence(&["i-1"], "/events/waits-2500/stream");
    assert_served_in_spite_of_silence(&["i-1"], "/again/waits-1500/ok");
}

/// A stream was aborted when the engine at which it was to go on rejected it.
#[test]
fn a_stream_whose_next_upstream_rejects_it_goes_on() {
    assert_served_in_spite_of_silence(&["i-1", "i-2"], "/events/comments/rejects-second/stream");
}

/// An engine that was given up worked on until the first event of the next one.
#[test]
fn a_stream_that_goes_on_elsewhere_is_first_cancelled_at_its_upstream() {
    let env = Environment::start_logged(&["i-1", "i-2"]);
    let mut stream = open(&env, "moved", "/events/comments/second-waits-2500/stream");
    wait_for_attempts(&env, "moved", 2);
    // The second engine begins after 2.5 s.
    let deadline = Instant::now() + Duration::from_secs(1);
    while env.engine.cancelled() == 0 {
        assert!(Instant::now() < deadline, "the first attempt goes on");
        std::thread::sleep(Duration::from_millis(20));
    }
    let answer = http::read_message(&mut stream).expect("an answer");
    assert!(answer.is_complete);
    assert_eq!(events_of(&answer), events());
}

/// Requests that came late in a shutdown were passed on, and cut at its end.
#[test]
fn a_request_late_in_a_shutdown_is_refused_unless_its_time_limit_comes_first() {
    let mut env = Environment::start_logged(&["i-1"]);
    let [mut long, mut short] = [(); 2].map(|()| http::connect(env.front));
    // The entry accepts both.
    env.wait_for("readiness", Environment::is_ready);
    env.signal("-TERM");
    std::thread::sleep(Duration::from_millis(2950));
    let sent_at = Instant::now();
    send(&mut long, "long", "/events/every-700/stream");
    send_within(&mut short, "short", "/once/slow", 1500);
    let refused = http::read_message(&mut long).expect("a refusal");
    assert!(sent_at.elapsed() < Duration::from_secs(1));
    assert_eq!(
        (refused.status(), refused.header("connection")),
        (503, "close")
    );
    assert!(refused.is_complete);
    assert_ne!(refused.header("retry-after"), "");
    assert_eq!(attempts(&env, "long"), 0);
    let answer = http::read_message(&mut short).expect("an answer");
    assert_eq!((answer.status(), answer.text()), (200, "ok".into()));
    assert!(env.wait_for_exit().success());
}

/// An entry that was slow to handle the signal took requests later, and was killed in the middle of their answers.
#[test]
fn a_request_late_in_a_shutdown_is_refused_although_its_signal_was_handled_late() {
    let mut env = Environment::start_logged(&["i-1"]);
    let mut long = http::connect(env.front);
    env.wait_for("readiness", Environment::is_ready);
    env.signal("-STOP");
    env.signal("-TERM");
    let signalled_at = Instant::now();
    std::thread::sleep(Duration::from_millis(600));
    env.signal("-CONT");
    let sent_at = signalled_at + Duration::from_millis(3100);
    std::thread::sleep(sent_at.saturating_duration_since(Instant::now()));
    send(&mut long, "long", "/events/every-700/stream");
    let refused = http::read_message(&mut long).expect("a refusal");
    let draining = env.log_lines("E1003");
    assert_eq!(refused.status(), 503, "{draining:?}");
    assert!(refused.is_complete);
    assert_eq!(attempts(&env, "long"), 0);
    assert!(env.wait_for_exit().success());
    assert!(signalled_at.elapsed() < Duration::from_secs(8));
}

/// Requests whose answers had not begun at the end of a shutdown got a reset.
#[test]
fn a_request_without_an_answer_at_the_exit_deadline_gets_one() {
    let mut env = Environment::start_logged(&["i-1"]);
    env.signal("-TERM");
    std::thread::sleep(Duration::from_secs(1));
    let mut stream = open(&env, "waiting", "/once/waits-9000/ok");
    wait_for_attempts(&env, "waiting", 1);
    let answer = http::read_message(&mut stream).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (502, "close")
    );
    assert!(answer.is_complete);
    assert!(env.wait_for_exit().success());
}

/// A stream left an engine that was only silent, found no other one, and was cut at the exit though the engine would have gone on.
#[test]
fn a_stream_that_left_a_silent_upstream_and_is_rejected_elsewhere_is_not_cut_at_the_exit() {
    let mut env = Environment::start_logged(&["i-1", "i-2"]);
    env.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    let path = "/events/pauses-3000/rejects-later/stream";
    let answer = http::read_message(&mut open(&env, "rejected", path)).expect("an answer");
    let lines = env.log_lines("request=rejected");
    assert!(answer.is_complete, "{lines:#?}");
    assert!(env.wait_for_exit().success());
}

/// An entry that had got no processor before its signal counted that time as well, and cut answers long before its grace period ended.
#[test]
fn an_entry_that_rested_before_its_shutdown_cuts_no_answer_before_the_last_sixth_of_its_grace() {
    let mut env = Environment::start_logged(&["i-1"]);
    env.signal("-STOP");
    std::thread::sleep(Duration::from_millis(950));
    env.signal("-TERM");
    let signalled_at = Instant::now();
    env.signal("-CONT");
    let mut stream = open(&env, "early", "/events/every-700/stream");
    let answer = http::read_message(&mut stream).expect("the head of an answer");
    let ended_after = signalled_at.elapsed();
    let lines = env.log_lines("E1003");
    let last_sixth = Duration::from_secs(6) * 5 / 6;
    assert!(
        answer.is_complete || ended_after >= last_sixth,
        "{ended_after:?}, {lines:?}"
    );
    assert!(env.wait_for_exit().success());
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

/// A request that had not been sent to any engine was said to have run perhaps, so that its caller could not send it again.
#[test]
fn a_request_that_was_not_sent_on_by_the_exit_deadline_has_not_run() {
    let mut env = Environment::start_logged(&["i-1"]);
    env.signal("-TERM");
    std::thread::sleep(Duration::from_secs(1));
    let mut stream = http::connect(env.front);
    let head = "POST /once/ok HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: half\r\n\
                X-Comfreyroad-Deadline-Ms: 20000\r\nX-Comfreyroad-Key: key\r\nContent-Length: 10\r\n\r\nhalf";
    stream.get_mut().write_all(head.as_bytes()).unwrap();
    let answer = http::read_message(&mut stream).expect("a refusal");
    assert_eq!(answer.status(), 503);
    assert_eq!(attempts(&env, "half"), 0);
    assert!(env.wait_for_exit().success());
}

/// Of the streams that were cut at once, forty had a line in the log, and nothing told of the others.
#[test]
fn cut_answers_beyond_the_limit_of_the_log_are_counted() {
    const STREAMS: usize = 45;
    let mut env = Environment::start_logged(&["i-1", "i-2"]);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| open(&env, &format!("s{number}"), "/events/every-700/stream"))
        .collect();
    for number in 0..STREAMS {
        wait_for_attempts(&env, &format!("s{number}"), 1);
    }
    env.signal("-TERM");
    assert!(env.wait_for_exit().success());
    drop(streams);
    let lines = env.log_lines("E1509 answer cut").len();
    let left_out = env.log_lines("E1509 lines left out");
    let stopped = env.log_lines("E1004");
    assert!(stopped[0].ends_with("open=45"), "{stopped:?}");
    assert_eq!(lines, 40);
    assert!(left_out[0].ends_with("count=5"), "{left_out:?}");
}

/// A caller that read nothing for some seconds, while its connection was full, lost a complete answer and the log said served.
#[test]
fn an_answer_whose_caller_reads_late_arrives_whole() {
    let env = Environment::start_logged(&["i-1"]);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&env.front.into()).unwrap();
    let mut stream = BufReader::new(TcpStream::from(socket));
    env.signal("-TERM");
    send(&mut stream, "late", "/once/large");
    std::thread::sleep(Duration::from_millis(4500));
    let answer = http::read_message(&mut stream).expect("an answer");
    let lines = env.log_lines("request=late");
    assert!(answer.is_complete, "{lines:#?}");
}
