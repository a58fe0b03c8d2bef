//! Chains of versions: the cheap one's answer is rated before its caller gets it.

use std::sync::Arc;
use std::time::Duration;

use comfreyroad::mechanism::Mechanism;
use comfreyroad::quality::{Cell, Count, Origin, Score, Subject};
use comfreyroad::record::{Record, Stream};
use comfreyroad::session::Token;
use comfreyroad::{Event, Settings, frame::Frame};

use crate::rig::{Ask, End, Rig, text, unless};

/// Drafts may be answered by mona, which is cheap, or by lisa, which is nine times as dear.
fn rig(disabled: Vec<Mechanism>) -> Rig {
    let settings = Settings {
        disabled,
        ..Settings::default()
    };
    let more = [
        "route both models=mona,lisa class=draft quality=0.8",
        "route chat models=mona,lisa class=interactive quality=0.8",
    ];
    let rules = Rig::rules((0, 100), &more);
    let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
    Rig::new(&settings, &rules, 2, 0)
}

/// What a peer has counted.
fn counted(rig: &mut Rig, version: &str, rated: u32, good: u32) {
    for route in ["both", "chat"] {
        let count = Count {
            origin: Origin {
                entry: "entry-9".into(),
                boot: "b9".into(),
            },
            subject: Subject {
                route: route.into(),
                version: version.into(),
                is_escalated: false,
            },
            cell: Cell {
                since: 0,
                window: 1,
                old: Score { rated, good },
                new: Score::default(),
            },
        };
        let frame = Frame {
            counts: vec![count],
            ..Frame::default()
        };
        rig.handle(Event::Peer(Box::new(frame)));
    }
}

/// An entry that knows how long answers and ratings take, and that mona is good in 6 and lisa in 9 of 10 answers.
fn warm(disabled: Vec<Mechanism>) -> Rig {
    let mut rig = rig(disabled);
    for model in ["mona@2", "lisa@1"] {
        let call = rig.call(&Ask::chat(format!("warm-{model}"), model));
        let attempt = rig.last_attempt(call);
        rig.advance(100);
        rig.answer(attempt, 2);
        let good = Some(true);
        rig.handle(Event::Rated { call, good });
        rig.advance(1_000);
    }
    counted(&mut rig, "mona@2", 200, 120);
    counted(&mut rig, "lisa@1", 200, 190);
    rig.rated.clear();
    rig
}

/// A draft's first step, answered whole.
fn first_step(rig: &mut Rig) -> u64 {
    let call = rig.call(&Ask::chat("plan", "both"));
    assert_eq!(rig.sends_of(call)[0].version.as_deref(), Some("mona@2"));
    rig.answer(rig.last_attempt(call), 4);
    call
}

fn session_version(rig: &Rig, call: u64) -> Arc<str> {
    let text = rig.got(call).session.clone().expect("a session began");
    let token = Token::verify(&text, &[[0; 32]]).expect("the token opens");
    token.version
}

fn bills(rig: &Rig) -> Vec<(Option<Arc<str>>, Arc<str>)> {
    let ledger = rig.log.get(&Stream::Ledger);
    let bill = |record: &Record| match record {
        Record::Bill(bill) => Some((bill.version.clone(), bill.key.request.clone())),
        _ => None,
    };
    let records = ledger.into_iter().flatten();
    records.filter_map(|(_, record)| bill(record)).collect()
}

#[test]
fn good_answer_is_delivered_and_billed() {
    let mut rig = warm(Vec::new());
    let call = first_step(&mut rig);
    assert_eq!(rig.got(call).begun, None, "nothing before the rating");
    assert_eq!(rig.rated, [(call, "mona@2".into())]);
    rig.handle(Event::Rated {
        call,
        good: Some(true),
    });
    rig.advance(500);
    assert_eq!(rig.got(call).body, text(4));
    assert_eq!(rig.got(call).end, Some(End::Finished));
    assert_eq!(&*session_version(&rig, call), "mona@2");
    let bills = bills(&rig);
    let own: Vec<_> = bills
        .iter()
        .filter(|(_, request)| **request == *"plan")
        .collect();
    assert_eq!(own, [&(Some("mona@2".into()), "plan".into())]);
}

#[test]
fn bad_answer_is_dropped_and_the_next_version_billed() {
    let mut rig = warm(Vec::new());
    let call = first_step(&mut rig);
    rig.handle(Event::Rated {
        call,
        good: Some(false),
    });
    assert_eq!(rig.got(call).begun, None);
    assert_eq!(rig.sends_of(call)[1].version.as_deref(), Some("lisa@1"));
    assert_eq!(rig.sends_of(call)[1].resume_from, 0);
    rig.answer(rig.last_attempt(call), 6);
    rig.advance(500);
    assert_eq!(rig.got(call).body, text(6), "not a token of the bad answer");
    assert_eq!(rig.got(call).version.as_deref(), Some("lisa@1"));
    assert_eq!(&*session_version(&rig, call), "lisa@1");
    let bills = bills(&rig);
    let own: Vec<_> = bills
        .iter()
        .filter(|(_, request)| **request == *"plan")
        .collect();
    assert_eq!(
        own,
        [&(Some("lisa@1".into()), "plan".into())],
        "billed once"
    );
    assert_eq!(rig.noted(805), 1);
}

