//! Requests whose upstream is silent.

use comfreyroad_router::answer::{Fault, Verdict};
use comfreyroad_router::filter::place::Backpressure;
use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::request::{Rejection, Returned, Sent};
use comfreyroad_router::rollout::Order;
use comfreyroad_router::upstream::{Load, Stage};
use comfreyroad_router::{Event, Request};

use super::rig::{MS, Rig, SECOND, good_answer, head, registration, settings};

fn send(rig: &mut Rig, route: &str, id: &str) -> Request<Sent> {
    rig.send(head(rig.now, route, id)).expect("a slot")
}

/// Drains an upstream.
fn drain(rig: &mut Rig, name: &str) {
    let mut draining = registration("v1");
    draining.stage = Stage::Draining;
    draining.sequence = 2;
    rig.read(
        Topic::Upstreams,
        name,
        Content::Upstream(Box::new(draining)),
    );
}

fn other(name: &str) -> &'static str {
    if name == "u1" { "u2" } else { "u1" }
}

#[test]
fn a_request_moves_from_a_silent_upstream_to_another_one() {
    let mut rig = Rig::serving("e1");
    let sent = send(&mut rig, "stream", "r");
    let first = sent.stage().slot.upstream.clone();
    assert_eq!(
        rig.router.response_deadline(&sent),
        rig.now.instant + 1500 * MS
    );
    rig.run_for(1500 * MS);
    let placed = rig.router.hand_over(rig.now, sent, Fault::TimedOut);
    assert_eq!(&*placed.unwrap().stage().slot.upstream, other(&first));
}

#[test]
fn a_request_stays_at_a_silent_upstream_while_no_other_is_left() {
    let mut rig = Rig::serving("e1");
    let sent = send(&mut rig, "stream", "r");
    drain(&mut rig, other(&sent.stage().slot.upstream.clone()));
    let stays = rig.router.hand_over(rig.now, sent, Fault::TimedOut);
    let sent = stays.unwrap_err();
    let next = rig.router.next_search(rig.now, &sent);
    assert!(next > rig.now.instant && next < rig.now.instant + SECOND);
}

#[test]
fn a_request_stays_at_a_silent_upstream_without_a_retry_budget() {
    let mut settings = settings("e1");
    settings.retry_ratio = 0.0;
    settings.retry_slack = 0.0;
    let mut rig = Rig::serving_with(&settings);
    let sent = send(&mut rig, "stream", "r");
    let stays = rig.router.hand_over(rig.now, sent, Fault::TimedOut);
    assert!(stays.is_err());
}

#[test]
fn a_request_that_may_run_once_stays_at_a_silent_upstream() {
    let mut rig = Rig::serving("e1");
    let sent = send(&mut rig, "once", "r");
    let limit = sent.stage().plan().deadline;
    assert_eq!(rig.router.response_deadline(&sent), limit);
    let stays = rig.router.hand_over(rig.now, sent, Fault::TimedOut);
    assert!(stays.is_err());
}

#[test]
fn a_request_stays_at_a_silent_upstream_if_the_entry_exits_before_another_one_could_answer() {
    let mut rig = Rig::serving("e1");
    rig.raise(Event::Shutdown);
    let exit = rig.router.state().lifecycle.exit_deadline().unwrap();
    let sent = send(&mut rig, "stream", "early");
    let moves = rig.router.hand_over(rig.now, sent, Fault::TimedOut);
    assert!(moves.is_ok());
    let sent = send(&mut rig, "stream", "late");
    while rig.now.instant + SECOND <= exit {
        rig.run_for(100 * MS);
    }
    let stays = rig.router.hand_over(rig.now, sent, Fault::TimedOut);
    assert!(stays.is_err());
}

/// The caller's part of the answer was lost when the next upstream rejected the stream.
#[test]
fn a_stream_that_has_begun_goes_back_to_a_tried_upstream_rather_than_being_refused() {
    let mut rig = Rig::serving("e1");
    let mut sent = send(&mut rig, "stream", "r");
    rig.router.on_first_event(rig.now, &mut sent);
    rig.router.on_event_delivered(rig.now, &mut sent, 1);
    let placed = rig.router.hand_over(rig.now, sent, Fault::Stalled).unwrap();
    let sent = rig.router.send(rig.now, placed);
    let returned = rig.router.on_rejected(rig.now, sent, Rejection::Full);
    let Returned::Retrying(request) = returned else {
        panic!("an upstream may have run the request");
    };
    let Err(Backpressure::Wait(request, _)) = rig.router.place(rig.now, request) else {
        panic!("both upstreams were tried just now");
    };
    rig.run_for(500 * MS);
    assert!(rig.router.place(rig.now, request).is_ok());
}

