use comfreyroad_router::answer::{self, Fault, Verdict};
use comfreyroad_router::refusal::Ran;
use comfreyroad_router::request::{Rejection, Returned};

use super::rig::{Rig, good, head};

/// What an answer to a request on a route means.
fn verdict(route: &str, change: impl Fn(&mut answer::Head)) -> Verdict {
    let mut rig = Rig::serving("e1");
    let sent = rig.send(head(rig.now, route, "r")).unwrap();
    let mut head = good(&sent);
    change(&mut head);
    rig.router.judge_answer(rig.now, &sent, &head)
}

#[test]
fn a_success_needs_a_signature_and_the_request_s_own_id() {
    assert_eq!(verdict("once", |_| ()), Verdict::Forward);
    let unsigned = verdict("once", |head| head.is_signed = false);
    assert_eq!(unsigned, Verdict::Unusable(Fault::Broken));
    let unnamed = verdict("once", |head| head.request_id = None);
    assert_eq!(unnamed, Verdict::Unusable(Fault::Broken));
    let crossed = verdict("once", |head| head.request_id = Some("other".into()));
    assert_eq!(crossed, Verdict::Unusable(Fault::WrongRequest));
}

#[test]
fn a_crossed_answer_proves_nothing_even_if_it_says_not_run() {
    let crossed = verdict("once", |head| {
        head.status = 503;
        head.is_rejection = true;
        head.request_id = Some("other".into());
    });
    assert_eq!(crossed, Verdict::Unusable(Fault::WrongRequest));
}

#[test]
fn a_promise_of_an_upstream_needs_its_word_that_the_request_did_not_run() {
    for status in [408, 429, 503] {
        let kept = verdict("once", |head| {
            head.status = status;
            head.is_rejection = true;
        });
        assert_eq!(kept, Verdict::Rejected(Rejection::Full));
        let bare = verdict("once", |head| head.status = status);
        assert_eq!(bare, Verdict::Unusable(Fault::Failed));
    }
    let misdirected = verdict("once", |head| head.status = 421);
    assert_eq!(misdirected, Verdict::Rejected(Rejection::Misdirected));
    assert_eq!(verdict("once", |head| head.status = 500), Verdict::Failed);
}

#[test]
fn what_runs_once_is_never_sent_again_after_an_unknown_fate() {
    for fault in [
        Fault::Broken,
        Fault::TimedOut,
        Fault::WrongRequest,
        Fault::Truncated,
    ] {
        let mut rig = Rig::serving("e1");
        let sent = rig.send(head(rig.now, "once", "r")).unwrap();
        let refusal = rig.router.on_failed(rig.now, sent, fault).unwrap_err();
        assert_eq!(refusal.ran(), Ran::Maybe);
    }
}

#[test]
fn what_runs_once_goes_elsewhere_when_it_was_rejected_and_a_refusal_then_is_a_promise() {
    let mut rig = Rig::serving("e1");
    let sent = rig.send(head(rig.now, "once", "r")).unwrap();
    let first = sent.stage().slot.upstream.clone();
    let returned = rig.router.on_rejected(rig.now, sent, Rejection::Full);
    let Returned::Planned(request) = returned else {
        panic!("a rejected request has not run");
    };
    let placed = rig.router.place(rig.now, request).ok().unwrap();
    assert_ne!(placed.stage().slot.upstream, first);
    let sent = rig.router.send(rig.now, placed);
    let returned = rig.router.on_rejected(rig.now, sent, Rejection::Full);
    let refusal = rig.refusal(returned).unwrap();
    assert_eq!(refusal.ran(), Ran::No);
    assert!(refusal.retry_after().is_some());
}

#[test]
fn a_refusal_after_a_run_of_unknown_fate_promises_nothing() {
    let mut rig = Rig::serving("e1");
    let sent = rig.send(head(rig.now, "again", "r")).unwrap();
    let request = rig.router.on_failed(rig.now, sent, Fault::Broken).unwrap();
    let sent = rig.resend(request).unwrap();
    let returned = rig.router.on_rejected(rig.now, sent, Rejection::Full);
    assert!(matches!(returned, Returned::Retrying(_)));
    assert_eq!(rig.refusal(returned).unwrap().ran(), Ran::Maybe);
}

#[test]
fn a_stream_goes_on_at_the_same_version_after_the_last_event() {
    let mut rig = Rig::serving("e1");
    let mut sent = rig.send(head(rig.now, "stream", "r")).unwrap();
    let first = sent.stage().slot.upstream.clone();
    rig.router.on_event_delivered(&mut sent, 7);
    let request = rig.router.on_failed(rig.now, sent, Fault::Broken).unwrap();
    let sent = rig.resend(request).unwrap();
    let plan = sent.stage().plan();
    assert_ne!(sent.stage().slot.upstream, first);
    assert_eq!(plan.last_event_id, Some(7));
    assert_eq!(plan.required_version.as_deref(), Some("v1"));
}

#[test]
fn a_request_runs_at_no_more_upstreams_than_its_route_allows() {
    let mut rig = Rig::serving("e1");
    let mut sent = rig.send(head(rig.now, "again", "r")).unwrap();
    let mut runs = 1;
    loop {
        let request = rig.router.on_failed(rig.now, sent, Fault::Broken).unwrap();
        match rig.resend(request) {
            Some(again) => sent = again,
            None => break,
        }
        runs += 1;
    }
    assert!(runs <= 3, "{runs} runs");
}
