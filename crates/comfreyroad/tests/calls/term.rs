//! The end of the term: first no new sessions, then no new requests, then the closing totals, and nothing after them.

use std::time::Duration;

use comfreyroad::Settings;
use comfreyroad::controller::term::Stage;
use comfreyroad::record::{Record, Stream};
use comfreyroad::refusal::{Code, Ran};

use crate::rig::{End, Params, Rig};

fn refused(rig: &Rig, call: u64) -> Option<(Code, Ran)> {
    match &rig.response(call).end {
        Some(End::Refused(refusal)) => Some((refusal.code(), refusal.ran())),
        _ => None,
    }
}

fn rig() -> Rig {
    // The clock of the rig starts at 1,900,000,000 s after the epoch; the term ends 100 s later.
    let rules = Rig::rules((50, 50), &["term end=2030-03-17T17:48:20Z"]);
    let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
    let settings = Settings {
        session_cutoff: Duration::from_secs(50),
        ..Settings::default()
    };
    Rig::new(&settings, &rules, 2, 2)
}

#[test]
fn new_sessions_end_before_requests_and_totals_come_last() {
    let mut rig = rig();
    let first = rig.call(&Params::chat("r1", "draft"));
    let attempt = rig.last_attempt(first);
    rig.answer(attempt, 4);
    rig.advance(60_000);
    let token = rig
        .response(first)
        .session
        .clone()
        .expect("the response has a session");
    assert_eq!(rig.entry.state().term.stage(), Stage::EndsSoon);
    let new = rig.call(&Params::chat("r2", "draft"));
    assert_eq!(refused(&rig, new), Some((Code::TermOver, Ran::No)));
    let known = rig.call(
        &Params::chat("r3", "draft")
            .in_session(&token)
            .with_deadline(Duration::from_secs(100)),
    );
    assert_eq!(rig.sends_of(known).len(), 1);
    assert!(rig.ready);
    rig.advance(45_000);
    assert!(!rig.ready);
    assert_eq!(rig.entry.state().term.stage(), Stage::Over);
    let late = rig.call(&Params::chat("r4", "draft").in_session(&token));
    assert_eq!(refused(&rig, late), Some((Code::TermOver, Ran::No)));
    let attempt = rig.last_attempt(known);
    rig.answer(attempt, 4);
    rig.advance(15_000);
    assert_eq!(rig.response(known).end, Some(End::Finished));
    assert_eq!(rig.entry.state().term.stage(), Stage::Closed);
    let closings: Vec<&Record> = rig.log[&Stream::Ledger]
        .iter()
        .map(|(_, record)| record)
        .filter(|record| matches!(record, Record::Closing { .. }))
        .collect();
    let [Record::Closing { sums }] = closings[..] else {
        panic!("{closings:?}");
    };
    let (requests, cost) = rig
        .entry
        .state()
        .ledger
        .customer_totals()
        .values()
        .fold((0, 0), |sum, one| (sum.0 + one.requests, sum.1 + one.cost));
    assert_eq!(sums[..], [("inkwell".into(), requests, cost)]);
    assert_eq!(requests, 2);
    assert!(!rig.exited);
}

#[test]
fn a_later_term_end_reopens_the_entry_unless_closing_is_recorded() {
    let mut rig = rig();
    rig.advance(100_500);
    assert!(!rig.ready);
    let rules = Rig::rules((50, 50), &["term end=2031-03-17T17:48:20Z"]);
    let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
    rig.publish(&rules);
    rig.advance(100);
    assert!(rig.ready);
    let call = rig.call(&Params::chat("r1", "draft"));
    assert_eq!(rig.sends_of(call).len(), 1);
    rig.append(Stream::Ledger, Record::Closing { sums: Vec::new() });
    rig.advance(100);
    let after = rig.call(&Params::chat("r2", "draft"));
    assert_eq!(refused(&rig, after), Some((Code::TermOver, Ran::No)));
}
