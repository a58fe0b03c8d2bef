//! The store is away for a moment and comes back from a copy that lacks its newest records.

use std::time::{Duration, Instant};

use super::environment::{CONFIG, Environment};
use super::store::Records;

/// How long the store is away.
const ABSENCE: Duration = Duration::from_millis(500);
/// Time within which a record that is written after the restoration takes effect.
const PROPAGATION: Duration = Duration::from_secs(2);
/// Time within which a status that the copy lacks is written again.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of requests while a test watches their answers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The configuration of the environment in another version, with a further route.
fn configuration(version: u32, path_prefix: &str) -> String {
    let route = format!(
        r#""routes":[{{"name":"added","host":"h","path_prefix":"{path_prefix}","kind":"idempotent","timeout_ms":5000,
        "target_latency_ms":1000,"service":"pool","max_attempts":2}},"#
    );
    CONFIG
        .replace("\"version\":1", &format!("\"version\":{version}"))
        .replace("\"routes\":[", &route)
}

/// Publishes a configuration and waits until its added route is served.
fn publish(env: &Environment, version: u32, path_prefix: &str) {
    let text = configuration(version, path_prefix);
    env.store.put("keyed.op", "config", &text);
    env.wait_for("added route", |env| status(env, path_prefix) == 200);
}

fn status(env: &Environment, path_prefix: &str) -> u16 {
    let path = format!("{path_prefix}ok");
    env.request("GET", &path, "").status()
}

/// Takes the store away and puts a copy in its place; `writes` happen before anyone reads it again.
fn restore(env: &Environment, copy: Records, writes: impl FnOnce()) {
    env.store.set_away(true);
    std::thread::sleep(ABSENCE);
    env.store.restore(copy);
    writes();
    env.store.set_away(false);
}

