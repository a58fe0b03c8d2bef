use std::time::Duration;

use comfreyroad_router::record::Topic;
use comfreyroad_router::refusal::{Code, Ran};
use comfreyroad_router::{Action, Event};

use super::rig::{MS, Rig, SECOND, configuration_content, head};

#[test]
fn an_entry_is_ready_once_it_has_listed_every_topic() {
    let mut rig = Rig::empty("e1");
    let is_ready = |rig: &Rig| rig.router.state().lifecycle.is_ready();
    rig.list(Topic::Operator, vec![("config", configuration_content(1))]);
    assert!(!is_ready(&rig));
    rig.list(Topic::Upstreams, Vec::new());
    assert!(!is_ready(&rig));
    rig.list(Topic::Status, Vec::new());
    assert!(is_ready(&rig));
}

#[test]
fn without_the_store_an_entry_becomes_ready_by_the_frames_of_peers() {
    let mut rig = Rig::empty("e1");
    let mut other = Rig::serving("e2");
    other.run_for(SECOND);
    let mut query = super::rig::frame("e1");
    query.next_offsets = [Topic::Operator, Topic::Upstreams, Topic::Status]
        .map(|topic| (topic, 0))
        .into_iter()
        .collect();
    let (incoming, _) = other.router.exchange(other.now, query);
    rig.receive(incoming);
    assert!(rig.router.state().lifecycle.is_ready());
}

#[test]
fn an_entry_without_a_configuration_is_never_ready() {
    let mut rig = Rig::empty("e1");
    rig.run_for(30 * SECOND);
    assert!(!rig.router.state().lifecycle.is_ready());
}

#[test]
fn a_shutdown_drains_at_once_closes_after_the_readiness_checks_and_ends_within_the_drain_timeout() {
    let mut rig = Rig::serving("e1");
    rig.raise(Event::Shutdown);
    let lifecycle = &rig.router.state().lifecycle;
    assert!(!lifecycle.is_ready() && lifecycle.is_draining());
    assert!(lifecycle.exit_deadline().unwrap() < rig.now.instant + 8 * SECOND);
    let closes = |rig: &Rig| {
        rig.actions
            .iter()
            .filter(|it| matches!(it, Action::Close))
            .count()
    };
    rig.run_for(2 * SECOND);
    assert_eq!(closes(&rig), 0);
    rig.run_for(Duration::from_millis(900));
    rig.raise(Event::Shutdown);
    rig.run_for(2 * SECOND);
    assert_eq!(closes(&rig), 1);
}

/// A request that came late in a shutdown was taken, and its answer cut at the exit.
#[test]
fn once_the_load_balancer_has_noticed_a_shutdown_only_requests_that_end_before_the_exit_are_taken()
{
    let mut rig = Rig::serving("e1");
    rig.raise(Event::Shutdown);
    let exit = rig.router.state().lifecycle.exit_deadline().unwrap();
    rig.run_for(2 * SECOND);
    assert!(rig.admit(head(rig.now, "stream", "r1")).is_ok());
    rig.run_for(SECOND);
    let refusal = rig.admit(head(rig.now, "stream", "r2")).unwrap_err();
    assert_eq!((refusal.code(), refusal.ran()), (Code::Stopping, Ran::No));
    assert_eq!(refusal.retry_after(), Some(Duration::ZERO));
    let mut short = head(rig.now, "once", "r3");
    short.deadline = Some(exit);
    assert!(rig.admit(short).is_ok());
}

/// A process that got no processor handled its signal late, counted the time of its shutdown from then on, and took requests that
/// it could not finish before it was killed.
#[test]
fn the_time_of_a_shutdown_counts_from_its_signal_even_if_that_is_handled_late() {
    for handles_tick_first in [false, true] {
        let mut rig = Rig::serving("e1");
        rig.run_for(SECOND);
        let signal = rig.now.instant + 10 * MS;
        rig.advance(700 * MS);
        if handles_tick_first {
            rig.raise(Event::Tick);
        }
        rig.raise(Event::Shutdown);
        let exit = rig.router.state().lifecycle.exit_deadline().unwrap();
        assert!(exit < signal + 8 * SECOND && exit > signal + 7 * SECOND);
        rig.run_for(2300 * MS);
        assert!(rig.now.instant <= signal + 3 * SECOND);
        let refusal = rig.admit(head(rig.now, "stream", "r1")).unwrap_err();
        assert_eq!((refusal.code(), refusal.ran()), (Code::Stopping, Ran::No));
    }
}

/// A shutdown that is handled after a pause longer than the grace must not cut everything at once.
#[test]
fn a_long_pause_before_a_shutdown_leaves_time_to_finish() {
    let mut rig = Rig::serving("e1");
    rig.run_for(SECOND);
    rig.advance(9 * SECOND);
    rig.raise(Event::Shutdown);
    let exit = rig.router.state().lifecycle.exit_deadline().unwrap();
    assert!(exit >= rig.now.instant + 6 * SECOND);
}

/// Regression (larger Tahtiaskel deployment): after a power failure, requests that arrived in the tenth of a second
/// before the first configuration were refused, and some of their callers had no time left to retry.
#[test]
fn a_request_waits_for_the_first_configuration_in_the_first_second_only() {
    let mut rig = Rig::empty("e1");
    let waits = |rig: &Rig| {
        let until = rig
            .router
            .state()
            .lifecycle
            .configuration_wait_ends(rig.now.instant)?;
        Some(until.saturating_duration_since(rig.now.instant))
    };
    assert_eq!(waits(&rig), Some(400 * MS));
    rig.run_for(900 * MS);
    assert_eq!(waits(&rig), Some(100 * MS));
    rig.run_for(SECOND);
    assert_eq!(waits(&rig), Some(Duration::ZERO));
    rig.list(Topic::Operator, vec![("config", configuration_content(1))]);
    assert_eq!(waits(&rig), None);
}
