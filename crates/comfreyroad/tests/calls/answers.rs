//! A caller gets the whole answer to its own request, or is told that it does not.

use comfreyroad::Settings;
use comfreyroad::event::Signal;
use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::{Code, Ran};

use crate::rig::{Ask, End, Rig, text};

fn rig() -> Rig {
    Rig::usual(&Settings::default())
}

#[test]
fn resumes_elsewhere_with_the_same_version() {
    let mut rig = rig();
    let call = rig.call(&Ask::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    rig.head(first);
    (0..2).for_each(|offset| rig.token(first, offset));
    rig.failure(first);
    let second = rig.last_attempt(call);
    let sends = rig.sends_of(call);
    assert_eq!(sends.len(), 2);
    assert_eq!(
        (sends[1].resume_from, &sends[1].version),
        (2, &sends[0].version)
    );
    rig.head(second);
    // What still comes of the first attempt is late.
    rig.token(first, 2);
    (2..4).for_each(|offset| rig.token(second, offset));
    rig.whole(second, 4);
    rig.advance(100);
    assert_eq!(rig.got(call).end, Some(End::Finished));
    assert_eq!(rig.got(call).body, text(4));
    assert_eq!(
        (rig.noted(506), rig.entry.dispatcher().late_signals()),
        (1, 1)
    );
}

#[test]
fn an_engine_that_starts_anew_is_read_from_where_the_caller_is() {
    let mut rig = rig();
    let call = rig.call(&Ask::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    (0..3).for_each(|offset| rig.token(first, offset));
    rig.failure(first);
    let second = rig.last_attempt(call);
    rig.answer(second, 5);
    rig.advance(100);
    assert_eq!(rig.got(call).body, text(5));
    assert_eq!(rig.got(call).end, Some(End::Finished));
}

#[test]
fn a_gap_a_crossed_part_and_a_short_count_are_sent_again() {
    for fault in 0..4 {
        let mut rig = rig();
        let call = rig.call(&Ask::chat("r1", "draft"));
        let first = rig.last_attempt(call);
        rig.head(first);
        rig.token(first, 0);
        match fault {
            0 => rig.token(first, 2),
            1 => rig.signal(
                first,
                Signal::Part {
                    tag: Some("other.1".into()),
                    offset: 1,
                    length: 1,
                    bytes: b"wrong".as_slice().into(),
                },
            ),
            2 => rig.whole(first, 4),
            _ => rig.signal(
                first,
                Signal::Part {
                    tag: None,
                    offset: 1,
                    length: 1,
                    bytes: b"nobody's".as_slice().into(),
                },
            ),
        }
        let second = rig.last_attempt(call);
        assert_ne!(first, second, "fault {fault}");
        assert_eq!(rig.cancels, [first]);
        (1..4).for_each(|offset| rig.token(second, offset));
        rig.whole(second, 4);
        rig.advance(100);
        assert_eq!(rig.got(call).body, text(4), "fault {fault}");
        assert_eq!(rig.got(call).end, Some(End::Finished), "fault {fault}");
    }
}

#[test]
fn doubled_parts_are_dropped() {
    let mut rig = rig();
    let call = rig.call(&Ask::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    for offset in [0, 0, 1, 0, 1, 2, 3, 3] {
        rig.token(first, offset);
    }
    rig.whole(first, 4);
    rig.advance(100);
    assert_eq!(rig.got(call).body, text(4));
    assert_eq!(rig.sends_of(call).len(), 1);
}

#[test]
fn a_begun_answer_breaks_where_its_version_is_withdrawn() {
    let mut rig = rig();
    let call = rig.call(&Ask::chat("r1", "mona@1"));
    let first = rig.last_attempt(call);
    rig.token(first, 0);
    let rules = Rig::rules((0, 100), &[]);
    rig.publish(&rules.iter().map(String::as_str).collect::<Vec<_>>());
    rig.failure(first);
    rig.advance(100);
    assert_eq!(rig.got(call).end, Some(End::Broken));
    assert_eq!(rig.got(call).body, text(1));
}

#[test]
fn a_cut_service_answer_is_read_again_unseen() {
    let mut rig = rig();
    let call = rig.call(&Ask::service("r1", "GET", "/orders/1"));
    let first = rig.last_attempt(call);
    rig.head(first);
    rig.bytes(first, 0, "half of");
    assert_eq!(rig.got(call).begun, None);
    rig.whole(first, 20);
    let second = rig.last_attempt(call);
    rig.head(second);
    rig.bytes(second, 0, "another answer");
    rig.whole(second, 14);
    rig.advance(100);
    assert_eq!(rig.got(call).body, b"another answer");
    assert_eq!(rig.got(call).end, Some(End::Finished));
}

#[test]
fn long_service_answers_are_never_spliced() {
    let mut rig = rig();
    let call = rig.call(&Ask::service("r1", "GET", "/orders/1"));
    let first = rig.last_attempt(call);
    rig.head(first);
    let long = "x".repeat(9 * 1024);
    rig.bytes(first, 0, &long);
    assert_eq!(rig.got(call).body.len(), long.len());
    rig.failure(first);
    rig.advance(100);
    assert_eq!(rig.sends_of(call).len(), 1);
    assert_eq!(rig.got(call).end, Some(End::Broken));
}

#[test]
fn a_booking_that_fails_is_not_sent_again() {
    let mut rig = rig();
    let call = rig.call(&Ask::service("r1", "POST", "/bookings"));
    rig.advance(100);
    let first = rig.last_attempt(call);
    rig.head(first);
    rig.bytes(first, 0, "half");
    rig.failure(first);
    rig.advance(500);
    assert_eq!(rig.sends_of(call).len(), 1);
    let Some(End::Refused(refusal)) = &rig.got(call).end else {
        panic!("{:?}", rig.got(call));
    };
    assert_eq!(refusal.ran(), Ran::Maybe);
}

#[test]
fn past_the_deadline_work_is_cancelled_and_its_slot_is_free() {
    let mut rig = rig();
    let deadline = std::time::Duration::from_millis(500);
    let call = rig.call(&Ask::chat("r1", "draft").within(deadline));
    let send = &rig.sends_of(call)[0];
    assert_eq!(send.deadline, rig.now.instant + deadline);
    let first = send.attempt;
    rig.advance(600);
    assert_eq!(rig.cancels, [first]);
    let in_flight = rig.entry.state().upstreams.all();
    assert_eq!(
        in_flight.map(|it| it.info().in_flight.get()).sum::<u32>(),
        0
    );
    let Some(End::Refused(refusal)) = &rig.got(call).end else {
        panic!("{:?}", rig.got(call));
    };
    assert_eq!(
        (refusal.code(), refusal.ran()),
        (Code::Deadline, Ran::Maybe)
    );
}

#[test]
fn a_trail_tells_of_each_attempt() {
    let mut rig = rig();
    let call = rig.call(&Ask::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    rig.failure(first);
    let second = rig.last_attempt(call);
    rig.answer(second, 4);
    rig.advance(100);
    let trace = rig
        .entry
        .state()
        .traces
        .of_request("r1")
        .next()
        .expect("a trace");
    let said: Vec<&str> = trace.steps.iter().map(|point| point.step.result).collect();
    assert_eq!(
        said,
        [
            "sent", "failed", "sent", "begins", "whole", "written", "answered"
        ]
    );
    assert!(trace.steps.iter().all(|point| point.generation == 1));
}

/// Without the steps of the way back, a doubled part reaches the caller.
#[test]
fn unchecked_answers_are_wrong() {
    let settings = Settings {
        disabled: vec![Mechanism::AnswerChecks],
        ..Settings::default()
    };
    let mut rig = Rig::usual(&settings);
    let call = rig.call(&Ask::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    for offset in [0, 0, 1] {
        rig.token(first, offset);
    }
    assert_ne!(rig.got(call).body, text(2));
}