/// Sends requests for some time and returns the statuses that differ from 200, with the time of each.
fn failures(env: &Environment, path_prefix: &str, duration: Duration) -> Vec<(Duration, u16)> {
    let started = Instant::now();
    let mut failures = Vec::new();
    while started.elapsed() < duration {
        let status = status(env, path_prefix);
        if status != 200 {
            failures.push((started.elapsed(), status));
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    failures
}

/// Number of requests that the engine has got under the name of an upstream.
fn requests_to(env: &Environment, upstream: &str) -> usize {
    let requests = env.engine.requests();
    let targets = requests
        .iter()
        .map(|it| it.header("x-comfreyroad-target-instance"));
    targets.filter(|it| *it == upstream).count()
}

/// The newest registration of an upstream, with another sequence number.
fn registration(env: &Environment, upstream: &str, seq: u32) -> String {
    let newest = env.store.newest("keyed.servers", upstream).unwrap();
    newest.replace("\"seq\":1", &format!("\"seq\":{seq}"))
}

/// Has both upstreams report twice more, and waits until that has taken effect.
fn renew_registrations(env: &Environment) {
    for seq in [2, 3] {
        for upstream in ["i-1", "i-2"] {
            let text = registration(env, upstream, seq);
            env.store.put("keyed.servers", upstream, &text);
        }
    }
    std::thread::sleep(PROPAGATION);
}

fn assert_served_in_time(env: &Environment, path_prefix: &str) {
    let published = Instant::now();
    while status(env, path_prefix) != 200 {
        assert!(
            published.elapsed() < PROPAGATION,
            "{path_prefix} is not served"
        );
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// Callers got 404 for a route that was added after the restoration.
#[test]
fn route_added_after_the_store_came_back_from_a_copy_is_served() {
    let env = Environment::start_configured();
    let copy = env.store.copy();
    publish(&env, 2, "/second/");
    publish(&env, 3, "/third/");
    restore(&env, copy, || {});
    let text = configuration(4, "/fourth/");
    env.store.put("keyed.op", "config", &text);
    assert_served_in_time(&env, "/fourth/");
}

/// Callers got 404 for an added route whose configuration was given an offset that had been read before.
#[test]
fn route_added_at_an_offset_that_is_given_out_again_is_served() {
    let env = Environment::start_configured();
    let copy = env.store.copy();
    publish(&env, 2, "/second/");
    publish(&env, 3, "/third/");
    publish(&env, 4, "/fourth/");
    restore(&env, copy, || {
        let text = configuration(5, "/fifth/");
        env.store.put("keyed.op", "config", &text);
        for zone in ["p", "q", "r"] {
            env.store.put("keyed.op", &format!("evacuate/{zone}"), "{}");
        }
    });
    assert_served_in_time(&env, "/fifth/");
}

/// Callers got 404 for a served route when an older configuration came back from the copy.
#[test]
fn route_of_a_configuration_that_the_copy_lacks_stays_served() {
    let env = Environment::start_configured();
    publish(&env, 2, "/second/");
    let copy = env.store.copy();
    publish(&env, 3, "/third/");
    std::thread::scope(|scope| {
        let watch = || failures(&env, "/third/", Duration::from_secs(5));
        let watched = scope.spawn(watch);
        restore(&env, copy, || {});
        std::thread::sleep(Duration::from_secs(1));
        let text = configuration(3, "/third/");
        env.store.put("keyed.op", "config", &text);
        assert_eq!(watched.join().unwrap(), []);
    });
    assert_eq!(status(&env, "/second/"), 404);
}

/// Callers got 404 at an entry that had started after the restoration and heard of earlier offsets from its peers.
#[test]
fn entry_that_joins_after_the_store_came_back_serves_an_added_route() {
    let env = Environment::start_configured();
    let copy = env.store.copy();
    for (version, path_prefix) in [(2, "/second/"), (3, "/third/"), (4, "/fourth/")] {
        publish(&env, version, path_prefix);
    }
    restore(&env, copy, || {
        let text = configuration(4, "/fourth/");
        env.store.put("keyed.op", "config", &text);
    });
    let peer = env.start_peer();
    std::thread::sleep(PROPAGATION);
    let text = configuration(5, "/fifth/");
    env.store.put("keyed.op", "config", &text);
    assert_served_in_time(&peer, "/fifth/");
}

/// Callers got 404 when an entry that was paused during the restoration told the others of earlier offsets.
#[test]
fn entry_that_was_paused_while_the_store_came_back_hides_no_added_route() {
    let env = Environment::start_configured();
    let peer = env.start_peer();
    let copy = env.store.copy();
    for (version, path_prefix) in [(2, "/second/"), (3, "/third/"), (4, "/fourth/")] {
        publish(&env, version, path_prefix);
        peer.wait_for("added route", |peer| status(peer, path_prefix) == 200);
    }
    peer.signal("-STOP");
    restore(&env, copy, || {
        let text = configuration(4, "/fourth/");
        env.store.put("keyed.op", "config", &text);
    });
    std::thread::sleep(PROPAGATION);
    peer.signal("-CONT");
    std::thread::sleep(PROPAGATION);
    let text = configuration(5, "/fifth/");
    env.store.put("keyed.op", "config", &text);
    assert_served_in_time(&env, "/fifth/");
    assert_served_in_time(&peer, "/fifth/");
    assert_eq!(failures(&env, "/fifth/", Duration::from_secs(2)), []);
    assert_eq!(failures(&peer, "/fifth/", Duration::from_secs(2)), []);
}

/// Callers were sent to an engine that had left and was in the copy again.
#[test]
fn upstream_that_left_and_is_back_in_the_copy_gets_no_request() {
    let env = Environment::start_configured();
    let copy = env.store.copy();
    env.store.put("keyed.servers", "i-1", "");
    std::thread::sleep(PROPAGATION);
    let before = requests_to(&env, "i-1");
    restore(&env, copy, || {});
    assert_eq!(failures(&env, "/again/", Duration::from_secs(3)), []);
    assert_eq!(requests_to(&env, "i-1"), before);
}

/// Callers were sent to engines long after the report that they drain.
#[test]
fn upstreams_that_drain_after_the_store_came_back_get_no_request() {
    let env = Environment::start_configured();
    let copy = env.store.copy();
    renew_registrations(&env);
    restore(&env, copy, || {});
    for upstream in ["i-1", "i-2"] {
        let text = registration(&env, upstream, 4).replace("ready", "draining");
        env.store.put("keyed.servers", upstream, &text);
    }
    std::thread::sleep(PROPAGATION);
    let before = env.engine.requests().len();
    assert!(!failures(&env, "/again/", Duration::from_secs(1)).is_empty());
    assert_eq!(env.engine.requests().len(), before);
}

/// Callers were sent to engines that had been replaced after the restoration.
#[test]
fn upstream_that_registers_after_the_store_came_back_replaces_others() {
    let env = Environment::start_configured();
    let copy = env.store.copy();
    renew_registrations(&env);
    restore(&env, copy, || {});
    let text = registration(&env, "i-1", 1);
    env.store.put("keyed.servers", "i-3", &text);
    for upstream in ["i-1", "i-2"] {
        env.store.put("keyed.servers", upstream, "");
    }
    std::thread::sleep(PROPAGATION);
    let left = ["i-1", "i-2"];
    let before = left.map(|it| requests_to(&env, it));
    assert_eq!(failures(&env, "/again/", Duration::from_secs(1)), []);
    assert!(requests_to(&env, "i-3") > 0);
    assert_eq!(left.map(|it| requests_to(&env, it)), before);
}

/// Callers got 503 while engines that the copy lacks hadn't registered again.
#[test]
fn upstreams_that_the_copy_lacks_stay_in_use_until_they_register_again() {
    let env = Environment::start_configured();
    let mut copy = env.store.copy();
    copy.remove("keyed.servers");
    let other = registration(&env, "i-1", 1).replace("pool", "other");
    let register_other = |count| {
        for _ in 0..count {
            env.store.put("keyed.servers", "i-9", &other);
        }
    };
    register_other(4);
    std::thread::sleep(PROPAGATION);
    let upstreams = ["i-1", "i-2"].map(|it| (it, registration(&env, it, 2)));
    std::thread::scope(|scope| {
        let watch = || failures(&env, "/again/", Duration::from_secs(5));
        let watched = scope.spawn(watch);
        restore(&env, copy, || register_other(3));
        std::thread::sleep(Duration::from_secs(1));
        for (upstream, text) in &upstreams {
            env.store.put("keyed.servers", upstream, text);
        }
        assert_eq!(watched.join().unwrap(), []);
    });
}

/// Callers were sent to an evacuated zone until the operator had written its order again.
#[test]
fn zone_whose_evacuation_the_copy_lacks_gets_no_request() {
    let env = Environment::start_configured();
    let text = registration(&env, "i-1", 1).replace(r#""zone":"a""#, r#""zone":"b""#);
    env.store.put("keyed.servers", "i-3", &text);
    let copy = env.store.copy();
    env.store.put("keyed.op", "evacuate/a", "{}");
    for _ in 0..2 {
        env.store.put("keyed.op", "config", CONFIG);
    }
    std::thread::sleep(PROPAGATION);
    let evacuated = ["i-1", "i-2"];
    let before = evacuated.map(|it| requests_to(&env, it));
    std::thread::scope(|scope| {
        let watch = || failures(&env, "/again/", Duration::from_secs(4));
        let watched = scope.spawn(watch);
        restore(&env, copy, || {
            for _ in 0..2 {
                env.store.put("keyed.op", "config", CONFIG);
            }
        });
        std::thread::sleep(Duration::from_secs(1));
        env.store.put("keyed.op", "evacuate/a", "{}");
        assert_eq!(watched.join().unwrap(), []);
    });
    assert_eq!(evacuated.map(|it| requests_to(&env, it)), before);
}

/// A rollout began anew, with its whole time, when its order was written again.
#[test]
fn rollout_whose_order_is_written_again_does_not_begin_anew() {
    let env = Environment::start_logged(&["i-1", "i-2"]);
    let order = r#"{"service":"pool","target":"v2","duration_s":30}"#;
    let copy = env.store.copy();
    env.store.put("keyed.op", "rollout/pool", order);
    let status = |env: &Environment| env.store.newest("keyed.status", "rollout/pool");
    env.wait_for("status", |env| status(env).is_some());
    restore(&env, copy, || {
        for _ in 0..2 {
            env.store.put("keyed.op", "config", CONFIG);
        }
        env.store.put("keyed.op", "rollout/pool", order);
    });
    std::thread::sleep(STATUS_TIMEOUT);
    let begun = env.log_lines("E1601");
    assert_eq!(begun.len(), 1, "{begun:#?}");
}

/// The operator waited for a status that had been acknowledged and was lost.
#[test]
fn status_of_a_rollout_that_the_copy_lacks_is_written_again() {
    let env = Environment::start_configured();
    let order = r#"{"service":"pool","target":"v2","duration_s":30}"#;
    let status = |env: &Environment| env.store.newest("keyed.status", "rollout/pool");
    let copy = env.store.copy();
    env.store.put("keyed.op", "rollout/pool", order);
    env.wait_for("status", |env| status(env).is_some());
    restore(&env, copy, || {
        env.store.put("keyed.op", "rollout/pool", order);
    });
    let restored = Instant::now();
    while status(&env).is_none() {
        assert!(restored.elapsed() < STATUS_TIMEOUT, "no status");
        std::thread::sleep(REQUEST_INTERVAL);
    }
}
