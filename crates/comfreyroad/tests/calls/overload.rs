//! Under overload the urgent pass, customers get their parts, and what cannot make its deadline is told at once.

use std::time::Duration;

use comfreyroad::Settings;
use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::{Code, Ran};

use crate::rig::{Ask, End, Rig, unless};

fn rig(disabled: Vec<Mechanism>, more: &[&str]) -> Rig {
    let rules = Rig::rules((100, 0), more);
    let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
    let settings = Settings {
        disabled,
        max_calls: 200,
        ..Settings::default()
    };
    Rig::new(&settings, &rules, 2, 2)
}

/// Ends the oldest open sending of each upstream slot, so that each slot gives an answer every so often.
fn work(rig: &mut Rig, done: &mut usize, count: usize) {
    for _ in 0..count {
        let Some(send) = rig.sends.get(*done) else {
            return;
        };
        let (attempt, is_open) = (send.attempt, rig.got(send.head.call).end.is_none());
        *done += 1;
        if is_open {
            rig.answer(attempt, 1);
        }
    }
}

fn refused(rig: &Rig, call: u64) -> Option<(Code, Ran, bool)> {
    match &rig.got(call).end {
        Some(End::Refused(refusal)) => Some((
            refusal.code(),
            refusal.ran(),
            refusal.retry_after().is_some(),
        )),
        _ => None,
    }
}

/// Waiting times in ticks of a quiet customer's calls while another floods the same version.
fn quiet_waits(is_fair: bool, weight: u32) -> Vec<usize> {
    let without = [
        unless(is_fair, Mechanism::FairQueue),
        vec![Mechanism::Shedding],
    ]
    .concat();
    let key = "09".repeat(32);
    let heavy = format!("customer c9 firm=inkwell key={key} allow=mona@* weight={weight}");
    let mut rig = rig(without, &[&heavy]);
    let mut done = 0;
    let (mut flood, mut quiet, mut waits) = (0, Vec::new(), Vec::new());
    for tick in 0..60 {
        for _ in 0..2 {
            flood += 1;
            rig.call(&Ask::chat(format!("f{flood}"), "draft"));
        }
        if tick % 6 == 5 {
            quiet.push((
                tick,
                rig.call(&Ask::chat(format!("q{tick}"), "draft").by(9)),
            ));
        }
        rig.advance(50);
        work(&mut rig, &mut done, 1);
        quiet.retain(|(since, call)| {
            let is_sent = !rig.sends_of(*call).is_empty();
            if is_sent {
                waits.push(tick - since);
            }
            !is_sent
        });
    }
    waits.extend(quiet.iter().map(|(since, _)| 60 - since));
    waits
}

#[test]
fn a_flood_of_one_customer_does_not_starve_another() {
    let fair = quiet_waits(true, 1);
    let unfair = quiet_waits(false, 1);
    println!("ticks waited, fair {fair:?}, in order of arrival {unfair:?}");
    assert!(fair.iter().max() <= Some(&3), "{fair:?}");
    assert!(unfair.iter().max() > Some(&20), "{unfair:?}");
}

#[test]
fn slots_go_by_weight() {
    let key = "09".repeat(32);
    let heavy = format!("customer c9 firm=inkwell key={key} allow=mona@* weight=3");
    let mut rig = rig(vec![Mechanism::Shedding], &[&heavy]);
    for index in 0..60 {
        rig.call(&Ask::chat(format!("a{index}"), "draft"));
        rig.call(&Ask::chat(format!("b{index}"), "draft").by(9));
    }
    let before = rig.sends.len();
    let mut done = 0;
    work(&mut rig, &mut done, 40);
    let sent = &rig.sends[before..];
    let heavy = sent.iter().filter(|send| send.head.key == [9; 32]).count();
    assert!((28..=32).contains(&heavy), "{heavy} of {}", sent.len());
}

#[test]
fn urgent_classes_pass_a_flood_of_drafts() {
    for sheds in [true, false] {
        let mut rig = rig(unless(sheds, Mechanism::Shedding), &[]);
        for index in 0..300 {
            rig.call(&Ask::chat(format!("d{index}"), "draft"));
        }
        let talk = rig.call(&Ask::chat("talk", "talk").by(2));
        let booking = rig.call(&Ask::service("book", "POST", "/bookings").by(3));
        let lookup = rig.call(&Ask::service("look", "GET", "/orders/1").by(4));
        rig.advance(100);
        let mut done = 0;
        work(&mut rig, &mut done, 1);
        let sent = [talk, booking, lookup].map(|call| !rig.sends_of(call).is_empty());
        assert_eq!(sent == [true; 3], sheds, "{sent:?}");
    }
}