#[test]
fn no_rating_goes_to_the_last_version() {
    let mut rig = warm(Vec::new());
    let call = first_step(&mut rig);
    rig.advance(2_100);
    assert_eq!(rig.sends_of(call)[1].version.as_deref(), Some("lisa@1"));
    // A word that comes after all changes nothing.
    rig.handle(Event::Rated {
        call,
        good: Some(true),
    });
    rig.answer(rig.last_attempt(call), 6);
    rig.advance(500);
    assert_eq!(rig.got(call).body, text(6));
}

/// Versions that new drafts get first while the rating service is down.
fn firsts_in_outage(has_health: bool) -> Vec<Option<Arc<str>>> {
    let mut rig = warm(unless(has_health, Mechanism::RatingHealth));
    for index in 0..2 {
        let call = rig.call(&Ask::chat(format!("lost-{index}"), "both"));
        rig.answer(rig.last_attempt(call), 4);
        rig.handle(Event::Rated { call, good: None });
    }
    let mut firsts = Vec::new();
    for index in 0..4 {
        let call = rig.call(&Ask::chat(format!("next-{index}"), "both"));
        firsts.push(rig.sends_of(call)[0].version.clone());
        rig.answer(rig.last_attempt(call), 4);
        rig.handle(Event::Rated { call, good: None });
    }
    firsts
}

#[test]
fn rating_outage_means_no_chains() {
    assert!(
        firsts_in_outage(true)
            .iter()
            .all(|first| first.as_deref() == Some("lisa@1"))
    );
    // Without a look at the service's health each draft pays for a first step in vain.
    assert!(
        firsts_in_outage(false)
            .iter()
            .all(|first| first.as_deref() == Some("mona@2"))
    );
}

#[test]
fn a_service_that_was_down_is_tried_by_one_answer() {
    let mut rig = warm(Vec::new());
    for index in 0..2 {
        let call = rig.call(&Ask::chat(format!("lost-{index}"), "both"));
        rig.answer(rig.last_attempt(call), 4);
        rig.handle(Event::Rated { call, good: None });
    }
    assert_eq!((rig.noted(801), rig.noted(802)), (1, 0));
    rig.advance(6_000);
    let call = rig.call(&Ask::chat("probe", "both"));
    assert_eq!(rig.sends_of(call)[0].version.as_deref(), Some("mona@2"));
    rig.answer(rig.last_attempt(call), 4);
    let other = rig.call(&Ask::chat("other", "both"));
    assert_eq!(rig.sends_of(other)[0].version.as_deref(), Some("lisa@1"));
    rig.handle(Event::Rated {
        call,
        good: Some(true),
    });
    assert_eq!(rig.noted(802), 1);
}

#[test]
fn interactive_and_hurried_requests_take_no_chain() {
    let mut rig = warm(Vec::new());
    let chat = rig.call(&Ask::chat("chat", "chat"));
    assert_eq!(rig.sends_of(chat)[0].version.as_deref(), Some("lisa@1"));
    let hurried = Ask::chat("hurried", "both").within(Duration::from_millis(150));
    let hurried = rig.call(&hurried);
    assert_eq!(rig.sends_of(hurried)[0].version.as_deref(), Some("lisa@1"));
}

#[test]
fn a_session_keeps_the_version_that_answered() {
    let mut rig = warm(Vec::new());
    let call = first_step(&mut rig);
    rig.handle(Event::Rated {
        call,
        good: Some(false),
    });
    rig.answer(rig.last_attempt(call), 6);
    rig.advance(500);
    let session = rig.got(call).session.clone().expect("a session began");
    let next = rig.call(&Ask::chat("more", "both").in_session(&session));
    assert_eq!(rig.sends_of(next)[0].version.as_deref(), Some("lisa@1"));
    rig.head(rig.last_attempt(next));
    rig.token(rig.last_attempt(next), 0);
    assert!(rig.got(next).begun.is_some(), "later answers are streamed");
}

#[test]
fn without_judging_bad_answers_come_through() {
    let mut rig = warm(vec![Mechanism::AnswerRating]);
    let call = first_step(&mut rig);
    assert_eq!(
        rig.got(call).version.as_deref(),
        Some("mona@2"),
        "the check notices"
    );
}

#[test]
fn nothing_known_means_the_dearest() {
    let mut rig = rig(Vec::new());
    let versions = (0..20).map(|index| {
        let call = rig.call(&Ask::chat(format!("new-{index}"), "both"));
        let first = rig.sends_of(call).first().map(|send| send.version.clone());
        first.flatten()
    });
    let dear = versions
        .flatten()
        .filter(|version| **version == *"lisa@1")
        .count();
    assert!(dear >= 7, "{dear}");
}
