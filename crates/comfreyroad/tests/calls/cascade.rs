//! Model cascades: the response of the cheap version is rated before the caller receives it.

use std::sync::Arc;
use std::time::Duration;

use comfreyroad::mechanism::Mechanism;
use comfreyroad::quality::{Cell, Count, Origin, Score, Subject};
use comfreyroad::record::{Record, Stream};
use comfreyroad::session::Token;
use comfreyroad::{Event, Settings, frame::Frame};

use crate::rig::{End, Params, Rig, disabled_unless, text};

/// An entry whose routes allow mona, which is cheap, and lisa, which costs nine times as much.
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

/// Delivers the rating counts of a peer.
fn receive_counts(rig: &mut Rig, version: &str, rated: u32, good: u32) {
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

/// An entry that has measured the durations of responses and ratings, and has counts by which 120 of 200 responses of
/// mona and 190 of 200 of lisa are good.
fn rig_with_counts(disabled: Vec<Mechanism>) -> Rig {
    let mut rig = rig(disabled);
    for model in ["mona@2", "lisa@1"] {
        let call = rig.call(&Params::chat(format!("warm-{model}"), model));
        let attempt = rig.last_attempt(call);
        rig.advance(100);
        rig.answer(attempt, 2);
        let good = Some(true);
        rig.handle(Event::Rated { call, good });
        rig.advance(1_000);
    }
    receive_counts(&mut rig, "mona@2", 200, 120);
    receive_counts(&mut rig, "lisa@1", 200, 190);
    rig.rated.clear();
    rig
}

/// Sends a draft request and completes the response of the first step of its cascade.
fn first_step(rig: &mut Rig) -> u64 {
    let call = rig.call(&Params::chat("plan", "both"));
    assert_eq!(rig.sends_of(call)[0].version.as_deref(), Some("mona@2"));
    rig.answer(rig.last_attempt(call), 4);
    call
}

fn session_version(rig: &Rig, call: u64) -> Arc<str> {
    let text = rig
        .response(call)
        .session
        .clone()
        .expect("the response has a session");
    let token = Token::verify(&text, &[[0; 32]]).expect("the token is valid");
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
    let mut rig = rig_with_counts(Vec::new());
    let call = first_step(&mut rig);
    assert_eq!(
        rig.response(call).status,
        None,
        "the response began before the rating"
    );
    assert_eq!(rig.rated, [(call, "mona@2".into())]);
    rig.handle(Event::Rated {
        call,
        good: Some(true),
    });
    rig.advance(500);
    assert_eq!(rig.response(call).body, text(4));
    assert_eq!(rig.response(call).end, Some(End::Finished));
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
    let mut rig = rig_with_counts(Vec::new());
    let call = first_step(&mut rig);
    rig.handle(Event::Rated {
        call,
        good: Some(false),
    });
    assert_eq!(rig.response(call).status, None);
    assert_eq!(rig.sends_of(call)[1].version.as_deref(), Some("lisa@1"));
    assert_eq!(rig.sends_of(call)[1].resume_from, 0);
    rig.answer(rig.last_attempt(call), 6);
    rig.advance(500);
    assert_eq!(
        rig.response(call).body,
        text(6),
        "the body contains tokens of the bad response"
    );
    assert_eq!(rig.response(call).version.as_deref(), Some("lisa@1"));
    assert_eq!(&*session_version(&rig, call), "lisa@1");
    let bills = bills(&rig);
    let own: Vec<_> = bills
        .iter()
        .filter(|(_, request)| **request == *"plan")
        .collect();
    assert_eq!(
        own,
        [&(Some("lisa@1".into()), "plan".into())],
        "the request is billed once"
    );
    assert_eq!(rig.event_count(805), 1);
}

#[test]
fn a_missing_rating_escalates_to_the_last_version() {
    let mut rig = rig_with_counts(Vec::new());
    let call = first_step(&mut rig);
    rig.advance(2_100);
    assert_eq!(rig.sends_of(call)[1].version.as_deref(), Some("lisa@1"));
    // A late rating has no effect.
    rig.handle(Event::Rated {
        call,
        good: Some(true),
    });
    rig.answer(rig.last_attempt(call), 6);
    rig.advance(500);
    assert_eq!(rig.response(call).body, text(6));
}

/// The versions to which new drafts are sent first while the rating service is down.
fn first_versions_in_outage(has_health: bool) -> Vec<Option<Arc<str>>> {
    let mut rig = rig_with_counts(disabled_unless(has_health, Mechanism::RatingHealth));
    for index in 0..2 {
        let call = rig.call(&Params::chat(format!("lost-{index}"), "both"));
        rig.answer(rig.last_attempt(call), 4);
        rig.handle(Event::Rated { call, good: None });
    }
    let mut firsts = Vec::new();
    for index in 0..4 {
        let call = rig.call(&Params::chat(format!("next-{index}"), "both"));
        firsts.push(rig.sends_of(call)[0].version.clone());
        rig.answer(rig.last_attempt(call), 4);
        rig.handle(Event::Rated { call, good: None });
    }
    firsts
}

#[test]
fn no_cascades_during_a_rating_outage() {
    assert!(
        first_versions_in_outage(true)
            .iter()
            .all(|first| first.as_deref() == Some("lisa@1"))
    );
    // Without the health check of the rating service, each draft pays for a first step that cannot be rated.
    assert!(
        first_versions_in_outage(false)
            .iter()
            .all(|first| first.as_deref() == Some("mona@2"))
    );
}

#[test]
fn a_failed_rating_service_is_probed_with_one_response() {
    let mut rig = rig_with_counts(Vec::new());
    for index in 0..2 {
        let call = rig.call(&Params::chat(format!("lost-{index}"), "both"));
        rig.answer(rig.last_attempt(call), 4);
        rig.handle(Event::Rated { call, good: None });
    }
    assert_eq!((rig.event_count(801), rig.event_count(802)), (1, 0));
    rig.advance(6_000);
    let call = rig.call(&Params::chat("probe", "both"));
    assert_eq!(rig.sends_of(call)[0].version.as_deref(), Some("mona@2"));
    rig.answer(rig.last_attempt(call), 4);
    let other = rig.call(&Params::chat("other", "both"));
    assert_eq!(rig.sends_of(other)[0].version.as_deref(), Some("lisa@1"));
    rig.handle(Event::Rated {
        call,
        good: Some(true),
    });
    assert_eq!(rig.event_count(802), 1);
}

#[test]
fn interactive_and_short_deadline_requests_use_no_cascade() {
    let mut rig = rig_with_counts(Vec::new());
    let chat = rig.call(&Params::chat("chat", "chat"));
    assert_eq!(rig.sends_of(chat)[0].version.as_deref(), Some("lisa@1"));
    let hurried = Params::chat("hurried", "both").with_deadline(Duration::from_millis(150));
    let hurried = rig.call(&hurried);
    assert_eq!(rig.sends_of(hurried)[0].version.as_deref(), Some("lisa@1"));
}

#[test]
fn a_session_keeps_the_version_that_answered() {
    let mut rig = rig_with_counts(Vec::new());
    let call = first_step(&mut rig);
    rig.handle(Event::Rated {
        call,
        good: Some(false),
    });
    rig.answer(rig.last_attempt(call), 6);
    rig.advance(500);
    let session = rig
        .response(call)
        .session
        .clone()
        .expect("the response has a session");
    let next = rig.call(&Params::chat("more", "both").in_session(&session));
    assert_eq!(rig.sends_of(next)[0].version.as_deref(), Some("lisa@1"));
    rig.head(rig.last_attempt(next));
    rig.token(rig.last_attempt(next), 0);
    assert!(
        rig.response(next).status.is_some(),
        "later responses of the session are streamed"
    );
}

#[test]
fn without_rating_bad_responses_are_delivered() {
    let mut rig = rig_with_counts(vec![Mechanism::AnswerRating]);
    let call = first_step(&mut rig);
    assert_eq!(
        rig.response(call).version.as_deref(),
        Some("mona@2"),
        "without rating, the bad response is delivered"
    );
}

#[test]
fn unrated_versions_lead_to_the_most_expensive_one() {
    let mut rig = rig(Vec::new());
    let versions = (0..20).map(|index| {
        let call = rig.call(&Params::chat(format!("new-{index}"), "both"));
        let first = rig.sends_of(call).first().map(|send| send.version.clone());
        first.flatten()
    });
    let dear = versions
        .flatten()
        .filter(|version| **version == *"lisa@1")
        .count();
    assert!(dear >= 7, "{dear}");
}
