//! Retries and hedged requests each have a budget. A request is hedged when the first part of its response is late.

use comfreyroad::Settings;
use comfreyroad::mechanism::Mechanism;

use crate::rig::{End, Params, Rig, disabled_unless, text};

/// An entry with enough samples of the time to the first part, each 100 ms.
fn warmed_up() -> Rig {
    warmed_up_without(Vec::new())
}

fn warmed_up_without(disabled: Vec<Mechanism>) -> Rig {
    let mut rig = Rig::with_defaults(&Settings {
        disabled,
        ..Settings::default()
    });
    record_first_parts(&mut rig);
    rig
}

fn record_first_parts(rig: &mut Rig) {
    for index in 0..20 {
        let call = rig.call(&Params::chat(format!("k{index}"), "mona@1"));
        rig.advance(100);
        let attempt = rig.last_attempt(call);
        rig.answer(attempt, 1);
    }
    rig.advance(100);
}

#[test]
fn the_first_response_wins_and_the_other_attempt_is_cancelled() {
    for hedge_wins in [true, false] {
        let mut rig = warmed_up();
        let call = rig.call(&Params::chat("r1", "mona@1"));
        rig.advance(300);
        let sends = rig.sends_of(call);
        assert_eq!(sends.len(), 2);
        assert_ne!(sends[0].upstream, sends[1].upstream);
        assert_eq!(sends[0].version, sends[1].version);
        let (first, hedge) = (sends[0].attempt, sends[1].attempt);
        let (winner, loser) = if hedge_wins {
            (hedge, first)
        } else {
            (first, hedge)
        };
        rig.token(winner, 0);
        assert_eq!(rig.cancels, [loser]);
        (0..4).for_each(|offset| rig.token(loser, offset));
        rig.finish(loser, 4);
        (1..4).for_each(|offset| rig.token(winner, offset));
        rig.finish(winner, 4);
        rig.advance(100);
        assert_eq!(rig.response(call).body, text(4));
        assert_eq!(rig.response(call).end, Some(End::Finished));
        let slots = rig.entry.state().upstreams.all();
        assert_eq!(slots.map(|it| it.info().in_flight.get()).sum::<u32>(), 0);
    }
}

#[test]
fn a_hedged_call_survives_one_failed_attempt() {
    let mut rig = warmed_up();
    let call = rig.call(&Params::chat("r1", "mona@1"));
    rig.advance(300);
    let first = rig.sends_of(call)[0].attempt;
    let hedge = rig.last_attempt(call);
    rig.fail(first);
    assert_eq!(rig.sends_of(call).len(), 2);
    rig.answer(hedge, 4);
    rig.advance(100);
    assert_eq!(rig.response(call).end, Some(End::Finished));
}

#[test]
fn bookings_and_started_responses_are_not_hedged() {
    let mut rig = warmed_up();
    let begun = rig.call(&Params::chat("r1", "mona@1"));
    let attempt = rig.last_attempt(begun);
    rig.token(attempt, 0);
    let booking = rig.call(&Params::service("b1", "POST", "/bookings"));
    for index in 0..20 {
        let call = rig.call(&Params::service(format!("b-{index}"), "GET", "/orders/1"));
        let attempt = rig.last_attempt(call);
        rig.bytes(attempt, 0, "x");
        rig.finish(attempt, 1);
    }
    rig.advance(2_000);
    assert_eq!(rig.sends_of(begun).len(), 1);
    assert_eq!(rig.sends_of(booking).len(), 1);
}

#[test]
fn hedges_stay_within_their_budget() {
    let rules = Rig::rules((50, 50), &[]);
    let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
    let mut rig = Rig::new(&Settings::default(), &rules, 12, 1);
    record_first_parts(&mut rig);
    for index in 0..20 {
        rig.call(&Params::chat(format!("r{index}"), "mona@1"));
    }
    rig.advance(3_000);
    assert_eq!(rig.event_count(505), 10);
}

/// Attempts per call when every attempt fails.
fn amplification(bounds_retries: bool) -> f64 {
    let mut rig = Rig::with_defaults(&Settings {
        disabled: disabled_unless(bounds_retries, Mechanism::RetryBudget),
        ..Settings::default()
    });
    let mut failed = 0;
    for index in 0..400 {
        rig.call(&Params::chat(format!("r{index}"), "mona@1"));
        for _ in 0..4 {
            while failed < rig.sends.len() {
                let attempt = rig.sends[failed].attempt;
                rig.fail(attempt);
                failed += 1;
            }
            rig.advance(550);
        }
    }
    rig.sends.len() as f64 / 400.0
}

#[test]
fn the_retry_budget_bounds_amplification() {
    let (bounded, unbounded) = (amplification(true), amplification(false));
    println!("attempts per call: {bounded:.2} with the retry budget, {unbounded:.2} without");
    assert!(bounded < 1.5, "{bounded}");
    assert!(unbounded > 3.0, "{unbounded}");
}

/// Compares the p99 time to the first part with and without hedging, where the first attempt of one call in 25 is slow.
#[test]
fn hedges_shorten_the_tail() {
    let p99 = |hedges: bool| {
        let mut rig = warmed_up_without(disabled_unless(hedges, Mechanism::Hedges));
        let mut times = Vec::new();
        for index in 0..400_u64 {
            let call = rig.call(&Params::chat(format!("r{index}"), "mona@1"));
            let is_slow = index % 25 == 0;
            let mut time = 0;
            loop {
                rig.advance(50);
                time += 50;
                let sends = rig.sends_of(call);
                let hedge = sends.get(1).map(|send| send.attempt);
                let first = sends[0].attempt;
                if time >= if is_slow { 2_000 } else { 100 } {
                    rig.answer(first, 1);
                    break;
                }
                if let Some(hedge) = hedge.filter(|_| time >= 300) {
                    rig.answer(hedge, 1);
                    break;
                }
            }
            times.push(time);
        }
        times.sort_unstable();
        times[times.len() * 99 / 100]
    };
    let (with, without) = (p99(true), p99(false));
    println!("p99 time to the first part: {with} ms with hedges, {without} ms without");
    assert!(with * 3 < without, "{with} {without}");
}
