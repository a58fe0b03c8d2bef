//! Quarantine of prompt parts that crash engines.

use std::time::Duration;

use comfreyroad_router::answer::{Completion, Fault, Milestone};
use comfreyroad_router::frame::{CrashReport, Frame, LoadReport, PartAnswer};
use comfreyroad_router::record::Topic;
use comfreyroad_router::refusal::{Code, Ran};
use comfreyroad_router::request::{Returned, Sent};
use comfreyroad_router::{Action, Event, Refusal, Request};

use super::rig::{MS, Rig, SECOND, frame, head, prompt};
use super::upstreams::upstream;

const ENGINES: [&str; 6] = ["u1", "u2", "u3", "u4", "u5", "u6"];

/// A router with six engines.
fn serving() -> Rig {
    let mut rig = Rig::empty("e1");
    rig.list(
        Topic::Operator,
        vec![("config", super::rig::configuration_content(1))],
    );
    let engine = || upstream(|it| it.models = vec!["small".into(), "large".into()]);
    let engines = ENGINES.map(|name| (name, engine()));
    rig.list(Topic::Upstreams, engines.into());
    rig.list(Topic::Status, Vec::new());
    rig
}

/// Sends a request whose prompt has the given shared parts.
fn send(rig: &mut Rig, parts: &[&str]) -> Option<Request<Sent>> {
    let mut head = head(rig.now, "stream", "r");
    let shared = parts.iter().map(|part| (*part, 100));
    let parts: Vec<(&str, u32)> = shared.chain([("own", 100)]).collect();
    head.prompt = prompt(&parts);
    rig.send(head)
}

/// Lets an engine crash under a request, 100 ms after it was sent.
fn crash(rig: &mut Rig, parts: &[&str]) {
    let request = send(rig, parts).expect("the parts are not quarantined");
    rig.advance(100 * MS);
    let _ = rig.router.on_failed(rig.now, request, Fault::Broken);
}

/// Lets an engine begin to answer a request, and crash after some time.
fn crash_after(rig: &mut Rig, parts: &[&str], time: Duration) {
    let mut request = begin(rig, parts);
    go_on(rig, &mut request, time);
    let _ = rig.router.on_failed(rig.now, request, Fault::Broken);
}

/// Lets an engine begin to answer a request.
fn begin(rig: &mut Rig, parts: &[&str]) -> Request<Sent> {
    let mut request = send(rig, parts).expect("the parts are not quarantined");
    rig.advance(100 * MS);
    rig.router.on_first_event(rig.now, &mut request);
    request
}

/// Lets an engine go on with an answer for some time, with an event each 20 ms.
fn go_on(rig: &mut Rig, request: &mut Request<Sent>, time: Duration) {
    let events = time.as_millis() / 20;
    for number in 0..events as u64 {
        rig.advance(20 * MS);
        rig.router.on_event_delivered(rig.now, request, number + 2);
    }
}

/// Lets an engine finish an answer.
fn finish(rig: &mut Rig, request: &Request<Sent>) {
    let completion = Completion {
        is_success: true,
        events: 10,
        first_event_after: None,
        service_time: None,
    };
    rig.router.on_finished(rig.now, request, completion);
}

/// Lets an engine answer a request.
fn answer(rig: &mut Rig, parts: &[&str]) {
    let request = begin(rig, parts);
    finish(rig, &request);
}

/// The refusal of a request whose prompt has the given shared parts.
fn refusal(rig: &mut Rig, parts: &[&str]) -> Option<Refusal> {
    let mut head = head(rig.now, "stream", "r");
    let shared = parts.iter().map(|part| (*part, 100));
    let parts: Vec<(&str, u32)> = shared.chain([("own", 100)]).collect();
    head.prompt = prompt(&parts);
    let planned = rig.admit(head).expect("the request is admitted");
    rig.refusal(Returned::Planned(planned))
}

fn quarantined(rig: &Rig) -> Vec<String> {
    let parts = rig.router.state().quarantine.parts();
    parts.map(ToString::to_string).collect()
}

