use comfreyroad_router::record::{Content, Record, Topic};
use comfreyroad_router::{Action, Event};

use super::rig::{MS, Rig, SECOND, configuration_content, frame};

fn generation(rig: &Rig) -> Option<u64> {
    let active = rig.router.state().configuration.active();
    active.map(|it| it.generation)
}

/// Regression (mix --seed 83371403022): a read on a silent connection ended only at its timeout, seconds after the store
/// had recovered, and an old configuration stayed active.
#[test]
fn all_calls_restart_when_the_store_recovers() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    let (upstreams, operator) = (
        rig.pending_call(Topic::Upstreams).unwrap(),
        rig.pending_call(Topic::Operator).unwrap(),
    );
    rig.raise(Event::StoreFailed(Topic::Upstreams, upstreams));
    rig.run_for(SECOND);
    let upstreams = rig.pending_call(Topic::Upstreams).unwrap();
    rig.raise(Event::TopicRead {
        topic: Topic::Upstreams,
        call: upstreams,
        records: Vec::new(),
        next: rig.offset + 1,
    });
    rig.actions.clear();
    rig.run_for(200 * MS);
    let again = rig
        .pending_call(Topic::Operator)
        .expect("the operators' topic is read again");
    assert_ne!(again, operator);
    assert!(
        rig.router
            .state()
            .subscriptions
            .next_offset(Topic::Operator)
            .is_some()
    );
}

#[test]
fn the_failure_of_an_abandoned_call_is_ignored() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    let old = rig.pending_call(Topic::Operator).unwrap();
    rig.raise(Event::ProcessPaused);
    rig.run_for(200 * MS);
    rig.raise(Event::StoreFailed(Topic::Operator, old));
    assert!(!rig.router.state().subscriptions.is_store_lost());
}

#[test]
fn all_calls_restart_on_new_connections_after_a_pause() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    rig.actions.clear();
    rig.raise(Event::ProcessPaused);
    assert!(rig.actions.iter().any(|it| matches!(it, Action::Reconnect)));
    rig.run_for(200 * MS);
    for topic in [Topic::Operator, Topic::Upstreams, Topic::Status] {
        assert!(rig.pending_call(topic).is_some(), "{topic:?}");
    }
}

#[test]
fn the_active_configuration_never_gets_older() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Operator, "config", configuration_content(5));
    assert_eq!(generation(&rig), Some(5));
    rig.read(Topic::Operator, "config", configuration_content(4));
    assert_eq!(generation(&rig), Some(5));
}

#[test]
fn records_from_a_peer_count_like_those_from_the_store() {
    let mut rig = Rig::empty("e1");
    let mut incoming = frame("e2");
    let record = Record {
        offset: 9,
        key: "config".into(),
        content: configuration_content(3),
    };
    incoming.records.push((Topic::Operator, record));
    incoming.complete_up_to.insert(Topic::Operator, 10);
    rig.receive(incoming);
    assert_eq!(generation(&rig), Some(3));
    assert_eq!(
        rig.router
            .state()
            .subscriptions
            .next_offset(Topic::Operator),
        Some(10)
    );
}

#[test]
fn a_peer_receives_only_the_records_that_it_lacks() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    let mut query = frame("e2");
    query.next_offsets.insert(Topic::Operator, 0);
    query.next_offsets.insert(Topic::Upstreams, rig.offset + 1);
    let (answer, _) = rig.router.exchange(rig.now, query);
    let topics: Vec<Topic> = answer.records.iter().map(|(topic, _)| *topic).collect();
    assert_eq!(topics, [Topic::Operator]);
    assert!(answer.complete_up_to.contains_key(&Topic::Operator));
    assert!(!answer.complete_up_to.contains_key(&Topic::Upstreams));
}

#[test]
fn keys_missing_from_a_new_listing_are_removed() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    let call = rig.pending_call(Topic::Upstreams).unwrap();
    rig.raise(Event::RecordsExpired(Topic::Upstreams, call));
    let upstream = Content::Upstream(Box::new(super::rig::registration("v1")));
    rig.list(Topic::Upstreams, vec![("u2", upstream)]);
    let known: Vec<String> = rig
        .router
        .state()
        .upstreams
        .all()
        .map(|it| it.id.to_string())
        .collect();
    assert_eq!(known, ["u2"]);
}

#[test]
fn upstreams_are_read_once_per_second_and_each_topic_has_one_active_call() {
    let mut rig = Rig::serving("e1");
    rig.actions.clear();
    for _ in 0..50 {
        rig.read(Topic::Upstreams, "u1", Content::Unreadable);
    }
    let reads = |topic: Topic| {
        let is_read =
            |it: &&Action| matches!(it, Action::Read { topic: read, .. } if *read == topic);
        rig.actions.iter().filter(is_read).count()
    };
    // 50 rounds of one second each.
    assert!(reads(Topic::Upstreams) <= 56, "{}", reads(Topic::Upstreams));
    assert!(
        reads(Topic::Operator) <= 1,
        "the active read was not answered"
    );
}

#[test]
fn an_entry_registers_once_and_retries_after_a_failure() {
    let mut rig = Rig::empty("e1");
    let writes = |rig: &Rig| {
        let is_write = |it: &&Action| {
            matches!(
                it,
                Action::Write {
                    topic: Topic::Entries,
                    ..
                }
            )
        };
        rig.actions.iter().filter(is_write).count()
    };
    rig.run_for(5 * SECOND);
    assert_eq!(writes(&rig), 1);
    rig.raise(Event::WriteFailed(Topic::Entries));
    rig.run_for(3 * SECOND);
    assert_eq!(writes(&rig), 2);
}

#[test]
fn a_first_listing_is_retried_with_a_short_backoff() {
    let mut rig = Rig::empty("e1");
    let mut calls = 0;
    for _ in 0..100 {
        if let Some(call) = rig.pending_call(Topic::Operator) {
            calls += 1;
            rig.actions.clear();
            rig.raise(Event::StoreFailed(Topic::Operator, call));
        }
        rig.run_for(100 * MS);
    }
    // Over 10 s, with a backoff of at most 0.25 s before the first listing.
    assert!((25..=50).contains(&calls), "{calls} calls in 10 s");
}
