//! The check of a configuration before it is published.

use std::sync::Arc;
use std::time::Duration;

use comfreyroad_router::configuration::check::{changes, findings, superseded};
use comfreyroad_router::configuration::{
    Configuration, Customer, Idempotency, Route, Service, Split, Warmup,
};

fn route(id: &str, prefix: &str) -> Route {
    Route {
        id: id.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
        idempotency: Idempotency::Resumable,
        is_streaming: true,
        is_public: false,
        split: Split::single("pool".into()),
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_secs(1),
        max_event_gap: Some(Duration::from_secs(1)),
        priority: 0,
        max_attempts: 3,
        models: vec!["small".into(), "large".into()],
    }
}

fn service(id: &str) -> (Arc<str>, Arc<Service>) {
    let service = Service {
        id: id.into(),
        max_connections: 8,
        warmup: Warmup {
            requests_per_second: 2.0,
        },
    };
    (id.into(), Arc::new(service))
}

fn customer(id: &str, keys: &[&str]) -> Customer {
    Customer {
        id: id.into(),
        api_keys: keys.iter().map(|key| (*key).into()).collect(),
        priority: None,
    }
}

fn sound() -> Configuration {
    Configuration {
        generation: 4,
        routes: vec![Arc::new(route("a", "/a/")), Arc::new(route("ab", "/a/b/"))],
        services: [service("pool")].into(),
        customers: Some(vec![customer("x", &["k1", "k2"])]),
        ..Configuration::default()
    }
}

fn texts(configuration: &Configuration) -> Vec<String> {
    findings(configuration)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// The findings of a sound configuration whose first route is changed.
fn of_route(change: impl FnOnce(&mut Route)) -> Vec<String> {
    let mut configuration = sound();
    change(Arc::make_mut(&mut configuration.routes[0]));
    let texts = texts(&configuration).into_iter();
    texts
        .map(|text| text.replace(": route 1 `a`", ""))
        .collect()
}

#[test]
fn of_two_equal_routes_the_one_that_the_lookup_passes_over_is_found() {
    let mut configuration = sound();
    let mut twin = route("a", "/a/");
    twin.host = "H.example".into();
    configuration.routes.push(Arc::new(twin));
    let matched = configuration.route("h.example", "/a/x").unwrap();
    assert!(Arc::ptr_eq(matched, &configuration.routes[2]));
    let expected = [
        "error: route 1 `a`: never matches, as route 3 `a` has the same host and path prefix",
        "error: route 3 `a`: another route has this name",
    ];
    assert_eq!(texts(&configuration), expected);
}

#[test]
fn routes_that_cannot_be_served_are_errors() {
    let prefix = of_route(|route| route.prefix = "/a".into());
    assert_eq!(
        prefix,
        ["error: path prefix `/a` does not begin and end with a slash"]
    );
    let weights = [("gone".into(), 1), ("pool".into(), 1), ("pool".into(), 2)];
    let split = of_route(|route| route.split = Split::new(weights));
    assert_eq!(
        split,
        [
            "error: service `gone` does not exist",
            "warning: service `pool` is listed twice"
        ]
    );
    let empty = of_route(|route| route.split = Split::new([("pool".into(), 0)]));
    assert_eq!(empty, ["error: no service with a weight above 0"]);
    let models = of_route(|route| route.models = vec!["m".into(), " ".into(), "m".into()]);
    assert_eq!(
        models,
        [
            "error: model 2 has no name",
            "warning: model `m` is listed twice"
        ]
    );
    let timeout = of_route(|route| route.timeout = Duration::ZERO);
    assert_eq!(
        timeout,
        ["error: the timeout is 0, so no request can be answered"]
    );
}

#[test]
fn times_and_attempts_that_contradict_each_other_are_warnings() {
    let late = of_route(|route| route.timeout = Duration::from_millis(900));
    let expected = [
        "warning: the latency objective, 1s, exceeds the timeout, 900ms",
        "warning: the event gap, 1s, exceeds the timeout, 900ms",
    ];
    assert_eq!(late, expected);
    let equal = of_route(|route| route.timeout = Duration::from_secs(1));
    assert!(equal.is_empty(), "{equal:?}");
    let plain = of_route(|route| route.is_streaming = false);
    assert_eq!(
        plain,
        ["warning: the event gap has no effect, as answers are not streams"]
    );
    let once = of_route(|route| route.idempotency = Idempotency::Once);
    assert!(once[0].starts_with("warning: 3 attempts are allowed, but requests run at most once"));
    assert_eq!(of_route(|route| route.max_attempts = 0).len(), 1);
}

#[test]
fn services_customers_and_limits_are_checked() {
    let mut configuration = sound();
    configuration.services.extend([service("idle")]);
    let mut pool = service("pool").1;
    Arc::make_mut(&mut pool).max_connections = 0;
    configuration.services.insert("pool".into(), pool);
    let customers = [
        customer("x", &["k1", "k1"]),
        customer("y", &["k1"]),
        customer("y", &[]),
    ];
    configuration.customers = Some(customers.into());
    configuration.limits.max_header_bytes = 0;
    configuration.limits.idle_timeout = Duration::from_secs(2);
    let expected = [
        "error: service 1 `pool`: upstreams must allow at least 1 connection",
        "warning: service 2 `idle`: no route sends requests to it",
        "warning: customer 1 `x`: API key 2 is listed twice",
        "error: customer 2 `y`: API key 1 belongs to customer 1 `x` too, which its requests count for",
        "error: customer 3 `y`: another customer has this name",
        "warning: customer 3 `y`: it has no API key, so it can use public routes only",
        "error: limits: the limit on header bytes is 0",
        "warning: limits: the idle timeout, 2s, is shorter than the header timeout, 5s",
    ];
    assert_eq!(texts(&configuration), expected);
}

#[test]
fn changes_name_entries_and_fields_but_no_keys() {
    let (old, mut new) = (sound(), sound());
    new.generation = 5;
    new.routes = vec![Arc::new(route("new", "/n/")), Arc::new(route("a", "/a/"))];
    let changed = Arc::make_mut(&mut new.routes[1]);
    changed.timeout = Duration::from_millis(5500);
    changed.split = Split::new([("pool".into(), 9), ("next".into(), 1)]);
    new.services.extend([service("next")]);
    new.customers = Some(vec![customer("x", &["k2", "k3", "k4"])]);
    new.limits.max_body_bytes = 1;
    let texts: Vec<String> = changes(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "configuration: generation: 4 -> 5",
        "route 1 `new`: added",
        "route 2 `a`: services: pool 1 -> pool 9, next 1",
        "route 2 `a`: timeout: 5s -> 5.5s",
        "route 2 `ab`: removed",
        "service 2 `next`: added",
        "customer 1 `x`: API keys: 2 -> 3 (2 added, 1 removed)",
        "limits: body bytes: 4194304 -> 1",
    ];
    assert_eq!(texts, expected);
    assert!(changes(&old, &old).is_empty());
    assert_eq!(superseded(&new, &old), None);
    assert!(superseded(&old, &old).unwrap().is_error());
}
