//! Streams that are offered to another upstream while their own is silent.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::environment::{Environment, request_text};
use super::http::{self, Message};

/// Sends a request and returns its connection and its id.
fn open(env: &Environment, path: &str) -> (BufReader<TcpStream>, String) {
    let text = request_text("POST", path, "").replace("Deadline-Ms: 4000", "Deadline-Ms: 20000");
    let lines = text.lines();
    let id = lines.filter_map(|it| it.strip_prefix("X-Comfreyroad-Request-Id: "));
    let id = id.map(str::to_owned).next().unwrap();
    let mut stream = http::connect(env.front);
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    (stream, id)
}

/// Begins a stream, and registers a second upstream then, which accepts connections and says nothing.
fn open_beside_a_mute_upstream(
    env: &Environment,
    path: &str,
) -> (BufReader<TcpStream>, String, TcpListener) {
    let mute = TcpListener::bind("127.0.0.1:0").unwrap();
    let (stream, id) = open(env, path);
    env.wait_for("request at the engine", |env| {
        let requests = env.engine.requests();
        requests
            .iter()
            .any(|it| it.header("x-comfreyroad-request-id") == id)
    });
    let newest = env.store.newest("keyed.servers", "i-1").unwrap();
    let (before, rest) = newest.split_once("127.0.0.1:").unwrap();
    let (_, after) = rest.split_once('"').unwrap();
    let registration = format!("{before}{}\"{after}", mute.local_addr().unwrap());
    env.store.put("keyed.servers", "i-2", &registration);
    (stream, id, mute)
}

fn assert_complete(env: &Environment, stream: &mut BufReader<TcpStream>, id: &str) -> Message {
    let answer = http::read_message(stream).expect("an answer");
    let lines = env.log_lines(&format!("request={id} "));
    assert!(answer.is_complete, "{lines:#?}");
    answer
}

/// A stream left an engine that was only silent for one that rejected it late, and was cut at the exit.
#[test]
fn a_stream_that_is_rejected_elsewhere_late_is_not_cut_at_the_exit() {
    let env = Environment::start_logged(&["i-1", "i-2"]);
    env.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    let path = "/events/pauses-3000/rejects-later/rejection-takes-300/stream";
    let (mut stream, id) = open(&env, path);
    assert_complete(&env, &mut stream, &id);
}

/// A stream left an engine that was only silent for one that said nothing at all, and was cut at the exit.
#[test]
fn a_stream_is_not_cut_at_the_exit_at_an_upstream_that_says_nothing() {
    let env = Environment::start_logged(&["i-1"]);
    let (mut stream, id, _mute) = open_beside_a_mute_upstream(&env, "/events/pauses-3000/stream");
    env.signal("-TERM");
    assert_complete(&env, &mut stream, &id);
}

/// A stream that was resumed elsewhere left that engine before its first event, and was cut at the exit.
#[test]
fn a_resumed_stream_whose_next_upstream_begins_late_is_not_cut_at_the_exit() {
    let env = Environment::start_logged(&["i-1", "i-2", "i-3"]);
    env.signal("-TERM");
    std::thread::sleep(Duration::from_millis(100));
    let path = "/events/breaks/second-waits-4800/rejects-third/stream";
    let (mut stream, id) = open(&env, path);
    assert_complete(&env, &mut stream, &id);
}

/// A stream left its engine, although that went on a moment later, for one that said nothing.
#[test]
fn a_stream_whose_upstream_goes_on_while_it_is_offered_stays_there() {
    let env = Environment::start_logged(&["i-1"]);
    let (mut stream, id, _mute) = open_beside_a_mute_upstream(&env, "/events/pauses-1600/stream");
    let started = Instant::now();
    assert_complete(&env, &mut stream, &id);
    assert!(started.elapsed() < Duration::from_secs(4));
    assert_eq!(env.log_lines("E1507"), [""; 0]);
}

/// Each upstream to which a stream had been offered had a line that its caller had gone.
#[test]
fn a_caller_that_leaves_while_its_stream_is_offered_has_one_line() {
    let env = Environment::start_logged(&["i-1"]);
    let (stream, id, mute) = open_beside_a_mute_upstream(&env, "/events/pauses-3000/stream");
    // The first bytes that the second upstream gets are those of the offer.
    let (mut offer, _) = mute.accept().unwrap();
    assert!(offer.read(&mut [0; 64]).unwrap() > 0);
    drop(stream);
    let gone = || env.log_lines("E1507").len();
    env.wait_for("line", |_| gone() > 0);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(gone(), 1, "{:#?}", env.log_lines(&format!("request={id} ")));
}
