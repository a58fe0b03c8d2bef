//! Engines that send bytes without end, or bytes that are no progress.

use std::time::{Duration, Instant};

use super::environment::Environment;

/// Memory that answers without end may take beyond the usual, in KiB.
const MAX_GROWTH_KIB: u64 = 24 * 1024;
/// Time limit of the callers' requests, as they state it.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time within which an answer must end after the time limit.
const MARGIN: Duration = Duration::from_millis(500);

/// Sends the same request fifty times at once, and returns the statuses and the longest duration.
fn request_at_once(env: &Environment, path: &str) -> (Vec<u16>, Duration) {
    let started = Instant::now();
    let statuses = std::thread::scope(|scope| {
        let request = || scope.spawn(|| env.request("POST", path, "").status());
        let threads: Vec<_> = (0..50).map(|_| request()).collect();
        threads.into_iter().map(|it| it.join().unwrap()).collect()
    });
    (statuses, started.elapsed())
}

fn assert_ended(path: &str) {
    let env = Environment::start_configured();
    let usual = env.peak_memory_kib();
    let (statuses, time) = request_at_once(&env, path);
    assert!(statuses.iter().all(|it| *it >= 500), "{path}: {statuses:?}");
    assert!(time < DEADLINE + MARGIN, "{path}: {time:?}");
    let growth = env.peak_memory_kib() - usual;
    assert!(growth < MAX_GROWTH_KIB, "{path}: {growth} KiB more");
    assert_eq!(env.request("GET", "/public/ok", "").status(), 200, "{path}");
}

#[test]
fn a_head_without_end_is_a_failure() {
    assert_ended("/once/endless-head");
}

#[test]
fn a_header_line_without_end_is_a_failure() {
    assert_ended("/once/endless-line");
}

#[test]
fn informational_heads_without_end_are_a_failure() {
    assert_ended("/once/endless-1xx");
}

#[test]
fn a_body_without_end_is_a_failure() {
    assert_ended("/once/endless-body");
}

#[test]
fn chunks_without_end_are_a_failure() {
    assert_ended("/once/endless-chunks");
}

/// The stream stalls after three events at the first engine, which goes on sending something. The second one finishes it.
fn assert_resumed(path: &str) {
    let env = Environment::start_configured();
    let started = Instant::now();
    let response = env.request("POST", path, "");
    let expected: String = (1..=10)
        .map(|number| format!("id: {number}\ndata: event {number}\n\n"))
        .collect();
    let text = response.text();
    let events: String = text
        .split_inclusive("\n\n")
        .filter(|it| !it.starts_with(':'))
        .collect();
    assert_eq!(events, expected, "{path}");
    assert!(response.is_complete, "{path}");
    // The maximum pause of the route is one second, and half as much is tolerated.
    let time = started.elapsed();
    assert!(time < Duration::from_secs(3), "{path}: {time:?}");
}

#[test]
fn a_stream_that_sends_only_comments_is_resumed_elsewhere() {
    assert_resumed("/events/comments/stream");
}

#[test]
fn a_stream_that_repeats_an_old_event_is_resumed_elsewhere() {
    assert_resumed("/events/repeats/stream");
}

#[test]
fn a_stream_that_drips_an_event_without_end_is_resumed_elsewhere() {
    assert_resumed("/events/drip/stream");
}

#[test]
fn a_stream_that_floods_comments_is_resumed_elsewhere() {
    assert_resumed("/events/flood/stream");
}
