//! A graceful shutdown cuts no request; one that is forced lists the requests that it cut.

use comfreyroad::mechanism::Mechanism;
use comfreyroad::record::{Record, Stream};
use comfreyroad::refusal::{Code, Ran};
use comfreyroad::{Event, Settings};

use crate::rig::{End, Params, Rig, text};

/// Longer than the drain timeout.
const MINUTE: std::time::Duration = std::time::Duration::from_secs(60);

fn cut_requests(rig: &Rig) -> Option<Vec<String>> {
    let records = rig
        .log
        .get(&Stream::Rules)?
        .iter()
        .map(|(_, record)| record);
    records
        .filter_map(|record| match record {
            Record::Gone { cut, .. } => {
                Some(cut.iter().map(|key| key.request.to_string()).collect())
            }
            _ => None,
        })
        .next_back()
}

#[test]
fn a_stream_finishes_before_the_entry_exits() {
    let mut rig = Rig::with_defaults(&Settings::default());
    let call = rig.call(&Params::chat("r1", "draft"));
    let attempt = rig.last_attempt(call);
    rig.token(attempt, 0);
    rig.handle(Event::Shutdown);
    assert!(!rig.ready);
    rig.advance(5_000);
    assert!(!rig.exited);
    (1..4).for_each(|offset| rig.token(attempt, offset));
    rig.finish(attempt, 4);
    rig.advance(300);
    assert!(rig.exited);
    assert_eq!(rig.response(call).end, Some(End::Finished));
    assert_eq!(rig.response(call).body, text(4));
    assert_eq!(cut_requests(&rig), Some(Vec::new()));
}

/// The count of open calls that a tick reads is one tick old, so a call that arrives just before the end of the drain
/// notice could be overlooked.
#[test]
fn a_call_at_the_end_of_the_drain_notice_is_not_cut() {
    let mut rig = Rig::with_defaults(&Settings::default());
    rig.handle(Event::Shutdown);
    rig.advance(950);
    let call = rig.call(&Params::chat("r1", "draft"));
    rig.advance(1_000);
    assert!(!rig.exited);
    let attempt = rig.last_attempt(call);
    rig.answer(attempt, 4);
    rig.advance(300);
    assert_eq!(rig.response(call).end, Some(End::Finished));
    assert!(rig.exited);
}

#[test]
fn calls_after_the_drain_notice_are_refused_as_not_run() {
    let mut rig = Rig::with_defaults(&Settings::default());
    let first = rig.call(&Params::chat("r1", "draft"));
    rig.handle(Event::Shutdown);
    rig.advance(1_100);
    let late = rig.call(&Params::chat("r2", "draft"));
    let Some(End::Refused(refusal)) = &rig.response(late).end else {
        panic!("{:?}", rig.response(late));
    };
    assert_eq!((refusal.code(), refusal.ran()), (Code::NotReady, Ran::No));
    assert_eq!(rig.response(first).end, None);
}

#[test]
fn queued_calls_are_answered_before_exit() {
    let mut rig = Rig::with_defaults(&Settings::default());
    let calls: Vec<u64> = (0..12)
        .map(|index| rig.call(&Params::chat(format!("r{index}"), "mona@1")))
        .collect();
    assert_eq!(rig.sends.len(), 8);
    rig.handle(Event::Shutdown);
    rig.advance(1_500);
    for index in 0..12 {
        let attempt = rig.sends[index].attempt;
        rig.answer(attempt, 4);
        rig.advance(100);
    }
    rig.advance(300);
    assert!(
        calls
            .iter()
            .all(|call| rig.response(*call).end == Some(End::Finished))
    );
    assert!(rig.exited);
}

#[test]
fn a_second_signal_or_the_drain_timeout_cuts_and_lists_open_requests() {
    for is_signal in [true, false] {
        let mut rig = Rig::with_defaults(&Settings::default());
        let begun = rig.call(&Params::chat("begun", "mona@1").with_deadline(MINUTE));
        let attempt = rig.last_attempt(begun);
        rig.token(attempt, 0);
        (0..7).for_each(|index| {
            _ = rig.call(&Params::chat(format!("r{index}"), "mona@1").with_deadline(MINUTE));
        });
        let waiting = rig.call(&Params::chat("waiting", "mona@1").with_deadline(MINUTE));
        rig.handle(Event::Shutdown);
        rig.advance(2_000);
        if is_signal {
            rig.handle(Event::Shutdown);
        }
        rig.advance(if is_signal { 300 } else { 28_500 });
        assert!(rig.exited, "by signal: {is_signal}");
        assert_eq!(rig.response(begun).end, Some(End::Broken));
        let Some(End::Refused(refusal)) = &rig.response(waiting).end else {
            panic!("{:?}", rig.response(waiting));
        };
        assert_eq!(refusal.ran(), Ran::No);
        let cut = cut_requests(&rig).expect("the entry logged its exit");
        assert!(cut.contains(&"begun".to_owned()) && cut.contains(&"waiting".to_owned()));
        assert_eq!((rig.event_count(102), rig.event_count(103)), (1, 1));
    }
}

#[test]
fn an_entry_exits_even_if_the_log_is_unreachable() {
    let mut rig = Rig::with_defaults(&Settings::default());
    rig.handle(Event::Shutdown);
    rig.log_is_up = false;
    rig.advance(1_200);
    assert!(!rig.exited);
    rig.advance(2_500);
    assert!(rig.exited);
    let last = rig.notes.iter().find(|note| note.kind.number == 103);
    assert_eq!(
        last.map(|note| note.fields.clone()),
        Some(vec![("on_log", "false".to_owned())])
    );
}

/// Without draining, a stream is cut.
#[test]
fn without_draining_streams_are_cut() {
    let disabled = vec![Mechanism::Draining];
    let mut rig = Rig::with_defaults(&Settings {
        disabled,
        ..Settings::default()
    });
    let call = rig.call(&Params::chat("r1", "draft"));
    let attempt = rig.last_attempt(call);
    rig.token(attempt, 0);
    rig.handle(Event::Shutdown);
    rig.advance(1_500);
    assert_eq!(rig.response(call).end, Some(End::Broken));
}