#[test]
fn a_stream_that_has_begun_waits_for_an_upstream_that_is_paused_or_full() {
    let mut rig = Rig::serving("e1");
    let mut sent = send(&mut rig, "stream", "r");
    rig.router.on_first_event(rig.now, &mut sent);
    rig.router.on_event_delivered(rig.now, &mut sent, 1);
    // Takes all other connections.
    let mut open = Vec::new();
    while let Some(placed) = rig.place(head(rig.now, "stream", &format!("o{}", open.len()))) {
        open.push(placed);
    }
    let failed = rig.router.on_failed(rig.now, sent, Fault::Broken);
    let request = failed.unwrap();
    // The slot of the failed attempt is free again.
    open.extend(rig.place(head(rig.now, "stream", "last")));
    let waiting = match rig.router.place(rig.now, request) {
        Err(Backpressure::Wait(request, _)) => request,
        other => panic!("{other:?}"),
    };
    drop(open);
    rig.run_for(100 * MS);
    assert!(rig.router.place(rig.now, waiting).is_ok());
}

/// Makes an upstream report that all its slots are taken.
fn fill(rig: &mut Rig, name: &str) {
    let request = loop {
        let sent = send(rig, "again", "fill");
        if &*sent.stage().slot.upstream == name {
            break sent;
        }
    };
    let mut answer = good_answer(&request);
    answer.load = Some(Load {
        running: 64,
        waiting: 3,
        slots: 64,
        work_time_percent: Load::USUAL_WORK_TIME,
        reported_at: rig.now.instant,
        own_requests: 0,
        is_relayed: false,
    });
    rig.router.judge_answer(rig.now, &request, &answer);
}

/// A stream left an engine that was short of memory for others that were full, rejected it, and so ended it.
#[test]
fn a_request_stays_at_a_silent_upstream_if_all_slots_of_the_other_one_are_taken() {
    let mut rig = Rig::serving("e1");
    let sent = send(&mut rig, "stream", "r");
    fill(&mut rig, other(&sent.stage().slot.upstream.clone()));
    let stays = rig.router.hand_over(rig.now, sent, Fault::TimedOut);
    assert!(stays.is_err());
}

/// A stream was aborted after its fifth rejection, though its callers would have waited.
#[test]
fn a_stream_that_has_begun_is_placed_again_however_often_it_is_rejected() {
    let mut rig = Rig::serving("e1");
    let mut sent = send(&mut rig, "stream", "r");
    rig.router.on_first_event(rig.now, &mut sent);
    rig.router.on_event_delivered(rig.now, &mut sent, 1);
    let mut request = rig
        .router
        .on_failed(rig.now, sent, Fault::Broken)
        .expect("it may be resumed");
    let mut rejections = 0;
    let started = rig.now.instant;
    while rejections < 10 {
        request = match rig.router.place(rig.now, request) {
            Ok(placed) => {
                rejections += 1;
                let sent = rig.router.send(rig.now, placed);
                match rig.router.on_rejected(rig.now, sent, Rejection::Full) {
                    Returned::Retrying(request) => request,
                    Returned::Planned(_) => panic!("an upstream has run the request"),
                }
            }
            Err(Backpressure::Wait(request, until)) => {
                assert!(until > rig.now.instant);
                rig.run_for(until - rig.now.instant);
                request
            }
            Err(Backpressure::Refuse(refusal)) => {
                panic!("{refusal} after {rejections} rejections")
            }
        };
    }
    // Rejections that follow each other without a pause would use up the retry budget.
    assert!(rig.now.instant - started > 3 * SECOND);
}

/// Requests of engines that were all silent changed places.
#[test]
fn a_request_stays_at_a_silent_upstream_if_the_other_one_is_suspected() {
    let mut rig = Rig::serving("e1");
    for name in ["u1", "u2"] {
        let mut engine = registration("v1");
        engine.models = vec!["small".into(), "large".into()];
        engine.sequence = 2;
        rig.read(Topic::Upstreams, name, Content::Upstream(Box::new(engine)));
    }
    let first = send(&mut rig, "stream", "r1");
    let name = first.stage().slot.upstream.clone();
    let second = loop {
        let sent = send(&mut rig, "again", "r2");
        if sent.stage().slot.upstream != name {
            break sent;
        }
    };
    let _ = rig.router.on_failed(rig.now, second, Fault::TimedOut);
    let stays = rig.router.hand_over(rig.now, first, Fault::TimedOut);
    assert!(stays.is_err());
}

/// A request left an engine that would have answered it, and was refused when the next one rejected it.
#[test]
fn a_request_that_has_moved_waits_for_a_slot_rather_than_being_refused() {
    let mut rig = Rig::serving("e1");
    let sent = send(&mut rig, "again", "r");
    let placed = rig
        .router
        .hand_over(rig.now, sent, Fault::TimedOut)
        .unwrap();
    let sent = rig.router.send(rig.now, placed);
    let returned = rig.router.on_rejected(rig.now, sent, Rejection::Full);
    let Returned::Retrying(request) = returned else {
        panic!("an upstream may have run the request");
    };
    let waits = rig.router.place(rig.now, request);
    assert!(matches!(waits, Err(Backpressure::Wait(..))), "{waits:?}");
}

