//! Shares of customers, at an entry alone and over the fleet.

use std::sync::Arc;
use std::time::Duration;

use comfreyroad_router::Request;
use comfreyroad_router::configuration::{Configuration, Customer};
use comfreyroad_router::controller::shares::Standing;
use comfreyroad_router::filter::place::Backpressure;
use comfreyroad_router::frame::{Frame, LoadReport, PoolUsage, ZoneUsage};
use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::refusal::{Code, Ran};
use comfreyroad_router::request::Sent;
use comfreyroad_router::{Action, Refusal};

use super::rig::{MS, Rig, SECOND, configuration, frame, head, peer};
use super::upstreams::upstream;

/// Slots of each of the two upstreams.
const SLOTS: u32 = 64;
/// Requests of all entries together that an upstream without room has.
const FULL: u32 = 70;

/// A configuration with customers that own a key of the same name, and with few connections to each upstream.
fn customers(generation: u64, names: &[&str]) -> Content {
    let customer = |name: &&str| Customer {
        id: (*name).into(),
        api_keys: vec![(*name).into()],
        priority: None,
    };
    let mut changed: Configuration = configuration(generation);
    changed.customers = Some(names.iter().map(customer).collect());
    let service = changed.services.get_mut("pool").expect("the pool exists");
    Arc::make_mut(service).max_connections = 30;
    Content::Configuration(Arc::new(changed))
}

/// An entry with the customers `large`, `small` and `other`.
fn serving() -> Rig {
    let mut rig = Rig::serving("e1");
    rig.read(
        Topic::Operator,
        "config",
        customers(2, &["large", "small", "other"]),
    );
    for name in ["u1", "u2"] {
        let engine = upstream(|it| {
            it.models = vec!["small".into(), "large".into()];
            it.sequence = 2;
        });
        rig.read(Topic::Upstreams, name, engine);
    }
    // Another entry is known, so that this one may use half of the connections but for a reserve.
    rig.receive(frame("e2"));
    rig
}

/// A peer's frame that reports the load of both upstreams.
fn load(requests: u32) -> Frame {
    let report = |upstream: &str| LoadReport {
        upstream: upstream.into(),
        incarnation: 1,
        running: requests.min(SLOTS),
        waiting: requests.saturating_sub(SLOTS),
        slots: SLOTS,
        work_time_percent: 100,
        pace: None,
        age: Duration::ZERO,
    };
    let mut incoming = frame("e2");
    incoming.loads = ["u1", "u2"].map(report).to_vec();
    incoming
}

/// Lets time pass while the upstreams have a given load.
fn run(rig: &mut Rig, time: Duration, requests: u32) {
    for _ in 0..time.as_millis() / 100 {
        rig.receive(load(requests));
        rig.run_for(100 * MS);
    }
}

fn of(rig: &Rig, customer: &str, id: &str) -> comfreyroad_router::request::Head {
    let mut head = head(rig.now, "again", id);
    head.key = Some(customer.into());
    head
}

fn send(rig: &mut Rig, customer: &str, count: usize) -> Vec<Request<Sent>> {
    let sent = |number| {
        let head = of(rig, customer, &format!("{customer}{number}"));
        rig.send(head).expect("a slot is free")
    };
    (0..count).map(sent).collect()
}

fn standing(rig: &Rig, customer: &str) -> Standing {
    let shares = &rig.router.state().shares;
    let (pool, customer) = ("pool".into(), customer.into());
    shares.standing(rig.now.instant, &pool, Some(&customer))
}

/// An entry of whose 20 connections `large` uses 18 and `small` 2, while the upstreams have no room.
fn crowded() -> (Rig, Vec<Request<Sent>>) {
    let mut rig = serving();
    let mut sent = send(&mut rig, "large", 18);
    sent.extend(send(&mut rig, "small", 2));
    run(&mut rig, 4 * SECOND, FULL);
    (rig, sent)
}

/// Usage of the pool in slots, as a peer reports it.
fn usage(largest: &[(&str, u32)]) -> PoolUsage {
    let slots = |(name, slots): &(&str, u32)| ((*name).into(), slots * 10);
    PoolUsage {
        pool: "pool".into(),
        largest: largest.iter().map(slots).collect(),
        rest: 0,
    }
}

fn zone(name: &str, largest: &[(&str, u32)], age: Duration) -> Frame {
    let mut incoming = frame("e2");
    incoming.zone_usage.push(ZoneUsage {
        zone: name.into(),
        entries: 8,
        age,
        pools: vec![usage(largest)],
    });
    incoming
}

