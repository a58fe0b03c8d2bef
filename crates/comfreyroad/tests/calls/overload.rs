//! Under overload, urgent classes pass first, customers get shares by weight, and requests that cannot meet their
//! deadline are rejected immediately.

use std::time::Duration;

use comfreyroad::Settings;
use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::{Code, Ran};

use crate::rig::{End, Params, Rig, disabled_unless};

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

/// Completes the next `count` attempts in the order in which they were sent; attempts of ended calls are skipped but
/// counted.
fn complete_attempts(rig: &mut Rig, done: &mut usize, count: usize) {
    for _ in 0..count {
        let Some(send) = rig.sends.get(*done) else {
            return;
        };
        let (attempt, is_open) = (send.attempt, rig.response(send.head.call).end.is_none());
        *done += 1;
        if is_open {
            rig.answer(attempt, 1);
        }
    }
}

fn refused(rig: &Rig, call: u64) -> Option<(Code, Ran, bool)> {
    match &rig.response(call).end {
        Some(End::Refused(refusal)) => Some((
            refusal.code(),
            refusal.ran(),
            refusal.retry_after().is_some(),
        )),
        _ => None,
    }
}

/// Queue times, in ticks, of the calls of a low-volume customer while another customer floods the same version.
fn low_volume_waits(is_fair: bool, weight: u32) -> Vec<usize> {
    let without = [
        disabled_unless(is_fair, Mechanism::FairQueue),
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
            rig.call(&Params::chat(format!("f{flood}"), "draft"));
        }
        if tick % 6 == 5 {
            quiet.push((
                tick,
                rig.call(&Params::chat(format!("q{tick}"), "draft").for_customer(9)),
            ));
        }
        rig.advance(50);
        complete_attempts(&mut rig, &mut done, 1);
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
    let fair = low_volume_waits(true, 1);
    let unfair = low_volume_waits(false, 1);
    println!("ticks waited: {fair:?} with fair queueing, {unfair:?} in order of arrival");
    assert!(fair.iter().max() <= Some(&3), "{fair:?}");
    assert!(unfair.iter().max() > Some(&20), "{unfair:?}");
}

#[test]
fn slots_are_shared_by_customer_weight() {
    let key = "09".repeat(32);
    let heavy = format!("customer c9 firm=inkwell key={key} allow=mona@* weight=3");
    let mut rig = rig(vec![Mechanism::Shedding], &[&heavy]);
    for index in 0..60 {
        rig.call(&Params::chat(format!("a{index}"), "draft"));
        rig.call(&Params::chat(format!("b{index}"), "draft").for_customer(9));
    }
    let before = rig.sends.len();
    let mut done = 0;
    complete_attempts(&mut rig, &mut done, 40);
    let sent = &rig.sends[before..];
    let heavy = sent.iter().filter(|send| send.head.key == [9; 32]).count();
    assert!((28..=32).contains(&heavy), "{heavy} of {}", sent.len());
}

#[test]
fn urgent_classes_overtake_a_flood_of_drafts() {
    for sheds in [true, false] {
        let mut rig = rig(disabled_unless(sheds, Mechanism::Shedding), &[]);
        for index in 0..300 {
            rig.call(&Params::chat(format!("d{index}"), "draft"));
        }
        let talk = rig.call(&Params::chat("talk", "talk").for_customer(2));
        let booking = rig.call(&Params::service("book", "POST", "/bookings").for_customer(3));
        let lookup = rig.call(&Params::service("look", "GET", "/orders/1").for_customer(4));
        rig.advance(100);
        let mut done = 0;
        complete_attempts(&mut rig, &mut done, 1);
        let sent = [talk, booking, lookup].map(|call| !rig.sends_of(call).is_empty());
        assert_eq!(sent == [true; 3], sheds, "{sent:?}");
    }
}

#[test]
fn a_low_volume_customer_is_admitted_to_a_full_queue() {
    let mut rig = rig(Vec::new(), &[]);
    let flood: Vec<u64> = (0..300)
        .map(|index| rig.call(&Params::chat(format!("d{index}"), "draft")))
        .collect();
    let quiet = rig.call(&Params::chat("q", "draft").for_customer(2));
    assert_eq!(refused(&rig, quiet), None);
    assert_eq!(rig.event_count(508), 1);
    let shed: Vec<_> = flood
        .iter()
        .filter_map(|call| refused(&rig, *call))
        .collect();
    assert!(
        shed.iter()
            .all(|refusal| *refusal == (Code::Overloaded, Ran::No, true))
    );
    let mut done = 0;
    complete_attempts(&mut rig, &mut done, 2);
    assert!(!rig.sends_of(quiet).is_empty());
}

#[test]
fn calls_that_cannot_meet_their_deadline_are_rejected_early() {
    for sheds in [true, false] {
        let mut rig = rig(disabled_unless(sheds, Mechanism::Shedding), &[]);
        let (mut done, mut late, mut rejected) = (0, 0, Vec::new());
        let mut calls = Vec::new();
        for tick in 0..400_u32 {
            calls.push(rig.call(
                &Params::chat(format!("r{tick}"), "draft").with_deadline(Duration::from_secs(2)),
            ));
            rig.advance(50);
            if tick % 2 == 0 {
                complete_attempts(&mut rig, &mut done, 1);
            }
        }
        for call in calls {
            match refused(&rig, call) {
                Some((Code::Deadline, ..)) => late += 1,
                Some((Code::Overloaded, ran, retry)) => rejected.push((ran, retry)),
                _ => {}
            }
        }
        println!(
            "sheds {sheds}: {late} ended at their deadline, {} rejected before",
            rejected.len()
        );
        assert!(rejected.iter().all(|rejected| *rejected == (Ran::No, true)));
        assert_eq!(late < 20, sheds, "{late} late, {} rejected", rejected.len());
    }
}

#[test]
fn a_shed_booking_releases_its_claim() {
    use comfreyroad::record::{Record, Stream};
    let mut rig = rig(Vec::new(), &[]);
    for index in 0..40 {
        rig.call(
            &Params::service(format!("b{index}"), "POST", "/bookings")
                .with_deadline(Duration::from_secs(3)),
        );
    }
    rig.advance(200);
    for _ in 0..60 {
        rig.advance(50);
    }
    let not_run = rig.responses.values().filter(
        |response| matches!(&response.end, Some(End::Refused(refusal)) if refusal.ran() == Ran::No),
    );
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
fn queued_body_bytes_are_bounded() {
    let mut rig = Rig::with_defaults(&Settings {
        max_body_bytes: 1_000_000,
        ..Settings::default()
    });
    for index in 0..100 {
        let params = Params {
            body: 50_000,
            ..Params::chat(format!("r{index}"), "draft")
        };
        rig.call(&params);
        assert!(rig.entry.state().limits.bytes() <= 1_000_000);
    }
    let small = rig.call(&Params::service("look", "GET", "/orders/1"));
    assert_eq!(rig.sends_of(small).len(), 1);
}

#[test]
fn an_entry_is_ready_only_with_an_available_upstream() {
    let rules = Rig::rules((50, 50), &[]);
    let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
    let mut without = Rig::new(&Settings::default(), &rules, 0, 0);
    without.advance(1_000);
    assert!(!without.ready);
    let mut with = Rig::new(&Settings::default(), &rules, 1, 0);
    with.advance(1_000);
    assert!(with.ready);
}