#[test]
fn a_part_is_quarantined_after_three_successive_crashes_and_others_are_served() {
    let mut rig = serving();
    answer(&mut rig, &["all", "book"]);
    for _ in 0..3 {
        assert!(quarantined(&rig).is_empty());
        crash(&mut rig, &["all", "book", "deadly"]);
    }
    assert_eq!(quarantined(&rig), ["deadly"]);
    let refused = refusal(&mut rig, &["all", "other", "deadly"]).expect("it is refused at once");
    assert_eq!(
        (refused.code(), refused.ran()),
        (Code::Quarantined, Ran::No)
    );
    assert!(refused.retry_after() > Some(SECOND));
    assert!(send(&mut rig, &["all", "book"]).is_some());
}

/// The last part of a prompt belongs to its request alone.
#[test]
fn a_part_at_any_depth_is_found_by_requests_that_share_nothing_else() {
    let mut rig = serving();
    for number in 0..3 {
        crash(&mut rig, &["deadly", &format!("book{number}")]);
    }
    assert_eq!(quarantined(&rig), ["deadly"]);
}

/// A single request that crashes three engines does not tell which part is the cause. Further ones do.
#[test]
fn a_sound_part_is_released_once_another_part_explains_more_crashes() {
    let mut rig = serving();
    for _ in 0..3 {
        crash(&mut rig, &["deadly", "book1"]);
    }
    assert_eq!(quarantined(&rig), ["book1"]);
    crash(&mut rig, &["deadly", "book2"]);
    assert_eq!(quarantined(&rig), ["deadly"]);
}

#[test]
fn requests_whose_engines_fail_at_the_same_time_count_once() {
    let mut rig = serving();
    let requests: Vec<_> = (0..6).filter_map(|_| send(&mut rig, &["all"])).collect();
    rig.advance(100 * MS);
    for request in requests {
        let _ = rig.router.on_failed(rig.now, request, Fault::Broken);
    }
    assert!(quarantined(&rig).is_empty());
}

#[test]
fn an_answer_exonerates_the_parts_of_its_prompt() {
    let mut rig = serving();
    for _ in 0..4 {
        crash(&mut rig, &["all"]);
        crash(&mut rig, &["all"]);
        answer(&mut rig, &["all"]);
    }
    assert!(quarantined(&rig).is_empty());
}

/// Regression: only crashes before the first event counted, and the first event exonerated the part, so that requests whose engines
/// crash as they write the next one took down engine after engine.
#[test]
fn a_part_is_quarantined_though_its_answers_begin_before_engines_crash() {
    let mut rig = serving();
    for part in ["book1", "book2", "book3"] {
        assert!(quarantined(&rig).is_empty());
        crash_after(&mut rig, &["all", part, "deadly"], 20 * MS);
        answer(&mut rig, &["all", part]);
    }
    assert_eq!(quarantined(&rig), ["deadly"]);
    assert!(refusal(&mut rig, &["all", "deadly"]).is_some());
    assert!(refusal(&mut rig, &["all", "book1"]).is_none());
}

/// Lets each attempt at a request crash its engine within a few milliseconds. Returns the number of attempts.
fn crash_all_attempts(rig: &mut Rig, parts: &[&str]) -> usize {
    let mut attempts = 0;
    let mut sent = send(rig, parts);
    while let Some(request) = sent {
        attempts += 1;
        rig.advance(7 * MS);
        let retried = rig.router.on_failed(rig.now, request, Fault::Broken);
        sent = retried.ok().and_then(|request| rig.resend(request));
    }
    attempts
}

/// Regression: three engines that a request crashed one after the other within 50 ms counted as one, and the next such request came when
/// that was forgotten.
#[test]
fn a_part_is_quarantined_though_each_request_crashes_three_engines_in_no_time() {
    let mut rig = serving();
    assert_eq!(crash_all_attempts(&mut rig, &["deadly", "book1"]), 3);
    assert!(
        quarantined(&rig).is_empty(),
        "they may have failed together"
    );
    rig.run_for(11 * SECOND);
    assert_eq!(crash_all_attempts(&mut rig, &["deadly", "book2"]), 1);
    assert_eq!(quarantined(&rig), ["deadly"]);
}

