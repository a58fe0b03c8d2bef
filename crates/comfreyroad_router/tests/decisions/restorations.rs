//! The store is restored from a copy: it has lost its newest records, and gives out their offsets again.

use comfreyroad_router::Event;
use comfreyroad_router::frame::Frame;
use comfreyroad_router::record::{Content, Record, Topic, position};
use comfreyroad_router::rollout::{Order, State, Status};

use super::rig::{MS, Rig, SECOND, configuration_content, frame, registration};

fn generation(rig: &Rig) -> Option<u64> {
    let active = rig.router.state().configuration.active();
    active.map(|it| it.generation)
}

fn evacuation(zone: &str) -> Content {
    Content::Evacuation(zone.into())
}

fn is_evacuated(rig: &Rig, zone: &str) -> bool {
    rig.router.state().evacuations.is_evacuated(zone)
}

/// A record at an offset of the next era.
fn restored(offset: u64, key: &str, content: Content) -> Record {
    Record {
        offset: position::new(1, offset),
        key: key.into(),
        content,
    }
}

/// Lets the store reject the position of a topic, and lists the topic in the next era.
fn list_restored(rig: &mut Rig, topic: Topic, records: Vec<Record>) {
    rig.run_for(SECOND);
    let call = rig.pending_call(topic).expect("a read is pending");
    rig.raise(Event::RecordsExpired(topic, call));
    let call = rig.pending_call(topic).expect("a listing is pending");
    let next = position::new(1, records.len() as u64 + 1);
    rig.raise(Event::TopicListed {
        topic,
        call,
        records,
        next,
    });
}

fn order(target: &str) -> Content {
    Content::Rollout(Order {
        pool: "pool".into(),
        target: target.into(),
        duration: 20 * SECOND,
    })
}

/// Answers the read of a topic with one record, within the time for lost ones to be written again.
fn read_restored(rig: &mut Rig, topic: Topic, record: Record) {
    rig.run_for(200 * MS);
    let call = rig.pending_call(topic).expect("a read is pending");
    let next = record.offset + 1;
    rig.raise(Event::TopicRead {
        topic,
        call,
        records: vec![record],
        next,
    });
}

/// Answers the pending read of a topic without records.
fn answer_read(rig: &mut Rig, topic: Topic, end: u64) {
    let call = rig.pending_call(topic).expect("a read is pending");
    rig.raise(Event::TopicRead {
        topic,
        call,
        records: Vec::new(),
        next: position::new(1, end),
    });
}

/// A frame of a peer that knows a topic up to a position, with records from the beginning.
fn complete_frame(topic: Topic, records: Vec<Record>, next: u64) -> Frame {
    let mut frame = frame("e2");
    frame.next_offsets.insert(topic, next);
    frame.complete_up_to.insert(topic, next);
    frame.records = records.into_iter().map(|it| (topic, it)).collect();
    frame
}

/// Regression (days of a restored store, CONFIG): records of known keys were hidden by the higher offsets of lost ones.
#[test]
fn a_record_after_a_restoration_is_newer_than_a_lost_one_with_a_higher_offset() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Operator, "config", configuration_content(5));
    let copy = restored(1, "config", configuration_content(1));
    list_restored(&mut rig, Topic::Operator, vec![copy]);
    assert_eq!(generation(&rig), Some(5));
    rig.run_for(SECOND);
    let call = rig.pending_call(Topic::Operator).unwrap();
    let record = restored(2, "config", configuration_content(6));
    rig.raise(Event::TopicRead {
        topic: Topic::Operator,
        call,
        records: vec![record],
        next: position::new(1, 3),
    });
    assert_eq!(generation(&rig), Some(6));
}

/// Regression (E1203 again and again): frames of peers put the old position back, beyond the end of the topic.
#[test]
fn a_peer_from_before_a_restoration_changes_nothing_and_one_from_after_it_everything() {
    let mut rig = Rig::serving("e1");
    let record = restored(1, "config", configuration_content(7));
    let next = position::new(1, 2);
    rig.receive(complete_frame(Topic::Operator, vec![record], next));
    assert_eq!(generation(&rig), Some(7));
    let lost = Record {
        offset: 900,
        key: "evacuate/b".into(),
        content: evacuation("b"),
    };
    rig.receive(complete_frame(Topic::Operator, vec![lost], 901));
    let known = rig
        .router
        .state()
        .subscriptions
        .next_offset(Topic::Operator);
    assert_eq!(known, Some(next));
    assert!(!is_evacuated(&rig, "b"));
    let mut query = frame("e3");
    query.next_offsets.insert(Topic::Operator, 900);
    let (answer, _) = rig.router.exchange(rig.now, query);
    assert_eq!(answer.records.len(), 1, "{:?}", answer.records);
}

/// Requests went to an evacuated zone until its evacuation was written again.
#[test]
fn a_key_that_the_copy_lacks_stays_until_it_had_time_to_be_written_again() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Operator, "evacuate/a", evacuation("a"));
    rig.read(Topic::Operator, "evacuate/b", evacuation("b"));
    let copy = restored(1, "config", configuration_content(1));
    list_restored(&mut rig, Topic::Operator, vec![copy]);
    assert!(is_evacuated(&rig, "a") && is_evacuated(&rig, "b"));
    rig.run_for(SECOND);
    assert!(is_evacuated(&rig, "a") && is_evacuated(&rig, "b"));
    let call = rig.pending_call(Topic::Operator).unwrap();
    rig.raise(Event::TopicRead {
        topic: Topic::Operator,
        call,
        records: vec![restored(2, "evacuate/b", evacuation("b"))],
        next: position::new(1, 3),
    });
    rig.run_for(3 * SECOND);
    assert!(
        is_evacuated(&rig, "a"),
        "the store has not answered since the time for it"
    );
    answer_read(&mut rig, Topic::Operator, 3);
    assert!(!is_evacuated(&rig, "a") && is_evacuated(&rig, "b"));
}

