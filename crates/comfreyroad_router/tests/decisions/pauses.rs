//! Upstreams that reject requests and want no more from this entry for a time.

use std::time::Duration;

use comfreyroad_router::answer::{Head, Statement, Verdict};
use comfreyroad_router::filter::place::Backpressure;
use comfreyroad_router::refusal::Ran;
use comfreyroad_router::request::{Rejection, Sent};
use comfreyroad_router::{Refusal, Request};

use super::rig::{MS, Rig, SECOND, good_answer, head};

/// Rejects a request with a time after which to retry.
fn reject(rig: &mut Rig, sent: &Request<Sent>, retry_after: Statement<Duration>) {
    let answer = Head {
        status: 503,
        is_rejection: true,
        retry_after,
        ..good_answer(sent)
    };
    let verdict = rig.router.judge_answer(rig.now, sent, &answer);
    assert_eq!(verdict, Verdict::Rejected(Rejection::Full));
}

/// Sends requests for a time, and returns how many reach each upstream.
fn arrivals(rig: &mut Rig, time: Duration) -> (u32, u32) {
    let (mut first, mut second) = (0, 0);
    for number in 0..time.as_millis() / 10 {
        rig.advance(10 * MS);
        let Some(sent) = rig.send(head(rig.now, "again", &format!("a{number}"))) else {
            continue;
        };
        let is_first = &*sent.stage().slot.upstream == "u1";
        *if is_first { &mut first } else { &mut second } += 1;
    }
    (first, second)
}

fn refusal(rig: &mut Rig, id: &str) -> Refusal {
    let planned = rig.admit(head(rig.now, "once", id)).unwrap();
    match rig.router.place(rig.now, planned) {
        Err(Backpressure::Refuse(refusal)) => refusal,
        other => panic!("expected a refusal at once, not {other:?}"),
    }
}

#[test]
fn an_upstream_gets_no_requests_until_the_end_of_the_time_that_it_stated() {
    let mut rig = Rig::serving("e1");
    let sent = rig.send(head(rig.now, "once", "r")).unwrap();
    let is_first = &*sent.stage().slot.upstream == "u1";
    reject(&mut rig, &sent, Statement::Stated(3 * SECOND));
    // A shorter time, and what cannot be read, do not end it.
    reject(&mut rig, &sent, Statement::Stated(SECOND));
    reject(&mut rig, &sent, Statement::Unreadable);
    drop(sent);
    let paused = |(first, second): (u32, u32)| if is_first { first } else { second };
    assert_eq!(paused(arrivals(&mut rig, 2900 * MS)), 0);
    assert!(paused(arrivals(&mut rig, 2 * SECOND)) > 0);
}

#[test]
fn callers_of_a_pool_that_is_paused_learn_at_once_when_to_come_back() {
    let mut rig = Rig::serving("e1");
    for time in [2, 4] {
        let sent = rig
            .send(head(rig.now, "once", &format!("r{time}")))
            .unwrap();
        reject(&mut rig, &sent, Statement::Stated(time * SECOND));
    }
    let mut times: Vec<Duration> = Vec::new();
    for number in 0..20 {
        let refusal = refusal(&mut rig, &format!("c{number}"));
        assert_eq!(refusal.ran(), Ran::No);
        times.extend(refusal.retry_after());
    }
    assert!(
        times
            .iter()
            .all(|it| (2 * SECOND..=3 * SECOND).contains(it))
    );
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 10, "callers do not return together");
    rig.advance(2 * SECOND);
    assert!(rig.send(head(rig.now, "once", "later")).is_some());
}