/// The frame that an entry sends a peer.
fn outgoing(rig: &mut Rig) -> Frame {
    let now = rig.now;
    rig.router.exchange(now, frame("e2")).0
}

fn refusal(rig: &mut Rig, customer: &str, id: &str) -> Option<Refusal> {
    let head = of(rig, customer, id);
    let planned = rig.admit(head).expect("the request is admitted");
    match rig.router.place(rig.now, planned) {
        Err(Backpressure::Refuse(refusal)) => Some(refusal),
        Err(Backpressure::Wait(..)) => None,
        Ok(_) => panic!("no slot is free"),
    }
}

#[test]
fn a_customer_that_fills_a_pool_is_beyond_its_share_until_room_is_back() {
    let (mut rig, _sent) = crowded();
    assert_eq!(standing(&rig, "large"), Standing::Beyond);
    assert_eq!(standing(&rig, "small"), Standing::Within);
    run(&mut rig, 500 * MS, SLOTS / 2);
    assert_eq!(standing(&rig, "large"), Standing::Within);
    let logged = |number| {
        let is_it = |it: &&Action| matches!(it, Action::Note(note) if note.kind.number == number);
        rig.actions.iter().filter(is_it).count()
    };
    assert_eq!((logged(1801), logged(1802)), (1, 1));
}

#[test]
fn a_customer_is_within_its_share_alone_or_with_few_requests_or_once_they_have_ended() {
    for (large, small) in [(20, 0), (4, 1)] {
        let mut rig = serving();
        let _large = send(&mut rig, "large", large);
        let _small = send(&mut rig, "small", small);
        run(&mut rig, 4 * SECOND, 2 * FULL);
        assert_eq!(standing(&rig, "large"), Standing::Within);
    }
    let (mut rig, mut sent) = crowded();
    sent.drain(..18);
    run(&mut rig, 5 * SECOND, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Within);
}

#[test]
fn a_request_beyond_the_share_is_less_urgent_and_is_refused_instead_of_waiting() {
    let (mut rig, _sent) = crowded();
    let large = of(&rig, "large", "a");
    let small = of(&rig, "small", "b");
    let priority = |rig: &mut Rig, head| rig.admit(head).unwrap().stage().plan.priority;
    assert_eq!(priority(&mut rig, large), priority(&mut rig, small) + 2);
    assert!(refusal(&mut rig, "small", "c").is_none());
    let mut times: Vec<Duration> = Vec::new();
    for number in 0..200 {
        let refusal = refusal(&mut rig, "large", &format!("r{number}")).expect("it is refused");
        assert_eq!(
            (refusal.code(), refusal.ran()),
            (Code::BeyondShare, Ran::No)
        );
        times.push(refusal.retry_after().expect("a time to return"));
    }
    // Callers return when the share is expected to have room, and not all at once.
    times.sort_unstable();
    let (first, last) = (times[0], times[199]);
    assert!(first >= 200 * MS && last <= 5 * SECOND, "{times:?}");
    assert!(last - first >= first / 2, "{times:?}");
    // Those that came back at once have gained nothing and cost the others nothing.
    run(&mut rig, SECOND, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Beyond);
    assert_eq!(standing(&rig, "small"), Standing::Within);
}

#[test]
fn an_entry_that_joins_calls_nobody_beyond_until_it_hears_from_the_zones() {
    let mut rig = serving();
    run(&mut rig, SECOND, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Within);
    rig.receive(zone("b", &[("large", 90), ("small", 10)], Duration::ZERO));
    run(&mut rig, 200 * MS, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Beyond);
    assert_eq!(standing(&rig, "small"), Standing::Within);
}

#[test]
fn an_entry_whose_peers_fall_silent_goes_by_its_own_counts() {
    let mut rig = serving();
    let _sent = send(&mut rig, "other", 12);
    let _small = send(&mut rig, "small", 2);
    rig.receive(zone("b", &[("large", 90), ("other", 2)], Duration::ZERO));
    run(&mut rig, SECOND, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Beyond);
    assert_eq!(standing(&rig, "other"), Standing::Within);
    run(&mut rig, 6 * SECOND, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Within);
    assert_eq!(standing(&rig, "other"), Standing::Beyond);
}