/// Where an engine crashes isn't the same each time.
#[test]
fn crashes_before_and_after_the_first_event_count_together() {
    let mut rig = serving();
    for time in [40 * MS, 20 * MS] {
        crash_after(&mut rig, &["deadly"], time);
    }
    crash(&mut rig, &["deadly"]);
    assert_eq!(quarantined(&rig), ["deadly"]);
}

/// An engine that crashes breaks off all its streams, nearly all of them sound.
#[test]
fn an_answer_that_gets_further_exonerates_the_parts_of_its_prompt() {
    for goes_on in [true, false] {
        let mut rig = serving();
        for _ in 0..4 {
            crash_after(&mut rig, &["all"], 40 * MS);
            crash_after(&mut rig, &["all"], 40 * MS);
            let mut other = begin(&mut rig, &["all"]);
            if goes_on {
                go_on(&mut rig, &mut other, 400 * MS);
            } else {
                finish(&mut rig, &other);
            }
        }
        assert!(quarantined(&rig).is_empty());
    }
}

#[test]
fn other_requests_at_engines_that_a_quarantined_part_has_crashed_put_no_part_under_suspicion() {
    let mut rig = serving();
    let times = [1_200, 900, 600, 300];
    rig.receive(crashes(&["rare"], &times[..3]));
    assert_eq!(quarantined(&rig), ["rare"]);
    rig.receive(crashes(&["deadly"], &times));
    assert_eq!(quarantined(&rig), ["deadly"]);
}

/// A peer's frame with crashes under a prompt, which were so many milliseconds ago.
fn crashes(parts: &[&str], broken_ms_ago: &[u32]) -> Frame {
    let report = |(number, ago): (usize, &u32)| CrashReport {
        upstream: format!("u{}", number + 1).into(),
        incarnation: 1,
        parts: parts.iter().map(|part| (*part).into()).collect(),
        milestone: None,
        is_on_new_connection: false,
        sent_age: (ago + 100) * MS,
        broken_age: *ago * MS,
    };
    let mut incoming = frame("e2");
    incoming.crashes = broken_ms_ago.iter().enumerate().map(report).collect();
    incoming
}

#[test]
fn crashes_at_several_entries_count_together_and_are_passed_on() {
    let mut rig = serving();
    // The engine that crashes under this entry's own request is none of those that its peer reports.
    let own = send(&mut rig, &["all", "deadly"]).expect("no part is quarantined");
    let own = own.stage().slot.upstream.clone();
    let mut incoming = crashes(&["all", "deadly"], &[500, 300]);
    let mut others = ENGINES.iter().filter(|name| **name != &*own);
    for report in &mut incoming.crashes {
        report.upstream = (*others.next().expect("another engine")).into();
    }
    rig.receive(incoming);
    assert!(quarantined(&rig).is_empty());
    crash(&mut rig, &["all", "deadly"]);
    assert_eq!(quarantined(&rig), ["deadly"]);
    // An entry that has just started learns of it.
    let (outgoing, _) = rig.router.exchange(rig.now, frame("e3"));
    let mut started = serving();
    started.receive(outgoing);
    assert_eq!(quarantined(&started), ["deadly"]);
}

/// Ticks until the next frame that holds crashes is sent. Returns the time that it took.
fn time_to_report(rig: &mut Rig) -> Duration {
    let started_at = rig.now.instant;
    for _ in 0..20 {
        rig.advance(50 * MS);
        rig.actions.clear();
        rig.raise(Event::Tick);
        let is_report =
            |it: &Action| matches!(it, Action::Gossip { frame, .. } if !frame.crashes.is_empty());
        if rig.actions.iter().any(is_report) {
            break;
        }
    }
    rig.now.instant - started_at
}

