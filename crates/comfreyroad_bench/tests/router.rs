//! Tests of the baseline router's policies and of the ratios in the tables.

use std::time::SystemTime;

use comfreyroad::record::Record;
use comfreyroad_bench::measure::Series;
use comfreyroad_bench::router::{Call, Policy, State};
use comfreyroad_wire::engine::Load;
use comfreyroad_wire::platform::{Kind, State as Presence, Vm};

const RULES: &str = include_str!("../../../examples/inkwell.rules");

fn engine(number: u16, zone: &str) -> Vm {
    Vm {
        id: format!("eng-{number}"),
        kind: Kind::Upstream,
        pool: "drafting".to_owned(),
        zone: zone.to_owned(),
        address: format!("127.0.0.1:{number}"),
        state: Presence::Live,
    }
}

fn state(rules: &str) -> State {
    let mut state = State::new(1);
    let publish = Record::Publish {
        by: "ada".into(),
        after: 0,
        text: rules.into(),
    };
    state.history.feed(0, SystemTime::UNIX_EPOCH, &publish);
    state.vms = vec![engine(1, "mbj-a"), engine(2, "mbj-b"), engine(3, "mbj-b")];
    for (number, running) in [(1, 5), (2, 1), (3, 4)] {
        let versions = ["quill@1", "brush@3", "brush@4", "easel@2"].map(str::to_owned);
        let load = Load {
            running,
            slots: 8,
            versions: versions.to_vec(),
            ..Load::default()
        };
        state.record_load(format!("eng-{number}"), load);
    }
    state
}

fn key(customer: &str) -> [u8; 32] {
    *blake3::hash(format!("key-{customer}").as_bytes()).as_bytes()
}

fn ports(state: &mut State, policy: Policy, count: usize) -> Vec<u16> {
    let mut select = || state.select(policy, &key("stpeters"), Call::Chat("sheet"));
    (0..count)
        .map(|_| select().unwrap().address.port())
        .collect()
}

#[test]
fn each_policy_takes_its_upstreams() {
    let mut in_turn = ports(&mut state(RULES), Policy::RoundRobin, 3);
    in_turn.sort_unstable();
    assert_eq!(in_turn, [1, 2, 3]);
    // Requests sent since the last report count as load.
    assert_eq!(ports(&mut state(RULES), Policy::LeastLoaded, 3), [2, 2, 2]);
}

#[test]
fn cheapest_and_dearest_stay_within_what_is_allowed() {
    let mut state = state(RULES);
    let mut version = |policy, customer: &str, requested: &str| {
        let target = state.select(policy, &key(customer), Call::Chat(requested));
        target.and_then(|target| target.version)
    };
    assert_eq!(
        version(Policy::Cheapest, "stpeters", "draft").unwrap(),
        "quill@1"
    );
    assert_eq!(
        version(Policy::Dearest, "stpeters", "draft").unwrap(),
        "easel@2"
    );
    assert_eq!(
        version(Policy::Dearest, "flying-fish", "draft").unwrap(),
        "brush@3"
    );
    assert_eq!(version(Policy::Cheapest, "nobody", "draft"), None);
    assert_eq!(version(Policy::Cheapest, "stpeters", "easel@1"), None);
}

#[test]
fn a_zone_that_is_out_gets_nothing() {
    let rules = RULES.replace(
        "zone mbj-b region=jm state=in",
        "zone mbj-b region=jm state=out",
    );
    assert_eq!(ports(&mut state(&rules), Policy::LeastLoaded, 3), [1, 1, 1]);
}

#[test]
fn ratios_pair_the_seeds() {
    let own = Series::new(vec![2.0, 6.0, 3.0]);
    let other = Series::new(vec![1.0, 2.0, 3.0]);
    assert_eq!(own.ratio(&other).summary(), "2.00 (1.00 to 3.00)");
    assert_eq!(
        Series::new(vec![0.0])
            .ratio(&Series::new(vec![0.0]))
            .median(),
        1.0
    );
    assert_eq!(Series::default().summary(), "not run");
}
