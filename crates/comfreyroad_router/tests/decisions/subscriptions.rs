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

/// Calls to the store started within a time in which each fails at once.
fn calls_during_rejection(rig: &mut Rig, seconds: u32) -> Vec<Topic> {
    let mut calls = Vec::new();
    for _ in 0..seconds * 10 {
        let actions = std::mem::take(&mut rig.actions);
        for action in actions {
            if let Action::List(topic, call) | Action::Read { topic, call, .. } = action {
                calls.push(topic);
                rig.raise(Event::StoreFailed(topic, call));
            }
        }
        rig.run_for(100 * MS);
    }
    calls
}

/// Load pattern: the store rejects a third of the entries for seconds. Each of them repeated the calls for three topics.
#[test]
fn a_store_that_rejects_calls_gets_one_probe_at_a_time_for_all_topics() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    let calls = calls_during_rejection(&mut rig, 10);
    // The calls that were active, and at most two probes per second.
    assert!(calls.len() <= 3 + 20, "{} calls in 10 s", calls.len());
    for topic in [Topic::Operator, Topic::Upstreams, Topic::Status] {
        let probes = calls.iter().filter(|it| **it == topic).count();
        assert!(probes >= 3, "{probes} of {topic:?}");
    }
}

/// One partition of the store is lost and the others answer: their topics are read again within a few seconds.
#[test]
fn the_loss_of_one_topic_does_not_stop_the_others_from_being_read() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    for _ in 0..40 {
        let actions = std::mem::take(&mut rig.actions);
        for action in actions {
            match action {
                Action::Read {
                    topic: Topic::Upstreams,
                    call,
                    ..
                } => rig.raise(Event::StoreFailed(Topic::Upstreams, call)),
                Action::Read {
                    topic: Topic::Operator,
                    ..
                } => {
                    rig.actions.push(action);
                    rig.read(Topic::Operator, "config", configuration_content(7));
                }
                _ => {}
            }
        }
        rig.run_for(100 * MS);
    }
    assert_eq!(generation(&rig), Some(7));
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

/// Regression: a record ended the polls of all entries at the same time, so that all ended together again 4 s later. A
/// configuration that was published in that moment missed the next poll of each, and was unknown for 2 s.
#[test]
fn polls_of_several_entries_do_not_end_together() {
    let wait = |name: &str| {
        let mut rig = Rig::serving(name);
        rig.run_for(2 * SECOND);
        rig.actions.iter().rev().find_map(|action| match action {
            Action::Read {
                topic: Topic::Operator,
                wait,
                ..
            } => Some(*wait),
            _ => None,
        })
    };
    let names: Vec<String> = (0..6).map(|number| format!("e{number}")).collect();
    let mut waits: Vec<_> = names.iter().filter_map(|name| wait(name)).collect();
    assert_eq!(waits.len(), names.len());
    waits.sort();
    let first = waits.first().copied().unwrap_or_default();
    let last = waits.last().copied().unwrap_or_default();
    assert!(last - first > 200 * MS, "{waits:?}");
}
