use comfreyroad_router::Event;
use comfreyroad_router::answer::Completion;
use comfreyroad_router::answer::Fault;
use comfreyroad_router::frame::Frame;
use comfreyroad_router::record::{Content, Record, Topic};
use comfreyroad_router::upstream::Stage;
use std::time::Duration;

use super::rig::{MS, Rig, SECOND, frame, good_answer, head, prompt, registration};

pub(super) fn upstream(
    change: impl Fn(&mut comfreyroad_router::upstream::Registration),
) -> Content {
    let mut registration = registration("v1");
    change(&mut registration);
    Content::Upstream(Box::new(registration))
}

/// The upstreams that receive at least one of 40 requests.
fn used(rig: &mut Rig) -> Vec<String> {
    let mut used = Vec::new();
    for number in 0..40 {
        let head = head(rig.now, "again", &format!("r{number}"));
        if let Some(placed) = rig.place(head) {
            used.push(placed.stage().slot.upstream.to_string());
        }
    }
    used.sort();
    used.dedup();
    used
}

pub(super) fn lose_store(rig: &mut Rig) {
    rig.run_for(SECOND);
    let call = rig.pending_call(Topic::Upstreams).unwrap();
    rig.raise(Event::StoreFailed(Topic::Upstreams, call));
}

#[test]
fn requests_are_spread_over_all_ready_upstreams() {
    let mut rig = Rig::serving("e1");
    let held: Vec<_> = (0..8)
        .filter_map(|n| rig.place(head(rig.now, "again", &format!("{n}"))))
        .collect();
    let mut names: Vec<_> = held
        .iter()
        .map(|it| it.stage().slot.upstream.clone())
        .collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 2);
}

#[test]
fn a_draining_or_removed_upstream_receives_no_requests() {
    let mut rig = Rig::serving("e1");
    rig.read(
        Topic::Upstreams,
        "u1",
        upstream(|it| {
            it.stage = Stage::Draining;
            it.sequence = 2;
        }),
    );
    assert_eq!(used(&mut rig), ["u2"]);
    rig.read(Topic::Upstreams, "u2", Content::Removed);
    assert!(used(&mut rig).is_empty());
}

#[test]
fn an_unreadable_record_removes_its_upstream() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Upstreams, "u1", Content::Unreadable);
    assert_eq!(used(&mut rig), ["u2"]);
}

#[test]
fn a_late_registration_is_ignored() {
    let mut rig = Rig::serving("e1");
    rig.read(
        Topic::Upstreams,
        "u1",
        upstream(|it| {
            it.stage = Stage::Draining;
            it.sequence = 9;
        }),
    );
    rig.read(Topic::Upstreams, "u1", upstream(|it| it.sequence = 8));
    assert_eq!(used(&mut rig), ["u2"]);
    rig.read(Topic::Upstreams, "u1", Content::Removed);
    rig.read(Topic::Upstreams, "u1", upstream(|it| it.sequence = 9));
    assert_eq!(used(&mut rig), ["u2"]);
    // After a restart of the upstream the sequence starts over.
    rig.read(
        Topic::Upstreams,
        "u1",
        upstream(|it| {
            it.incarnation = 2;
            it.sequence = 1;
        }),
    );
    assert!(used(&mut rig).contains(&"u1".to_owned()));
}

#[test]
fn registrations_that_lapse_during_an_outage_hold_until_two_seconds_after_it() {
    let mut rig = Rig::serving("e1");
    lose_store(&mut rig);
    rig.read(Topic::Upstreams, "u1", Content::Removed);
    assert!(used(&mut rig).contains(&"u1".to_owned()) || !used(&mut rig).is_empty());
    let has = |rig: &Rig| rig.router.state().upstreams.all().any(|it| &*it.id == "u1");
    assert!(has(&rig));
    rig.run_for(2 * SECOND);
    assert!(has(&rig), "the grace period is not over");
    rig.run_for(SECOND);
    assert!(!has(&rig), "the upstream is removed after the grace period");
}

#[test]
fn an_evacuated_zone_receives_no_requests_until_it_is_restored() {
    let mut rig = Rig::serving("e1");
    rig.read(
        Topic::Upstreams,
        "u2",
        upstream(|it| {
            it.zone = "b".into();
            it.sequence = 2;
        }),
    );
    rig.read(
        Topic::Operator,
        "evacuate/b",
        Content::Evacuation("b".into()),
    );
    assert_eq!(used(&mut rig), ["u1"]);
    rig.read(Topic::Upstreams, "u1", Content::Removed);
    assert!(used(&mut rig).is_empty());
    rig.read(Topic::Operator, "evacuate/b", Content::Removed);
    assert_eq!(used(&mut rig), ["u2"]);
}

#[test]
fn an_upstream_that_fails_repeatedly_is_ejected() {
    let mut rig = Rig::serving("e1");
    for number in 0..40 {
        let Some(sent) = rig.send(head(rig.now, "once", &format!("r{number}"))) else {
            continue;
        };
        if &*sent.stage().slot.upstream == "u1" {
            let _ = rig.router.on_failed(rig.now, sent, Fault::Broken);
        } else {
            let completion = Completion {
                is_success: true,
                events: 0,
                first_event_after: None,
                service_time: Some(20 * MS),
            };
            rig.router.on_finished(rig.now, &sent, completion);
        }
    }
    assert_eq!(used(&mut rig), ["u2"]);
}