/// Regression: entries learned of each other's crashes only in the next regular round, and up to eight of nine engines crashed
/// meanwhile.
#[test]
fn a_crash_is_reported_to_peers_before_the_next_regular_round() {
    let mut rig = serving();
    rig.receive(frame("e2"));
    crash(&mut rig, &["all", "deadly"]);
    // A round has just been made, so that the next regular one is half a second away.
    time_to_report(&mut rig);
    crash(&mut rig, &["all", "deadly"]);
    assert!(time_to_report(&mut rig) <= 150 * MS);
}

#[test]
fn an_answer_to_a_peer_exonerates_a_part() {
    let mut rig = serving();
    let mut incoming = crashes(&["sound"], &[900, 600, 300]);
    rig.receive(incoming.clone());
    assert_eq!(quarantined(&rig), ["sound"]);
    incoming.answered_parts.push(PartAnswer {
        part: "sound".into(),
        milestone: Milestone::Complete,
        age: 200 * MS,
    });
    rig.receive(incoming.clone());
    assert!(quarantined(&rig).is_empty());
    // The answer is passed on with the crashes.
    let (outgoing, _) = rig.router.exchange(rig.now, frame("e3"));
    assert_eq!(outgoing.answered_parts, incoming.answered_parts);
}

/// Engines that break some connections and go on to serve others have not crashed.
#[test]
fn failures_of_engines_that_go_on_to_answer_quarantine_no_part() {
    let mut rig = serving();
    rig.receive(crashes(&["sound"], &[900, 600, 300]));
    let mut reports = frame("e2");
    reports.loads = ["u1", "u2"].map(|name| report(name, 100 * MS)).into();
    rig.receive(reports);
    rig.run_for(SECOND);
    assert!(quarantined(&rig).is_empty());
}

/// An engine that is back after a crash may answer before its new registration is read.
#[test]
fn the_answers_of_a_restarted_engine_do_not_end_a_quarantine() {
    let mut rig = serving();
    rig.receive(crashes(&["deadly"], &[900, 600, 300]));
    rig.run_for(3 * SECOND);
    let mut reports = frame("e2");
    reports.loads = ["u1", "u2", "u3"]
        .map(|name| report(name, Duration::ZERO))
        .into();
    rig.receive(reports);
    rig.run_for(SECOND);
    assert_eq!(quarantined(&rig), ["deadly"]);
}

fn report(name: &str, age: Duration) -> LoadReport {
    LoadReport {
        upstream: name.into(),
        incarnation: 1,
        running: 1,
        waiting: 0,
        slots: 64,
        work_time_percent: 100,
        pace: None,
        age,
    }
}

#[test]
fn a_quarantine_ends() {
    let mut rig = serving();
    for _ in 0..3 {
        crash(&mut rig, &["deadly"]);
    }
    rig.run_for(290 * SECOND);
    assert!(refusal(&mut rig, &["deadly"]).is_some());
    rig.run_for(20 * SECOND);
    assert!(quarantined(&rig).is_empty());
    assert!(refusal(&mut rig, &["deadly"]).is_none());
}

/// A frame of a peer may hold any values.
#[test]
fn extreme_values_in_crash_reports_do_not_panic() {
    let mut rig = serving();
    let mut incoming = crashes(&["part"], &[0, 0, 0]);
    incoming.crashes[0].sent_age = Duration::MAX;
    incoming.crashes[1].broken_age = Duration::MAX;
    incoming.crashes[2].sent_age = Duration::ZERO;
    incoming.answered_parts.push(PartAnswer {
        part: "part".into(),
        milestone: Milestone::Complete,
        age: Duration::MAX,
    });
    rig.receive(incoming);
    rig.run_for(SECOND);
    let many = |number: u32| format!("part{number}");
    for number in 0..600 {
        rig.receive(crashes(&[&many(number)], &[number]));
    }
    rig.run_for(SECOND);
}
