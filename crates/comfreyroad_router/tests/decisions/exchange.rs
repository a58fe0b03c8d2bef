//! Load reports and failures of engines that entries exchange.

use std::time::Duration;

use comfreyroad_router::frame::{Frame, LoadReport, Suspicion};
use comfreyroad_router::record::{Record, Topic};

use super::rig::{MS, Rig, SECOND, frame, head, prompt};
use super::upstreams::{lose_store, removal, upstream};

/// A peer's frame that reports an upstream as full, with requests waiting.
fn full(upstream: &str, age: Duration) -> Frame {
    let mut incoming = frame("e2");
    incoming.loads.push(LoadReport {
        upstream: upstream.into(),
        incarnation: 1,
        running: 64,
        waiting: 30,
        slots: 64,
        work_time_percent: 100,
        pace: None,
        age,
    });
    incoming
}

/// The upstream that serves a prompt with a shared prefix.
fn place_prompt(rig: &mut Rig) -> String {
    let mut head = head(rig.now, "stream", "r");
    head.prompt = prompt(&[("all", 500), ("book", 4000), ("own", 300)]);
    let placed = rig.place(head).unwrap();
    placed.stage().slot.upstream.to_string()
}

#[test]
fn a_prompt_avoids_an_engine_that_peers_report_as_full() {
    let mut rig = Rig::serving("e1");
    let preferred = place_prompt(&mut rig);
    rig.receive(full(&preferred, 500 * MS));
    assert_ne!(place_prompt(&mut rig), preferred);
    // The report expires.
    rig.run_for(2 * SECOND);
    assert_eq!(place_prompt(&mut rig), preferred);
}

#[test]
fn a_load_report_of_an_earlier_incarnation_or_an_older_one_is_ignored() {
    let mut rig = Rig::serving("e1");
    let preferred = place_prompt(&mut rig);
    let mut earlier = full(&preferred, 500 * MS);
    earlier.loads[0].incarnation = 0;
    rig.receive(earlier);
    let mut idle = full(&preferred, 100 * MS);
    (idle.loads[0].running, idle.loads[0].waiting) = (0, 0);
    rig.receive(idle);
    rig.receive(full(&preferred, 500 * MS));
    assert_eq!(place_prompt(&mut rig), preferred);
}

/// Lets an entry with two engines learn from a peer that the engine that serves a prompt has failed.
fn suspect_preferred(rig: &mut Rig, age: Duration) -> String {
    for name in ["u1", "u2"] {
        let engine = upstream(|it| {
            it.models = vec!["small".into(), "large".into()];
            it.sequence = 2;
        });
        rig.read(Topic::Upstreams, name, engine);
    }
    let preferred = place_prompt(rig);
    let mut incoming = frame("e2");
    incoming.suspicions.push(Suspicion {
        upstream: preferred.as_str().into(),
        incarnation: 1,
        age,
    });
    rig.receive(incoming);
    preferred
}

#[test]
fn an_engine_that_failed_a_peer_is_avoided_until_it_answers_some_entry() {
    let mut rig = Rig::serving("e1");
    let preferred = suspect_preferred(&mut rig, 500 * MS);
    assert_ne!(place_prompt(&mut rig), preferred);
    // A report from before the failure proves nothing.
    let mut idle = full(&preferred, 600 * MS);
    (idle.loads[0].running, idle.loads[0].waiting) = (0, 0);
    rig.receive(idle.clone());
    assert_ne!(place_prompt(&mut rig), preferred);
    idle.loads[0].age = 400 * MS;
    rig.receive(idle);
    assert_eq!(place_prompt(&mut rig), preferred);
}

#[test]
fn a_suspected_engine_is_tried_again_after_some_seconds() {
    let mut rig = Rig::serving("e1");
    let preferred = suspect_preferred(&mut rig, Duration::ZERO);
    rig.run_for(2 * SECOND);
    assert_ne!(place_prompt(&mut rig), preferred);
    rig.run_for(2 * SECOND);
    assert_eq!(place_prompt(&mut rig), preferred);
}

#[test]
fn suspicions_are_passed_on_with_their_age() {
    let mut rig = Rig::serving("e1");
    let preferred = suspect_preferred(&mut rig, 500 * MS);
    rig.advance(SECOND);
    let (answer, _) = rig.router.exchange(rig.now, frame("e3"));
    let expected = Suspicion {
        upstream: preferred.as_str().into(),
        incarnation: 1,
        age: 1_500 * MS,
    };
    assert_eq!(answer.suspicions, [expected]);
}

/// A frame of a peer may hold any values.
#[test]
fn extreme_values_in_a_frame_do_not_panic() {
    let mut rig = Rig::serving("e1");
    let preferred = suspect_preferred(&mut rig, Duration::MAX);
    lose_store(&mut rig);
    let mut incoming = removal(&rig, Duration::MAX, Duration::MAX);
    let report = |age| LoadReport {
        upstream: preferred.as_str().into(),
        incarnation: 1,
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
        work_time_percent: u32::MAX,
        pace: None,
        age,
    };
    incoming.loads = vec![report(Duration::MAX), report(Duration::ZERO)];
    let forever = upstream(|it| it.cold_for = Duration::MAX);
    let record = Record {
        offset: rig.offset + 2,
        key: "u9".into(),
        content: forever,
    };
    incoming.records.push((Topic::Upstreams, record));
    rig.receive(incoming);
    place_prompt(&mut rig);
    rig.run_for(SECOND);
}