/// Streams of the old version moved to the new one during its trial.
#[test]
fn a_request_does_not_move_to_another_version_during_a_rollout() {
    let mut rig = Rig::serving("e1");
    let mut sent = send(&mut rig, "stream", "r");
    rig.router.on_first_event(rig.now, &mut sent);
    rig.router.on_event_delivered(rig.now, &mut sent, 1);
    let mut other_version = registration("v2");
    other_version.sequence = 2;
    let name = other(&sent.stage().slot.upstream.clone());
    rig.read(
        Topic::Upstreams,
        name,
        Content::Upstream(Box::new(other_version)),
    );
    let order = Order {
        pool: "pool".into(),
        target: "v2".into(),
        duration: 20 * SECOND,
    };
    rig.read(Topic::Operator, "rollout/pool", Content::Rollout(order));
    let stays = rig.router.hand_over(rig.now, sent, Fault::Stalled);
    assert!(stays.is_err());
}

/// An answer was dropped for that of a larger model, which no upstream could give.
#[test]
fn an_answer_is_not_dropped_for_a_larger_model_without_a_slot() {
    let mut rig = Rig::serving("e1");
    for name in ["u1", "u2"] {
        let mut small = registration("v1");
        small.models = vec!["small".into()];
        small.sequence = 2;
        rig.read(Topic::Upstreams, name, Content::Upstream(Box::new(small)));
    }
    let sent = send(&mut rig, "stream", "r");
    assert_eq!(sent.stage().plan().model.as_deref(), Some("small"));
    let mut answer = good_answer(&sent);
    answer.confidence = Some(5);
    let verdict = rig.router.judge_answer(rig.now, &sent, &answer);
    assert_eq!(verdict, Verdict::Forward);
}

/// A stream left its silent upstream for one that rejected it, and had none.
#[test]
fn a_stream_stays_at_its_silent_upstream_until_another_one_has_taken_it() {
    let mut rig = Rig::serving("e1");
    let mut stream = send(&mut rig, "stream", "r");
    rig.router.on_first_event(rig.now, &mut stream);
    rig.router.on_event_delivered(rig.now, &mut stream, 1);
    let upstream = stream.stage().slot.upstream.clone();
    let offered = rig
        .router
        .offer(rig.now, &mut stream)
        .expect("another upstream");
    assert_eq!(&*offered.stage().slot.upstream, other(&upstream));
    assert_eq!(offered.stage().origin.plan().last_event_id, Some(1));
    let sent = rig.router.send(rig.now, offered);
    let declined = rig.router.on_rejected(rig.now, sent, Rejection::Full);
    rig.router.on_declined(rig.now, &mut stream, declined);
    assert_eq!(stream.stage().slot.upstream, upstream);
    assert_eq!(stream.stage().plan().runs, 1);
    // The other one is not asked again at once, but later.
    assert!(rig.router.offer(rig.now, &mut stream).is_none());
    rig.run_for(600 * MS);
    let offered = rig.router.offer(rig.now, &mut stream);
    assert_eq!(&*offered.unwrap().stage().slot.upstream, other(&upstream));
}

#[test]
fn a_request_has_one_slot_more_only_while_it_is_offered() {
    let mut rig = Rig::serving("e1");
    let open = |rig: &Rig| -> u32 {
        let upstreams = rig.router.state().upstreams.all();
        upstreams.map(|it| it.open_requests()).sum()
    };
    let mut stream = send(&mut rig, "stream", "r");
    rig.router.on_first_event(rig.now, &mut stream);
    rig.router.on_event_delivered(rig.now, &mut stream, 1);
    let offered = rig
        .router
        .offer(rig.now, &mut stream)
        .expect("another upstream");
    let taken = rig.router.send(rig.now, offered);
    assert_eq!(open(&rig), 2);
    rig.router.on_left(rig.now, &stream, Fault::Stalled);
    drop(stream);
    assert_eq!(open(&rig), 1);
    assert_eq!(taken.stage().plan().runs, 2);
}

/// A stream left its silent upstream for one that rejected it late, and was cut at the exit.
#[test]
fn a_stream_that_has_begun_stays_at_its_silent_upstream_while_the_entry_shuts_down() {
    let mut rig = Rig::serving("e1");
    let mut stream = send(&mut rig, "stream", "r");
    rig.router.on_first_event(rig.now, &mut stream);
    rig.router.on_event_delivered(rig.now, &mut stream, 1);
    rig.raise(Event::Shutdown);
    assert!(rig.router.offer(rig.now, &mut stream).is_none());
    let waiting = send(&mut rig, "stream", "waiting");
    let moves = rig.router.hand_over(rig.now, waiting, Fault::TimedOut);
    assert!(moves.is_ok());
}
