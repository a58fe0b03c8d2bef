use std::io::Write;
use std::time::{Duration, Instant};

use super::http;
use super::site::{Site, request};

#[test]
fn without_a_configuration_nothing_is_denied_and_the_entry_is_not_ready() {
    let site = Site::bare();
    site.wait("listener", |site| {
        std::net::TcpStream::connect(site.front).is_ok()
    });
    let answer = site.ask("GET", "/again/ok", "");
    assert_eq!(answer.status(), 503);
    assert_ne!(answer.header("retry-after"), "");
    assert!(!site.is_ready());
}

#[test]
fn a_configuration_is_in_force_within_two_seconds() {
    let site = Site::serving();
    let changed = r#"{"version":2,"routes":[{"name":"n","host":"h","path_prefix":"/new/","kind":"idempotent",
        "timeout_ms":5000,"target_latency_ms":1000,"service":"pool"}],"services":[{"name":"pool","max_conns":9}]}"#;
    site.store.put("keyed.op", "config", changed);
    let published = Instant::now();
    site.wait("new route", |site| {
        site.ask("GET", "/new/ok", "").status() == 200
    });
    assert!(published.elapsed() < Duration::from_secs(2));
    assert_eq!(site.ask("GET", "/again/ok", "").status(), 404);
}

#[test]
fn a_shutdown_ends_what_is_under_way_and_tells_the_balancer_first() {
    let mut site = Site::serving();
    let mut slow = http::connect(site.front);
    slow.get_mut()
        .write_all(request("POST", "/once/slow", "").as_bytes())
        .unwrap();
    site.wait("request", |site| {
        site.engine
            .requests()
            .iter()
            .any(|it| it.path().ends_with("slow"))
    });
    site.signal("-TERM");
    let told = Instant::now();
    site.wait("word to the balancer", |site| !site.is_ready());
    assert!(told.elapsed() < Duration::from_secs(1));
    // Connections still come until the balancer has noticed.
    let late = site.ask("GET", "/again/ok", "");
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    let answer = http::read(&mut slow).unwrap();
    assert_eq!((answer.status(), answer.text()), (200, "ok".into()));
    assert!(site.end().success());
    assert!(told.elapsed() < Duration::from_secs(6));
}

#[test]
fn a_reader_of_the_log_that_stalls_costs_no_request() {
    let site = Site::serving();
    // The daemon's log is a pipe without room from its start on.
    let mut stream = http::connect(site.front);
    for _ in 0..300 {
        stream
            .get_mut()
            .write_all(request("GET", "/nowhere/x", "").as_bytes())
            .unwrap();
        assert_eq!(http::read(&mut stream).unwrap().status(), 404);
    }
    assert_eq!(site.ask("GET", "/again/ok", "").status(), 200);
}

#[test]
fn a_status_is_written_for_a_rollout() {
    let site = Site::serving();
    let order = r#"{"service":"pool","target":"v2","duration_s":30}"#;
    site.store.put("keyed.op", "rollout/pool", order);
    let status = |site: &Site| site.store.newest("keyed.status", "rollout/pool");
    site.wait("status", |site| status(site).is_some());
    let status = status(&site).unwrap();
    assert!(
        status.contains("in_progress") && status.contains("v2"),
        "{status}"
    );
}
