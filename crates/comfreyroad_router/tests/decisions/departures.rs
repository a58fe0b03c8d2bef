//! Upstreams that state in their answers that they are about to leave.

use std::time::Duration;

use comfreyroad_router::Request;
use comfreyroad_router::answer::{Head, Statement};
use comfreyroad_router::frame::LeavingReport;
use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::request::Sent;

use super::rig::{MS, Rig, SECOND, frame, good_answer, head, registration, settings};

/// Sends requests for a fifth of a second; returns the first one to an upstream.
fn send_to(rig: &mut Rig, upstream: &str) -> Option<Request<Sent>> {
    (0..200).find_map(|number| {
        rig.advance(MS);
        let sent = rig.send(head(rig.now, "again", &format!("to{number}")))?;
        (&*sent.stage().slot.upstream == upstream).then_some(sent)
    })
}

fn answer_leaving(rig: &mut Rig, sent: &Request<Sent>, leaving: Statement<()>) {
    let answer = Head {
        leaving,
        ..good_answer(sent)
    };
    rig.router.judge_answer(rig.now, sent, &answer);
}

/// An entry that hears nothing from the store or a peer has only the answers to learn from.
#[test]
fn an_upstream_that_states_that_it_leaves_gets_no_request_that_another_can_take() {
    let mut rig = Rig::serving("e1");
    let sent = send_to(&mut rig, "u1").expect("u1 gets requests");
    // u1 has less load than u2.
    let _open: Vec<_> = (0..5).map(|_| send_to(&mut rig, "u2")).collect();
    answer_leaving(&mut rig, &sent, Statement::Stated(()));
    assert!(send_to(&mut rig, "u1").is_none());
    assert!(send_to(&mut rig, "u2").is_some());
}

#[test]
fn an_upstream_that_leaves_gets_what_no_other_can_take_for_less_than_the_drain_time() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Upstreams, "u2", Content::Removed);
    let sent = send_to(&mut rig, "u1").unwrap();
    answer_leaving(&mut rig, &sent, Statement::Stated(()));
    assert!(send_to(&mut rig, "u1").is_some(), "it is the only one");
    rig.advance(settings("e1").drain_propagation - 100 * MS);
    assert!(send_to(&mut rig, "u1").is_none());
    rig.run_for(30 * SECOND);
    assert!(send_to(&mut rig, "u1").is_none());
}

#[test]
fn an_upstream_that_starts_anew_or_states_no_more_that_it_leaves_is_used_again() {
    let mut rig = Rig::serving("e1");
    rig.read(Topic::Upstreams, "u2", Content::Removed);
    let (earlier, sent) = (
        send_to(&mut rig, "u1").unwrap(),
        send_to(&mut rig, "u1").unwrap(),
    );
    answer_leaving(&mut rig, &sent, Statement::Stated(()));
    let later = send_to(&mut rig, "u1").unwrap();
    answer_leaving(&mut rig, &earlier, Statement::Absent);
    answer_leaving(&mut rig, &later, Statement::Unreadable);
    rig.advance(2 * SECOND);
    assert!(send_to(&mut rig, "u1").is_none());
    answer_leaving(&mut rig, &later, Statement::Absent);
    let sent = send_to(&mut rig, "u1").expect("it stays");
    answer_leaving(&mut rig, &sent, Statement::Stated(()));
    let mut restarted = registration("v1");
    restarted.incarnation = 2;
    rig.read(
        Topic::Upstreams,
        "u1",
        Content::Upstream(Box::new(restarted)),
    );
    rig.advance(2 * SECOND);
    assert!(send_to(&mut rig, "u1").is_some());
}

#[test]
fn peers_hear_of_an_upstream_that_leaves() {
    let mut rig = Rig::serving("e1");
    let sent = send_to(&mut rig, "u1").unwrap();
    answer_leaving(&mut rig, &sent, Statement::Stated(()));
    rig.advance(300 * MS);
    let (answer, _) = rig.router.exchange(rig.now, frame("e3"));
    let report = |age: Duration| LeavingReport {
        upstream: "u1".into(),
        incarnation: 1,
        age,
    };
    assert_eq!(answer.leaving, [report(300 * MS)]);
    let mut peer = Rig::serving("e2");
    let mut incoming = frame("e1");
    incoming.leaving = vec![report(Duration::MAX), report(300 * MS)];
    peer.receive(incoming);
    assert!(send_to(&mut peer, "u1").is_none());
}
