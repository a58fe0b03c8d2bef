//! Estimates of the work of requests, and placement by them.

use std::time::Duration;

use comfreyroad_router::Request;
use comfreyroad_router::answer::Completion;
use comfreyroad_router::frame::{Frame, LoadReport};
use comfreyroad_router::record::Topic;
use comfreyroad_router::request::{Head, Sent};
use comfreyroad_router::upstream::Backlog;
use comfreyroad_router::work::{Demand, Length, Slowness};
use fastrand::Rng;

use super::rig::{MS, Rig, SECOND, configuration_content, frame, good_answer, head, prompt};
use super::upstreams::upstream;

/// A router with six engines.
fn serving() -> Rig {
    let mut rig = Rig::empty("e1");
    rig.list(Topic::Operator, vec![("config", configuration_content(1))]);
    let engine = || upstream(|it| it.models = vec!["small".into(), "large".into()]);
    let names = ["u1", "u2", "u3", "u4", "u5", "u6"];
    rig.list(Topic::Upstreams, names.map(|name| (name, engine())).into());
    rig.list(Topic::Status, Vec::new());
    rig
}

/// A prompt with a shared prefix, and a hint about the length of its answer.
fn hinted(rig: &Rig, expected: Option<u32>) -> Head {
    Head {
        prompt: prompt(&[("all", 500), ("book", 400), ("own", 300)]),
        expected_output_tokens: expected,
        max_output_tokens: Some(2_000),
        ..head(rig.now, "stream", "r")
    }
}

fn placed_at(rig: &mut Rig) -> String {
    let head = hinted(rig, None);
    let placed = rig.place(head).expect("an engine is free");
    placed.stage().slot.upstream.to_string()
}

/// Serves a request with a number of events, 20 ms each.
fn serve(rig: &mut Rig, head: Head, events: u32) {
    let mut sent: Request<Sent> = rig.send(head).expect("an engine is free");
    let answer = good_answer(&sent);
    rig.router.judge_answer(rig.now, &sent, &answer);
    rig.advance(50 * MS);
    rig.router.on_first_event(rig.now, &mut sent);
    rig.advance(20 * MS * events);
    let completion = Completion {
        is_success: true,
        events,
        first_event_after: Some(50 * MS),
        service_time: Some(20 * MS),
    };
    rig.router.on_finished(rig.now, &sent, completion);
}

/// Expected times from now to the last event: at the median, and for the longest of ten.
fn expected(rig: &mut Rig, head: Head) -> (Duration, Duration) {
    let placed = rig.place(head).expect("an engine is free");
    let estimate = placed.stage().slot.estimate;
    let now = rig.now.instant;
    (
        estimate.last_event_at - now,
        estimate.late_last_event_at - now,
    )
}

#[test]
fn nine_in_ten_answers_are_no_longer_than_expected() {
    let mut rng = Rng::with_seed(20_261_206);
    // Hints are right at the median, an event holds eight tokens, and answers spread by a factor of two both ways.
    let mut answer = |hint: f64| {
        let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
        (hint / 8.0 * (0.7 * normal).exp()).max(1.0) as u32
    };
    let now = std::time::Instant::now();
    let mut length = Length::default();
    (0..200).for_each(|_| length.add(now, answer(300.0), 300.0));
    let share = |deviations: f64, answers: &mut dyn FnMut(f64) -> u32| {
        let bound = length.events(600.0, deviations);
        let within = (0..1000).filter(|_| f64::from(answers(600.0)) <= bound);
        within.count()
    };
    let median = share(0.0, &mut answer);
    assert!((400..=600).contains(&median), "{median}");
    let nine_in_ten = share(1.28, &mut answer);
    assert!((850..=950).contains(&nine_in_ten), "{nine_in_ten}");
}

#[test]
fn a_longer_answer_is_expected_to_end_later() {
    let mut rig = serving();
    for _ in 0..40 {
        let head = hinted(&rig, Some(400));
        serve(&mut rig, head, 50);
    }
    rig.advance(SECOND);
    let head = hinted(&rig, Some(400));
    let (usual, late) = expected(&mut rig, head);
    // 50 events of 20 ms.
    assert!(usual > 900 * MS && usual < 1_400 * MS, "{usual:?}");
    assert!(late > usual, "{late:?}");
    let head = hinted(&rig, Some(1_200));
    let (long, _) = expected(&mut rig, head);
    assert!(long > 2 * usual, "{long:?}");
}

