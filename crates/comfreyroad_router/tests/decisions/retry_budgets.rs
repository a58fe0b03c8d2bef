use comfreyroad_router::answer::{Completion, Fault};
use quickcheck::{TestResult, quickcheck};

use super::rig::{MS, Rig, frame, head, peer};

const GOOD: Completion = Completion {
    is_success: true,
    events: 0,
    first_event_after: None,
    service_time: None,
};

quickcheck! {
    /// The bound of the deployment: 0.9 extra attempts per request, plus 54 for all entries together.
    fn extra_attempts_stay_within_the_budget(requests: u16) -> TestResult {
        let requests = usize::from(requests % 400) + 1;
        let mut rig = Rig::serving("e1");
        let mut extra = 0;
        for number in 0..requests {
            let Some(mut sent) = rig.send(head(rig.now, "again", &format!("r{number}"))) else {
                continue;
            };
            while let Ok(request) = rig.router.on_failed(rig.now, sent, Fault::Failed) {
                match rig.resend(request) {
                    Some(again) => {
                        extra += 1;
                        sent = again;
                    }
                    None => break,
                }
            }
        }
        // An entry that knows no other assumes three entries.
        let bound = 0.9 * requests as f64 + 54.0 / 3.0;
        TestResult::from_bool(f64::from(extra) <= bound)
    }
}

/// The bound holds in any window, even if requests and failures come in bursts.
#[test]
fn no_window_has_more_extra_attempts_than_the_bound() {
    let mut rig = Rig::serving("e1");
    let mut attempts: Vec<(u64, bool)> = Vec::new();
    for step in 0..600_u64 {
        rig.run_for(100 * MS);
        // Five seconds with few requests and no failures alternate with five in which all requests fail.
        let (count, fails) = if step / 50 % 2 == 0 {
            (2, false)
        } else {
            (8, true)
        };
        for number in 0..count {
            let id = format!("r{step}-{number}");
            let Some(sent) = rig.send(head(rig.now, "again", &id)) else {
                continue;
            };
            attempts.push((step, false));
            if !fails {
                continue;
            }
            let Ok(request) = rig.router.on_failed(rig.now, sent, Fault::Failed) else {
                continue;
            };
            if rig.resend(request).is_some() {
                attempts.push((step, true));
            }
        }
    }
    let count = |from: u64, is_extra: bool| {
        let within = attempts
            .iter()
            .filter(|(at, _)| (from..from + 100).contains(at));
        within.filter(|(_, extra)| *extra == is_extra).count() as f64
    };
    for from in 0..500_u64 {
        // The rule takes the maximum over this window, the previous one, and the one halfway between them.
        let before = [0, 50, 100].map(|back: u64| count(from.saturating_sub(back), false));
        let requests = before.into_iter().fold(0.0, f64::max);
        let (extra, most) = (count(from, true), 0.9 * requests + 54.0 / 3.0);
        assert!(extra <= most, "{extra} of {most} in the window from {from}");
    }
}

/// Regression (first runs with 66 entries): each entry had a bucket of two extra attempts and lost its unused budget, so
/// it had too little when several requests needed a larger model at once.
#[test]
fn an_entry_of_a_large_fleet_accumulates_its_budget_over_the_window() {
    let mut rig = Rig::serving("e1");
    let mut incoming = frame("e2");
    incoming.peers = (0..65).map(|it| peer(&format!("far{it}"), "z")).collect();
    rig.receive(incoming);
    for number in 0..30 {
        rig.run_for(100 * MS);
        let sent = rig.send(head(rig.now, "again", &format!("r{number}")));
        rig.router.on_finished(rig.now, &sent.unwrap(), GOOD);
    }
    let mut again = 0;
    for number in 0..10 {
        let sent = rig.send(head(rig.now, "again", &format!("f{number}")));
        let failed = rig.router.on_failed(rig.now, sent.unwrap(), Fault::Failed);
        again += u32::from(failed.is_ok_and(|it| rig.resend(it).is_some()));
    }
    assert_eq!(again, 10);
}