/// Upstreams that the copy lacked were removed while the store was silent again.
#[test]
fn a_key_that_the_copy_lacks_stays_while_the_store_does_not_answer() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    list_restored(&mut rig, Topic::Upstreams, Vec::new());
    rig.run_for(2 * SECOND);
    let call = rig.pending_call(Topic::Upstreams).unwrap();
    rig.raise(Event::StoreFailed(Topic::Upstreams, call));
    rig.run_for(3 * SECOND);
    let upstreams = |rig: &Rig| rig.router.state().upstreams.all().count();
    assert_eq!(upstreams(&rig), 2);
    answer_read(&mut rig, Topic::Upstreams, 1);
    rig.run_for(SECOND);
    assert_eq!(upstreams(&rig), 2, "they may be written again after it");
}

#[test]
fn a_newer_registration_than_that_of_the_copy_stays() {
    let mut rig = Rig::serving("e1");
    let mut newer = registration("v1");
    newer.sequence = 9;
    newer.slots = 7;
    rig.read(Topic::Upstreams, "u1", Content::Upstream(Box::new(newer)));
    rig.read(Topic::Upstreams, "u2", Content::Removed);
    let copy = |offset, key| {
        let content = Content::Upstream(Box::new(registration("v1")));
        restored(offset, key, content)
    };
    list_restored(
        &mut rig,
        Topic::Upstreams,
        vec![copy(1, "u1"), copy(2, "u2")],
    );
    rig.run_for(3 * SECOND);
    let upstreams = rig.router.state().upstreams.all();
    let slots: Vec<u32> = upstreams.map(|it| it.registration.slots).collect();
    assert_eq!(slots, [7]);
}

#[test]
fn a_rollout_goes_on_when_its_order_is_written_again() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Operator, "rollout/pool", order("v2"));
    let status = |state| {
        Content::Status(Status {
            pool: "pool".into(),
            target: "v2".into(),
            state,
            order_offset: 0,
            withdrawn: Vec::new(),
        })
    };
    rig.read(Topic::Status, "rollout/pool", status(State::Completed));
    let states = |rig: &Rig| {
        let states = rig.router.state().rollouts.states();
        let states: Vec<_> = states
            .map(|(_, position, state)| (position, state))
            .collect();
        states
    };
    let again = restored(1, "rollout/pool", order("v2"));
    list_restored(&mut rig, Topic::Operator, vec![again]);
    // The status may be lost, and is written again.
    assert_eq!(states(&rig), [(position::new(1, 1), None)]);
    let is_retired = |rig: &Rig| {
        rig.router
            .state()
            .rollouts
            .is_retired(&"pool".into(), &"v1".into())
    };
    assert!(is_retired(&rig), "it is still completed");
    rig.actions.clear();
    list_restored(&mut rig, Topic::Status, Vec::new());
    rig.run_for(SECOND);
    let writes = rig
        .actions
        .iter()
        .filter(|it| format!("{it:?}").contains("Completed"));
    assert!(writes.count() > 0);
    // Before anything else it was in the copy already, and is written again all the same.
    read_restored(
        &mut rig,
        Topic::Operator,
        restored(2, "rollout/pool", order("v2")),
    );
    assert!(is_retired(&rig), "it is still completed");
    rig.run_for(3 * SECOND);
    read_restored(
        &mut rig,
        Topic::Operator,
        restored(3, "rollout/pool", order("v3")),
    );
    assert_eq!(
        states(&rig),
        [(position::new(1, 3), None)],
        "another order begins a rollout"
    );
    assert!(is_retired(&rig), "what v2 has replaced serves no more");
}

/// A rollout that had been rolled back began anew when the copy held the order before it.
#[test]
fn a_rollout_is_not_forgotten_when_the_copy_holds_the_order_before() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Operator, "rollout/pool", order("v2"));
    rig.read(Topic::Operator, "rollout/pool", order("v3"));
    let rolled_back = Content::Status(Status {
        pool: "pool".into(),
        target: "v3".into(),
        state: State::RolledBack,
        order_offset: 0,
        withdrawn: Vec::new(),
    });
    rig.read(Topic::Status, "rollout/pool", rolled_back);
    let is_retired = |rig: &Rig| {
        let rollouts = &rig.router.state().rollouts;
        rollouts.is_retired(&"pool".into(), &"v3".into())
    };
    let before = restored(1, "rollout/pool", order("v2"));
    list_restored(&mut rig, Topic::Operator, vec![before]);
    assert!(is_retired(&rig));
    read_restored(
        &mut rig,
        Topic::Operator,
        restored(2, "rollout/pool", order("v3")),
    );
    assert!(is_retired(&rig), "it is tried again");
}

/// A peer that had listed nothing yet was taken for one of an earlier era.
#[test]
fn a_frame_of_a_peer_without_positions_is_no_earlier_era() {
    let mut rig = Rig::empty("e1");
    rig.receive(complete_frame(Topic::Operator, Vec::new(), 0));
    let call = rig.pending_call(Topic::Operator).unwrap();
    rig.actions.clear();
    rig.raise(Event::TopicListed {
        topic: Topic::Operator,
        call,
        records: vec![restored(0, "config", configuration_content(1))],
        next: position::new(1, 1),
    });
    let notes = rig
        .actions
        .iter()
        .filter(|it| format!("{it:?}").contains("1204"));
    assert_eq!(notes.count(), 0);
}
