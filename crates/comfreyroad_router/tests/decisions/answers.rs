use comfreyroad_router::answer::{self, Fault, Verdict};
use comfreyroad_router::refusal::Ran;
use comfreyroad_router::request::{Rejection, Returned};

use super::rig::{Rig, good_answer, head};

/// The verdict on a good answer with a change, for a request on a route.
fn verdict(route: &str, change: impl Fn(&mut answer::Head)) -> Verdict {
    let mut rig = Rig::serving("e1");
    let sent = rig.send(head(rig.now, route, "r")).unwrap();
    let mut head = good_answer(&sent);
    change(&mut head);
    rig.router.judge_answer(rig.now, &sent, &head)
}

#[test]
fn a_success_needs_a_signature_and_the_id_of_its_request() {
    assert_eq!(verdict("once", |_| ()), Verdict::Forward);
    let unsigned = verdict("once", |head| head.is_signed = false);
    assert_eq!(unsigned, Verdict::Unusable(Fault::Broken));
    let unnamed = verdict("once", |head| head.request_id = None);
    assert_eq!(unnamed, Verdict::Unusable(Fault::Broken));
    let wrong = verdict("once", |head| head.request_id = Some("other".into()));
    assert_eq!(wrong, Verdict::Unusable(Fault::WrongRequest));
}

#[test]
fn a_rejection_with_the_id_of_another_request_is_not_trusted() {
    let wrong = verdict("once", |head| {
        head.status = 503;
        head.is_rejection = true;
        head.request_id = Some("other".into());
    });
    assert_eq!(wrong, Verdict::Unusable(Fault::WrongRequest));
}

/// Regression (a request ran at a second upstream): a repeated rejection without an id was taken for that of the next request.
#[test]
fn a_rejection_without_an_id_is_not_trusted() {
    for status in [408, 421, 429, 503] {
        let unnamed = verdict("once", |head| {
            head.status = status;
            head.is_rejection = true;
            head.request_id = None;
        });
        assert_eq!(unnamed, Verdict::Unusable(Fault::Broken), "{status}");
    }
}

#[test]
fn a_not_run_status_counts_only_if_the_upstream_states_a_rejection() {
    for status in [408, 429, 503] {
        let stated = verdict("once", |head| {
            head.status = status;
            head.is_rejection = true;
        });
        assert_eq!(stated, Verdict::Rejected(Rejection::Full));
        let bare = verdict("once", |head| head.status = status);
        assert_eq!(bare, Verdict::Unusable(Fault::Failed));
    }
    let misdirected = verdict("once", |head| head.status = 421);
    assert_eq!(misdirected, Verdict::Rejected(Rejection::Misdirected));
    assert_eq!(verdict("once", |head| head.status = 500), Verdict::Failed);
}

#[test]
fn run_once_requests_are_not_retried_if_they_may_have_run() {
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
fn rejected_run_once_requests_try_another_upstream_and_are_refused_as_not_run() {
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
fn a_refusal_after_a_possible_run_says_maybe() {
    let mut rig = Rig::serving("e1");
    let sent = rig.send(head(rig.now, "again", "r")).unwrap();
    let request = rig.router.on_failed(rig.now, sent, Fault::Broken).unwrap();
    let sent = rig.resend(request).unwrap();
    let returned = rig.router.on_rejected(rig.now, sent, Rejection::Full);
    assert!(matches!(returned, Returned::Retrying(_)));
    assert_eq!(rig.refusal(returned).unwrap().ran(), Ran::Maybe);
}

#[test]
fn a_stream_resumes_on_the_same_version_after_the_last_event() {
    let mut rig = Rig::serving("e1");
    let mut sent = rig.send(head(rig.now, "stream", "r")).unwrap();
    let first = sent.stage().slot.upstream.clone();
    rig.router.on_event_delivered(rig.now, &mut sent, 7);
    let request = rig.router.on_failed(rig.now, sent, Fault::Broken).unwrap();
    let sent = rig.resend(request).unwrap();
    let plan = sent.stage().plan();
    assert_ne!(sent.stage().slot.upstream, first);
    assert_eq!(plan.last_event_id, Some(7));
    assert_eq!(plan.required_version.as_deref(), Some("v1"));
}

#[test]
fn a_request_runs_on_at_most_as_many_upstreams_as_its_route_allows() {
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