#[test]
fn prompts_with_a_shared_prefix_go_to_one_upstream_while_it_is_idle() {
    let mut rig = Rig::serving("e1");
    let mut names = Vec::new();
    for number in 0..20 {
        let mut head = head(rig.now, "stream", &format!("r{number}"));
        head.prompt = prompt(&[("all", 500), ("book", 4000), (&format!("own{number}"), 300)]);
        let mut sent = rig.send(head).unwrap();
        let answer = good_answer(&sent);
        rig.router.judge_answer(rig.now, &sent, &answer);
        rig.router.on_first_event(rig.now, &mut sent);
        names.push(sent.stage().slot.upstream.clone());
    }
    names.dedup();
    assert_eq!(names.len(), 1);
}

#[test]
fn a_prompt_does_not_wait_behind_a_long_prefill() {
    let mut rig = Rig::serving("e1");
    let mut long = head(rig.now, "stream", "long");
    long.prompt = prompt(&[("book", 100), ("own", 50_000)]);
    let long = rig.send(long).unwrap();
    let mut short = head(rig.now, "stream", "short");
    short.prompt = prompt(&[("book", 100), ("own2", 300)]);
    let short = rig.send(short).unwrap();
    assert_ne!(short.stage().slot.upstream, long.stage().slot.upstream);
}

#[test]
fn an_entry_uses_only_its_share_of_the_connections() {
    let mut rig = Rig::serving("e1");
    let mut held = Vec::new();
    while let Some(placed) = rig.place(head(rig.now, "again", &format!("r{}", held.len()))) {
        held.push(placed);
        assert!(held.len() <= 720);
    }
    // An entry that knows no other assumes three entries in its zone and reserves a share for one more: 360 / 4
    // connections at each of the two upstreams.
    assert_eq!(held.len(), 180);
    drop(held);
    assert!(rig.place(head(rig.now, "again", "last")).is_some());
}

/// A peer's frame with the removal of upstream `u1`.
pub(super) fn removal(
    rig: &Rig,
    store_answer_age: Duration,
    registration_grace: Duration,
) -> Frame {
    let mut incoming = frame("e2");
    incoming.store_answer_age = Some(store_answer_age);
    incoming.registration_grace = registration_grace;
    let record = Record {
        offset: rig.offset + 1,
        key: "u1".into(),
        content: Content::Removed,
    };
    incoming.records.push((Topic::Upstreams, record));
    incoming
        .complete_up_to
        .insert(Topic::Upstreams, rig.offset + 2);
    incoming
}

/// Regression (scenario scale-2 of the larger Tahtiaskel deployment): the store rejected a third of the entries and
/// served the others. An entry without the store took the removal of an engine for a lapse caused by an outage, and sent
/// a request to it 3.2 s after it had left.
#[test]
fn a_removal_read_by_a_peer_is_final_while_the_store_rejects_only_this_entry() {
    let mut rig = Rig::serving("e1");
    lose_store(&mut rig);
    rig.run_for(SECOND);
    rig.receive(removal(&rig, 100 * MS, Duration::ZERO));
    assert!(!used(&mut rig).contains(&"u1".to_owned()));
}

#[test]
fn a_peer_s_store_answer_from_before_the_outage_does_not_make_a_removal_final() {
    let mut rig = Rig::serving("e1");
    lose_store(&mut rig);
    rig.run_for(500 * MS);
    rig.receive(removal(&rig, 2 * SECOND, Duration::ZERO));
    assert!(used(&mut rig).contains(&"u1".to_owned()));
}

#[test]
fn a_removal_read_by_a_peer_just_after_an_outage_may_be_a_lapse() {
    let mut rig = Rig::serving("e1");
    lose_store(&mut rig);
    rig.run_for(4 * SECOND);
    rig.receive(removal(&rig, Duration::ZERO, 2 * SECOND));
    assert!(used(&mut rig).contains(&"u1".to_owned()));
    rig.run_for(3 * SECOND);
    assert!(!used(&mut rig).contains(&"u1".to_owned()));
}

/// A removal was read by a peer just before the store started to reject this entry, and arrived just after: it was taken for a
/// lapse and held for the whole grace period, though the store went on to answer the peer.
#[test]
fn a_removal_is_final_once_a_peer_shows_that_the_store_has_not_gone_down() {
    let mut rig = Rig::serving("e1");
    lose_store(&mut rig);
    rig.run_for(100 * MS);
    rig.receive(removal(&rig, 500 * MS, Duration::ZERO));
    rig.run_for(400 * MS);
    let mut later = frame("e2");
    later.store_answer_age = Some(100 * MS);
    rig.receive(later);
    assert!(!used(&mut rig).contains(&"u1".to_owned()));
}

#[test]
fn the_registrations_of_all_upstreams_share_their_names() {
    let mut rig = Rig::serving("e1");
    for id in ["u1", "u2"] {
        let separate = |name: &std::sync::Arc<str>| std::sync::Arc::from(&**name);
        let content = upstream(|it| it.pool = separate(&it.pool));
        rig.read(Topic::Upstreams, id, content);
    }
    let upstreams = &rig.router.state().upstreams;
    let mut pools = upstreams.all().map(|it| &it.registration.pool);
    let first = pools.next().unwrap();
    assert!(pools.all(|it| std::sync::Arc::ptr_eq(first, it)));
}