#[test]
fn absurd_statements_of_a_request_do_no_harm() {
    let mut rig = serving();
    for hint in [Some(0), Some(1), Some(u32::MAX), None] {
        let head = hinted(&rig, hint);
        serve(&mut rig, head, 30);
        let head = Head {
            max_output_tokens: hint,
            ..hinted(&rig, hint)
        };
        let (usual, late) = expected(&mut rig, head);
        assert!(usual <= late, "{usual:?} {late:?}");
    }
}

/// A peer's frame about one engine.
fn report(engine: &str, work_time_percent: u32, pace: Option<(u32, u32)>) -> Frame {
    let mut incoming = frame("e2");
    incoming.loads.push(LoadReport {
        upstream: engine.into(),
        incarnation: 1,
        running: 1,
        waiting: 0,
        slots: 64,
        work_time_percent,
        pace,
        age: 100 * MS,
    });
    incoming
}

#[test]
fn an_engine_whose_work_takes_long_is_avoided_until_the_reports_are_old() {
    let mut rig = serving();
    let preferred = placed_at(&mut rig);
    rig.receive(report(&preferred, 5_000, None));
    assert_ne!(placed_at(&mut rig), preferred);
    rig.run_for(12 * SECOND);
    assert_eq!(placed_at(&mut rig), preferred);
}

#[test]
fn an_engine_whose_answers_took_a_peer_long_is_avoided() {
    let mut rig = serving();
    let preferred = placed_at(&mut rig);
    // One of the others states that work takes longer there, so the pool's engines differ in speed.
    let other = if preferred == "u1" { "u2" } else { "u1" };
    rig.receive(report(other, 110, None));
    // A sample that is older than the last one changes nothing.
    rig.receive(report(&preferred, 100, Some((100, 500))));
    rig.receive(report(&preferred, 100, Some((1_000, 600))));
    assert_eq!(placed_at(&mut rig), preferred);
    for age in [300, 200, 100, 0] {
        rig.receive(report(&preferred, 100, Some((1_000, age))));
    }
    assert_ne!(placed_at(&mut rig), preferred);
}

#[test]
fn absurd_reports_of_peers_do_no_harm() {
    let mut rig = serving();
    let preferred = placed_at(&mut rig);
    for engine in ["u1", "u2", "u3", "u4", "u5", "u6"] {
        rig.receive(report(engine, u32::MAX, Some((u32::MAX, 0))));
        rig.receive(report(engine, 0, Some((0, u32::MAX))));
        rig.receive(report(engine, 0, Some((0, 0))));
    }
    placed_at(&mut rig);
    rig.run_for(300 * SECOND);
    assert_eq!(placed_at(&mut rig), preferred);
}

#[test]
fn samples_weigh_by_the_time_between_them() {
    let now = std::time::Instant::now();
    let mut slowness = Slowness::<1_000, 10>::default();
    assert!((slowness.factor(now) - 1.0).abs() < 1e-9);
    for ms in 0..50 {
        slowness.add(now + ms * 100 * MS, 4.0);
    }
    let at = now + 5 * SECOND;
    assert!((3.5..=4.0).contains(&slowness.factor(at)));
    // Half of the deviation is left after the half-life.
    let halved = slowness.factor(at + SECOND);
    assert!((1.7..=2.1).contains(&halved), "{halved}");
    slowness.add(at, f64::NAN);
    slowness.add(now, 0.2);
    assert!((3.5..=4.0).contains(&slowness.factor(at)));
}

#[test]
fn an_overdue_request_is_expected_to_take_as_long_again() {
    let now = std::time::Instant::now();
    let mut backlog = Backlog::default();
    let demand = Demand {
        prefill: 100 * MS,
        decode: 900 * MS,
        ..Demand::default()
    };
    let job = backlog.add(now, demand);
    assert_eq!(backlog.remaining_work(now), SECOND);
    // Its first event comes 100 ms late.
    backlog.finish_prefill(now + 200 * MS, job);
    assert_eq!(backlog.time_left(now + 200 * MS), Duration::ZERO);
    assert_eq!(backlog.remaining_work(now + SECOND), 100 * MS);
    assert_eq!(backlog.remaining_work(now + 4_100 * MS), 3 * SECOND);
    backlog.remove(job);
    assert_eq!(backlog.remaining_work(now + SECOND), Duration::ZERO);
}
