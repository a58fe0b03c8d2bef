use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::environment::{CONFIG, Environment, request_text};
use super::http;

/// Sends a request that the engine answers late, and waits until the engine has it.
fn send_slow_request(env: &Environment) -> BufReader<TcpStream> {
    let mut slow = http::connect(env.front);
    slow.get_mut()
        .write_all(request_text("POST", "/once/slow", "").as_bytes())
        .unwrap();
    env.wait_for("request", |env| {
        env.engine
            .requests()
            .iter()
            .any(|it| it.path().ends_with("slow"))
    });
    slow
}

#[test]
fn unconfigured_entry_responds_503_and_is_not_ready() {
    let env = Environment::start_unconfigured();
    env.wait_for("listener", |env| TcpStream::connect(env.front).is_ok());
    let response = env.request("GET", "/again/ok", "");
    assert_eq!(response.status(), 503);
    assert_ne!(response.header("retry-after"), "");
    assert!(!env.is_ready());
}

#[test]
fn new_configuration_applies_within_two_seconds() {
    let env = Environment::start_configured();
    let changed = r#"{"version":2,"routes":[{"name":"n","host":"h","path_prefix":"/new/","kind":"idempotent",
        "timeout_ms":5000,"target_latency_ms":1000,"service":"pool"}],"services":[{"name":"pool","max_conns":9}]}"#;
    env.store.put("keyed.op", "config", changed);
    let published = Instant::now();
    env.wait_for("new route", |env| {
        env.request("GET", "/new/ok", "").status() == 200
    });
    assert!(published.elapsed() < Duration::from_secs(2));
    assert_eq!(env.request("GET", "/again/ok", "").status(), 404);
}

#[test]
fn shutdown_fails_readiness_first_and_completes_open_requests() {
    let mut env = Environment::start_configured();
    let mut slow = send_slow_request(&env);
    env.signal("-TERM");
    let signalled = Instant::now();
    env.wait_for("failing readiness check", |env| !env.is_ready());
    assert!(signalled.elapsed() < Duration::from_secs(1));
    // The load balancer opens connections until it has noticed the failing readiness check.
    let late_response = env.request("GET", "/again/ok", "");
    assert_eq!(
        (late_response.status(), late_response.header("connection")),
        (200, "close")
    );
    let response = http::read_message(&mut slow).unwrap();
    assert_eq!((response.status(), response.text()), (200, "ok".into()));
    assert!(env.wait_for_exit().success());
    assert!(signalled.elapsed() < Duration::from_secs(6));
}

/// A handler that is installed anew for each signal leaves the default action in force in between.
#[test]
fn signals_that_follow_closely_do_not_end_the_process() {
    let mut env = Environment::start_configured();
    let mut slow = send_slow_request(&env);
    env.signal_in_pairs(Signal::HUP);
    assert!(env.is_running());
    let response = http::read_message(&mut slow).unwrap();
    assert_eq!((response.status(), response.text()), (200, "ok".into()));
}

/// The same for the signal that starts the shutdown.
#[test]
fn repeated_shutdown_signal_does_not_cut_open_requests() {
    let mut env = Environment::start_configured();
    let mut slow = send_slow_request(&env);
    env.signal_in_pairs(Signal::TERM);
    let response = http::read_message(&mut slow).unwrap();
    assert_eq!((response.status(), response.text()), (200, "ok".into()));
    assert!(env.wait_for_exit().success());
}

#[test]
fn stalled_log_reader_does_not_block_requests() {
    let env = Environment::start_configured();
    // The daemon's standard output is a full pipe from the start.
    let mut stream = http::connect(env.front);
    for _ in 0..300 {
        stream
            .get_mut()
            .write_all(request_text("GET", "/nowhere/x", "").as_bytes())
            .unwrap();
        assert_eq!(http::read_message(&mut stream).unwrap().status(), 404);
    }
    assert_eq!(env.request("GET", "/again/ok", "").status(), 200);
}

/// Lines for which the reader had no room were lost without a trace.
#[test]
fn lost_log_lines_are_counted_and_reported() {
    let env = Environment::start_configured();
    for _ in 0..5 {
        assert_eq!(env.request("GET", "/nowhere/x", "").status(), 404);
    }
    let mut log = env.read_log();
    assert_eq!(env.request("GET", "/nowhere/x", "").status(), 404);
    log += &env.read_log();
    let lines: Vec<_> = log.trim_start().lines().collect();
    let (_, count) = lines[0]
        .split_once(" WARN E1007 log lines lost count=")
        .unwrap();
    let count: u64 = count.parse().unwrap();
    assert!(count >= 5, "{log}");
    assert!(lines[1..].iter().all(|it| !it.contains("E1007")), "{log}");
    assert!(log.contains("E1501 request refused"), "{log}");
    assert_eq!(env.metric("comfreyroad_log_lines_lost_total"), count);
}

/// An error of the last accepts closed the listener, which resets the connections that still wait to be accepted.
#[test]
fn lack_of_file_descriptors_at_shutdown_resets_no_connection() {
    let mut env = Environment::start_configured();
    env.limit_files(Some(1));
    let mut waiting = http::connect(env.front);
    waiting
        .get_mut()
        .write_all(request_text("GET", "/again/ok", "").as_bytes())
        .unwrap();
    env.signal("-TERM");
    // The listener is closed to new connections after 2.8 s.
    std::thread::sleep(Duration::from_millis(3300));
    env.limit_files(None);
    let response = http::read_message(&mut waiting).unwrap();
    assert_ne!(response.header("connection"), "");
    assert!(env.wait_for_exit().success());
}

#[test]
fn rollout_status_is_written() {
    let env = Environment::start_configured();
    let order = r#"{"service":"pool","target":"v2","duration_s":30}"#;
    env.store.put("keyed.op", "rollout/pool", order);
    let status = |env: &Environment| env.store.newest("keyed.status", "rollout/pool");
    env.wait_for("status", |env| status(env).is_some());
    let status = status(&env).unwrap();
    assert!(
        status.contains("in_progress") && status.contains("v2"),
        "{status}"
    );
}

/// Any writer may leave records with times that no clock can add to.
#[test]
fn times_without_end_in_records_do_not_stop_the_process() {
    let mut env = Environment::start_configured();
    let registration = r#"{"service":"other","address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready",
        "cold_left_ms":1e22,"seq":1,"born":1}"#;
    env.store.put("keyed.servers", "i-9", registration);
    let order = r#"{"service":"pool","target":"v2","duration_s":1.8e19}"#;
    env.store.put("keyed.op", "rollout/pool", order);
    std::thread::sleep(std::time::Duration::from_millis(1500));
    assert!(env.is_running());
    assert_eq!(env.request("GET", "/public/ok", "").status(), 200);
    // Both topics are still read.
    let changed = CONFIG
        .replace("\"version\":1", "\"version\":2")
        .replace("/public/", "/changed/");
    env.store.put("keyed.op", "config", &changed);
    let is_changed = |env: &Environment| env.request("GET", "/changed/ok", "").status() == 200;
    env.wait_for("new configuration", is_changed);
    env.store.put("keyed.servers", "i-1", "");
    env.store.put("keyed.servers", "i-2", "");
    let is_gone = |env: &Environment| env.request("GET", "/changed/ok", "").status() == 503;
    env.wait_for("removal of the engines", is_gone);
    assert_eq!(env.errors(), "");
}