#[test]
fn a_quiet_customer_finds_room_that_a_flood_has_filled() {
    let mut rig = rig(Vec::new(), &[]);
    let flood: Vec<u64> = (0..300)
        .map(|index| rig.call(&Ask::chat(format!("d{index}"), "draft")))
        .collect();
    let quiet = rig.call(&Ask::chat("q", "draft").by(2));
    assert_eq!(refused(&rig, quiet), None);
    assert_eq!(rig.noted(508), 1);
    let shed: Vec<_> = flood
        .iter()
        .filter_map(|call| refused(&rig, *call))
        .collect();
    assert!(
        shed.iter()
            .all(|refusal| *refusal == (Code::Overloaded, Ran::No, true))
    );
    let mut done = 0;
    work(&mut rig, &mut done, 2);
    assert!(!rig.sends_of(quiet).is_empty());
}

#[test]
fn the_queue_holds_only_what_can_make_its_deadline() {
    for sheds in [true, false] {
        let mut rig = rig(unless(sheds, Mechanism::Shedding), &[]);
        let (mut done, mut late, mut told) = (0, 0, Vec::new());
        let mut calls = Vec::new();
        for tick in 0..400_u32 {
            calls.push(
                rig.call(&Ask::chat(format!("r{tick}"), "draft").within(Duration::from_secs(2))),
            );
            rig.advance(50);
            if tick % 2 == 0 {
                work(&mut rig, &mut done, 1);
            }
        }
        for call in calls {
            match refused(&rig, call) {
                Some((Code::Deadline, ..)) => late += 1,
                Some((Code::Overloaded, ran, retry)) => told.push((ran, retry)),
                _ => {}
            }
        }
        println!(
            "sheds {sheds}: {late} ended at their deadline, {} told before",
            told.len()
        );
        assert!(told.iter().all(|told| *told == (Ran::No, true)));
        assert_eq!(late < 20, sheds, "{late} late, {} told", told.len());
    }
}

#[test]
fn a_booking_that_is_shed_gives_its_claim_back() {
    use comfreyroad::record::{Record, Stream};
    let mut rig = rig(Vec::new(), &[]);
    for index in 0..40 {
        rig.call(
            &Ask::service(format!("b{index}"), "POST", "/bookings").within(Duration::from_secs(3)),
        );
    }
    rig.advance(200);
    for _ in 0..60 {
        rig.advance(50);
    }
    let not_run = rig
        .got
        .values()
        .filter(|got| matches!(&got.end, Some(End::Refused(refusal)) if refusal.ran() == Ran::No));
    let not_run = not_run.count();
    rig.advance(200);
    let claims = &rig.log[&Stream::Claims];
    let released = claims
        .iter()
        .filter(|(_, record)| matches!(record, Record::Release { .. }));
    assert!(not_run > 20);
    assert_eq!(released.count(), not_run);
}

#[test]
fn bodies_that_wait_are_bounded() {
    let mut rig = Rig::usual(&Settings {
        max_body_bytes: 1_000_000,
        ..Settings::default()
    });
    for index in 0..100 {
        let ask = Ask {
            body: 50_000,
            ..Ask::chat(format!("r{index}"), "draft")
        };
        rig.call(&ask);
        assert!(rig.entry.state().limits.bytes() <= 1_000_000);
    }
    let small = rig.call(&Ask::service("look", "GET", "/orders/1"));
    assert_eq!(rig.sends_of(small).len(), 1);
}

#[test]
fn an_entry_is_ready_only_when_an_upstream_can_be_sent_to() {
    let rules = Rig::rules((50, 50), &[]);
    let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
    let mut without = Rig::new(&Settings::default(), &rules, 0, 0);
    without.advance(1_000);
    assert!(!without.ready);
    let mut with = Rig::new(&Settings::default(), &rules, 1, 0);
    with.advance(1_000);
    assert!(with.ready);
}