#[test]
fn reports_that_are_stale_absurd_or_of_unknown_customers_make_nobody_beyond() {
    let mut rig = serving();
    let _sent = send(&mut rig, "small", 2);
    rig.receive(zone("b", &[("large", 90), ("small", 10)], 6 * SECOND));
    rig.receive(zone(
        "c",
        &[("large", 400_000_000), ("small", 10)],
        Duration::ZERO,
    ));
    rig.receive(zone("d", &[("stranger", 90)], Duration::ZERO));
    rig.receive(zone("e", &[("large", 90)], Duration::MAX));
    let long = [("large", 1); 97];
    rig.receive(zone("f", &long, Duration::ZERO));
    run(&mut rig, SECOND, FULL);
    for customer in ["large", "small", "stranger"] {
        assert_eq!(standing(&rig, customer), Standing::Within, "{customer}");
    }
}

#[test]
fn a_customer_that_is_removed_is_forgotten() {
    let (mut rig, _sent) = crowded();
    rig.read(Topic::Operator, "config", customers(3, &["small", "other"]));
    run(&mut rig, SECOND, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Within);
    let named = outgoing(&mut rig)
        .usage
        .into_iter()
        .flat_map(|it| it.largest);
    assert_eq!(
        named.map(|(name, _)| name.to_string()).collect::<Vec<_>>(),
        ["small"]
    );
}

#[test]
fn a_relay_sums_the_entries_of_its_zone_and_passes_on_other_zones() {
    let mut rig = serving();
    let _sent = send(&mut rig, "large", 10);
    for name in ["e3", "e4"] {
        let mut near = frame(name);
        near.sender = peer(name, "a");
        near.usage.push(usage(&[("large", 5), ("small", 2)]));
        rig.receive(near);
    }
    rig.receive(zone("b", &[("other", 7)], 300 * MS));
    run(&mut rig, 4 * SECOND, SLOTS);
    let sums = outgoing(&mut rig).zone_usage;
    let sum = |name: &str| sums.iter().find(|it| &*it.zone == name).expect("a sum");
    assert_eq!(sum("b").pools, [usage(&[("other", 7)])]);
    assert!(sum("b").age >= 4 * SECOND);
    assert_eq!(sum("a").entries, 3);
    let (large, small) = (&sum("a").pools[0].largest[0], &sum("a").pools[0].largest[1]);
    assert!(
        &*large.0 == "large" && (180..=200).contains(&large.1),
        "{large:?}"
    );
    assert_eq!(*small, ("small".into(), 40));
}

/// A relay that has just started sums few entries.
#[test]
fn a_newer_sum_of_fewer_entries_counts_only_once_the_other_one_has_aged() {
    let mut rig = serving();
    let all = zone("b", &[("large", 90), ("small", 10)], Duration::ZERO);
    let mut few = zone("b", &[("other", 1)], Duration::ZERO);
    few.zone_usage[0].entries = 1;
    rig.receive(all);
    run(&mut rig, SECOND, FULL);
    rig.receive(few.clone());
    run(&mut rig, 100 * MS, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Beyond);
    run(&mut rig, 500 * MS, FULL);
    rig.receive(few);
    run(&mut rig, 100 * MS, FULL);
    assert_eq!(standing(&rig, "large"), Standing::Within);
}

/// Nine zones and two pools with a hundred customers each.
#[test]
fn the_customers_that_a_frame_lists_are_bounded() {
    let mut rig = Rig::serving("e1");
    let names: Vec<String> = (0..100).map(|number| format!("customer{number}")).collect();
    let names: Vec<&str> = names.iter().map(|it| &**it).collect();
    rig.read(Topic::Operator, "config", customers(2, &names));
    for zone in "bcdefghi".chars() {
        let mut far = frame(&format!("far{zone}"));
        far.sender.zone = zone.to_string().into();
        rig.receive(far);
    }
    let mut near = frame("near");
    near.sender = peer("near", "a");
    for pool in ["pool", "pool2"] {
        let largest = names.iter().take(40);
        let largest = largest.map(|name| ((*name).into(), 10)).collect();
        let pool = pool.into();
        near.usage.push(PoolUsage {
            pool,
            largest,
            rest: 600,
        });
    }
    rig.receive(near);
    rig.run_for(SECOND);
    let sums = outgoing(&mut rig).zone_usage;
    let listed = |it: &PoolUsage| it.largest.len();
    let sum = sums
        .iter()
        .find(|it| &*it.zone == "a")
        .expect("the own sum");
    assert!(
        sum.pools.iter().map(listed).sum::<usize>() * 10 <= 96,
        "{sum:?}"
    );
    assert_eq!(
        sum.pools[0].rest + 10 * sum.pools[0].largest.len() as u32,
        1000
    );
}
