use comfreyroad_router::configuration::{Configuration, Idempotency, Split};
use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::refusal::{Code, Ran};
use std::sync::Arc;

use super::rig::{Rig, SECOND, configuration, head, prompt, route};

#[test]
fn requests_before_the_first_configuration_are_refused_as_not_ready() {
    let mut rig = Rig::empty("e1");
    let refusal = rig.admit(head(rig.now, "nowhere", "r")).unwrap_err();
    assert_eq!((refusal.code(), refusal.ran()), (Code::NotReady, Ran::No));
    assert!(refusal.retry_after().is_some());
}

#[test]
fn the_route_with_the_longest_prefix_of_the_host_matches() {
    let mut long = route("long", Idempotency::Once);
    long.prefix = "/once/deep/".into();
    let mut other = route("other", Idempotency::Once);
    other.host = "other.example".into();
    other.prefix = "/once/deep/deeper/".into();
    let mut configuration: Configuration = configuration(1);
    configuration.routes.push(Arc::new(long));
    configuration.routes.push(Arc::new(other));
    let route = |path| configuration.route("HOST.example", path).map(|it| &*it.id);
    assert_eq!(route("/once/deep/deeper/x"), Some("long"));
    assert_eq!(route("/once/deeper"), Some("once"));
    assert_eq!(route("/once"), None);
}

#[test]
fn a_key_identifies_its_customer_and_an_unknown_key_is_refused() {
    let mut rig = Rig::serving("e1");
    let known = rig.admit(head(rig.now, "once", "r")).unwrap();
    assert_eq!(known.stage().plan.customer.as_deref(), Some("customer"));
    let mut stranger = head(rig.now, "once", "r");
    stranger.key = Some("another".into());
    let refusal = rig.admit(stranger).unwrap_err();
    assert_eq!(refusal.code(), Code::UnknownKey);
}

/// Once the last customer was taken away, requests with any key ran.
#[test]
fn without_any_customer_left_no_key_is_accepted() {
    let mut rig = Rig::serving("e1");
    let mut emptied = configuration(2);
    emptied.customers = Some(Vec::new());
    rig.read(
        Topic::Operator,
        "config",
        Content::Configuration(Arc::new(emptied)),
    );
    let refusal = rig.admit(head(rig.now, "once", "r")).unwrap_err();
    assert_eq!(refusal.code(), Code::UnknownKey);
    let mut keyless = configuration(3);
    keyless.customers = None;
    rig.read(
        Topic::Operator,
        "config",
        Content::Configuration(Arc::new(keyless)),
    );
    assert!(rig.admit(head(rig.now, "once", "r")).is_ok());
}

#[test]
fn the_deadline_is_the_earlier_one_of_caller_and_route() {
    let mut rig = Rig::serving("e1");
    let mut long = head(rig.now, "once", "r");
    long.deadline = Some(rig.now.instant + 100 * SECOND);
    let planned = rig.admit(long).unwrap();
    assert_eq!(planned.stage().plan.deadline, rig.now.instant + 20 * SECOND);
    let planned = rig.admit(head(rig.now, "once", "r")).unwrap();
    assert_eq!(planned.stage().plan.deadline, rig.now.instant + 10 * SECOND);
    let mut late = head(rig.now, "once", "r");
    late.deadline = Some(rig.now.instant);
    let refusal = rig.admit(late).unwrap_err();
    assert_eq!((refusal.code(), refusal.ran()), (Code::Deadline, Ran::No));
}

#[test]
fn a_split_divides_requests_by_weight() {
    let split = Split::new([("a".into(), 90), ("b".into(), 10), ("c".into(), 0)]);
    let count = |pool: &str| {
        (0..1000)
            .filter(|point| split.pool_at(*point).unwrap().as_ref() == pool)
            .count()
    };
    assert_eq!((count("a"), count("b"), count("c")), (900, 100, 0));
    assert_eq!(Split::default().pool_at(1), None);
}

#[test]
fn longer_prompts_lower_the_priority_in_steps() {
    let mut rig = Rig::serving("e1");
    let mut rank = |tokens: u32| {
        let mut head = head(rig.now, "stream", "r");
        head.prompt = prompt(&[("own", tokens)]);
        rig.admit(head).unwrap().stage().plan.priority
    };
    let ranks = [100, 1_400, 2_000, 6_000, 50_000].map(&mut rank);
    assert_eq!(ranks, [1, 1, 3, 5, 7]);
}
