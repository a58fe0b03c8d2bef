//! A caller receives the complete response to its own request, or an error that says it did not.

use comfreyroad::Settings;
use comfreyroad::event::Signal;
use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::{Code, Ran};

use crate::rig::{End, Params, Rig, text};

fn rig() -> Rig {
    Rig::with_defaults(&Settings::default())
}

#[test]
fn a_failed_stream_resumes_on_another_upstream_with_the_same_version() {
    let mut rig = rig();
    let call = rig.call(&Params::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    rig.head(first);
    (0..2).for_each(|offset| rig.token(first, offset));
    rig.fail(first);
    let second = rig.last_attempt(call);
    let sends = rig.sends_of(call);
    assert_eq!(sends.len(), 2);
    assert_eq!(
        (sends[1].resume_from, &sends[1].version),
        (2, &sends[0].version)
    );
    rig.head(second);
    // Signals of the first attempt are stale from here on.
    rig.token(first, 2);
    (2..4).for_each(|offset| rig.token(second, offset));
    rig.finish(second, 4);
    rig.advance(100);
    assert_eq!(rig.response(call).end, Some(End::Finished));
    assert_eq!(rig.response(call).body, text(4));
    assert_eq!(
        (rig.event_count(506), rig.entry.dispatcher().late_signals()),
        (1, 1)
    );
}

#[test]
fn a_response_that_restarts_from_zero_continues_at_the_callers_offset() {
    let mut rig = rig();
    let call = rig.call(&Params::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    (0..3).for_each(|offset| rig.token(first, offset));
    rig.fail(first);
    let second = rig.last_attempt(call);
    rig.answer(second, 5);
    rig.advance(100);
    assert_eq!(rig.response(call).body, text(5));
    assert_eq!(rig.response(call).end, Some(End::Finished));
}

#[test]
fn a_gap_a_wrong_tag_or_a_short_token_count_causes_a_retry() {
    for fault in 0..4 {
        let mut rig = rig();
        let call = rig.call(&Params::chat("r1", "draft"));
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
            2 => rig.finish(first, 4),
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
        rig.finish(second, 4);
        rig.advance(100);
        assert_eq!(rig.response(call).body, text(4), "fault {fault}");
        assert_eq!(rig.response(call).end, Some(End::Finished), "fault {fault}");
    }
}

#[test]
fn duplicate_parts_are_dropped() {
    let mut rig = rig();
    let call = rig.call(&Params::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    for offset in [0, 0, 1, 0, 1, 2, 3, 3] {
        rig.token(first, offset);
    }
    rig.finish(first, 4);
    rig.advance(100);
    assert_eq!(rig.response(call).body, text(4));
    assert_eq!(rig.sends_of(call).len(), 1);
}

#[test]
fn a_started_response_is_aborted_if_its_version_is_withdrawn() {
    let mut rig = rig();
    let call = rig.call(&Params::chat("r1", "mona@1"));
    let first = rig.last_attempt(call);
    rig.token(first, 0);
    let rules = Rig::rules((0, 100), &[]);
    rig.publish(&rules.iter().map(String::as_str).collect::<Vec<_>>());
    rig.fail(first);
    rig.advance(100);
    assert_eq!(rig.response(call).end, Some(End::Broken));
    assert_eq!(rig.response(call).body, text(1));
}

#[test]
fn a_truncated_service_response_is_retried_before_delivery() {
    let mut rig = rig();
    let call = rig.call(&Params::service("r1", "GET", "/orders/1"));
    let first = rig.last_attempt(call);
    rig.head(first);
    rig.bytes(first, 0, "half of");
    assert_eq!(rig.response(call).status, None);
    rig.finish(first, 20);
    let second = rig.last_attempt(call);
    rig.head(second);
    rig.bytes(second, 0, "another answer");
    rig.finish(second, 14);
    rig.advance(100);
    assert_eq!(rig.response(call).body, b"another answer");
    assert_eq!(rig.response(call).end, Some(End::Finished));
}

#[test]
fn long_service_responses_are_never_spliced() {
    let mut rig = rig();
    let call = rig.call(&Params::service("r1", "GET", "/orders/1"));
    let first = rig.last_attempt(call);
    rig.head(first);
    let long = "x".repeat(9 * 1024);
    rig.bytes(first, 0, &long);
    assert_eq!(rig.response(call).body.len(), long.len());
    rig.fail(first);
    rig.advance(100);
    assert_eq!(rig.sends_of(call).len(), 1);
    assert_eq!(rig.response(call).end, Some(End::Broken));
}

#[test]
fn a_booking_that_fails_is_not_sent_again() {
    let mut rig = rig();
    let call = rig.call(&Params::service("r1", "POST", "/bookings"));
    rig.advance(100);
    let first = rig.last_attempt(call);
    rig.head(first);
    rig.bytes(first, 0, "half");
    rig.fail(first);
    rig.advance(500);
    assert_eq!(rig.sends_of(call).len(), 1);
    let Some(End::Refused(refusal)) = &rig.response(call).end else {
        panic!("{:?}", rig.response(call));
    };
    assert_eq!(refusal.ran(), Ran::Maybe);
}

#[test]
fn the_deadline_cancels_the_attempt_and_frees_its_slot() {
    let mut rig = rig();
    let deadline = std::time::Duration::from_millis(500);
    let call = rig.call(&Params::chat("r1", "draft").with_deadline(deadline));
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
    let Some(End::Refused(refusal)) = &rig.response(call).end else {
        panic!("{:?}", rig.response(call));
    };
    assert_eq!(
        (refusal.code(), refusal.ran()),
        (Code::Deadline, Ran::Maybe)
    );
}

#[test]
fn a_trace_lists_each_attempt() {
    let mut rig = rig();
    let call = rig.call(&Params::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    rig.fail(first);
    let second = rig.last_attempt(call);
    rig.answer(second, 4);
    rig.advance(100);
    let trace = rig
        .entry
        .state()
        .traces
        .of_request("r1")
        .next()
        .expect("the request has a trace");
    let results: Vec<&str> = trace.steps.iter().map(|point| point.step.result).collect();
    assert_eq!(
        results,
        [
            "sent", "failed", "sent", "begins", "whole", "written", "answered"
        ]
    );
    assert!(trace.steps.iter().all(|point| point.generation == 1));
}

/// Without the response checks, a duplicate part reaches the caller.
#[test]
fn without_response_checks_duplicates_are_delivered() {
    let settings = Settings {
        disabled: vec![Mechanism::AnswerChecks],
        ..Settings::default()
    };
    let mut rig = Rig::with_defaults(&settings);
    let call = rig.call(&Params::chat("r1", "draft"));
    let first = rig.last_attempt(call);
    for offset in [0, 0, 1] {
        rig.token(first, offset);
    }
    assert_ne!(rig.response(call).body, text(2));
}
