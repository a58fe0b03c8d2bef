//! A graceful shutdown cuts no request, and one that cannot wait says what it cut.

use comfreyroad::mechanism::Mechanism;
use comfreyroad::record::{Record, Stream};
use comfreyroad::refusal::{Code, Ran};
use comfreyroad::{Event, Settings};

use crate::rig::{Ask, End, Rig, text};

/// Longer than a shutdown may take.
const MINUTE: std::time::Duration = std::time::Duration::from_secs(60);

fn gone(rig: &Rig) -> Option<Vec<String>> {
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
fn a_stream_is_finished_before_the_end() {
    let mut rig = Rig::usual(&Settings::default());
    let call = rig.call(&Ask::chat("r1", "draft"));
    let attempt = rig.last_attempt(call);
    rig.token(attempt, 0);
    rig.handle(Event::Shutdown);
    assert!(!rig.ready);
    rig.advance(5_000);
    assert!(!rig.exited);
    (1..4).for_each(|offset| rig.token(attempt, offset));
    rig.whole(attempt, 4);
    rig.advance(300);
    assert!(rig.exited);
    assert_eq!(rig.got(call).end, Some(End::Finished));
    assert_eq!(rig.got(call).body, text(4));
    assert_eq!(gone(&rig), Some(Vec::new()));
}

/// The count of open calls that a tick sees is one tick old.
#[test]
fn a_call_in_the_last_moment_of_the_notice_is_not_cut() {
    let mut rig = Rig::usual(&Settings::default());
    rig.handle(Event::Shutdown);
    rig.advance(950);
    let call = rig.call(&Ask::chat("r1", "draft"));
    rig.advance(1_000);
    assert!(!rig.exited);
    let attempt = rig.last_attempt(call);
    rig.answer(attempt, 4);
    rig.advance(300);
    assert_eq!(rig.got(call).end, Some(End::Finished));
    assert!(rig.exited);
}

#[test]
fn after_the_notice_calls_are_refused_as_not_run() {
    let mut rig = Rig::usual(&Settings::default());
    let first = rig.call(&Ask::chat("r1", "draft"));
    rig.handle(Event::Shutdown);
    rig.advance(1_100);
    let late = rig.call(&Ask::chat("r2", "draft"));
    let Some(End::Refused(refusal)) = &rig.got(late).end else {
        panic!("{:?}", rig.got(late));
    };
    assert_eq!((refusal.code(), refusal.ran()), (Code::NotReady, Ran::No));
    assert_eq!(rig.got(first).end, None);
}

#[test]
fn what_waits_for_a_slot_is_answered_too() {
    let mut rig = Rig::usual(&Settings::default());
    let calls: Vec<u64> = (0..12)
        .map(|index| rig.call(&Ask::chat(format!("r{index}"), "mona@1")))
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
            .all(|call| rig.got(*call).end == Some(End::Finished))
    );
    assert!(rig.exited);
}

#[test]
fn a_second_signal_or_the_deadline_cuts_and_lists_the_rest() {
    for is_signal in [true, false] {
        let mut rig = Rig::usual(&Settings::default());
        let begun = rig.call(&Ask::chat("begun", "mona@1").within(MINUTE));
        let attempt = rig.last_attempt(begun);
        rig.token(attempt, 0);
        (0..7).for_each(|index| {
            _ = rig.call(&Ask::chat(format!("r{index}"), "mona@1").within(MINUTE));
        });
        let waiting = rig.call(&Ask::chat("waiting", "mona@1").within(MINUTE));
        rig.handle(Event::Shutdown);
        rig.advance(2_000);
        if is_signal {
            rig.handle(Event::Shutdown);
        }
        rig.advance(if is_signal { 300 } else { 28_500 });
        assert!(rig.exited, "by signal: {is_signal}");
        assert_eq!(rig.got(begun).end, Some(End::Broken));
        let Some(End::Refused(refusal)) = &rig.got(waiting).end else {
            panic!("{:?}", rig.got(waiting));
        };
        assert_eq!(refusal.ran(), Ran::No);
        let cut = gone(&rig).expect("a last record");
        assert!(cut.contains(&"begun".to_owned()) && cut.contains(&"waiting".to_owned()));
        assert_eq!((rig.noted(102), rig.noted(103)), (1, 1));
    }
}

#[test]
fn an_entry_that_cannot_reach_the_log_ends_nevertheless() {
    let mut rig = Rig::usual(&Settings::default());
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

/// Without the wait for calls, a stream is cut.
#[test]
fn an_entry_that_does_not_drain_cuts() {
    let disabled = vec![Mechanism::Draining];
    let mut rig = Rig::usual(&Settings {
        disabled,
        ..Settings::default()
    });
    let call = rig.call(&Ask::chat("r1", "draft"));
    let attempt = rig.last_attempt(call);
    rig.token(attempt, 0);
    rig.handle(Event::Shutdown);
    rig.advance(1_500);
    assert_eq!(rig.got(call).end, Some(End::Broken));
}
