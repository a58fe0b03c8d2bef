use std::collections::VecDeque;
use std::time::Duration;

use comfreyroad_router::record::{Content, Topic};
use quickcheck::{TestResult, quickcheck};

use super::rig::{MS, Rig, SECOND, frame, head, registration};

/// Entries that know each other, with one upstream that stays cold.
fn fleet(entries: usize) -> Vec<Rig> {
    let name = |number: usize| format!("e{number}");
    let mut rigs: Vec<Rig> = (0..entries)
        .map(|number| Rig::serving(&name(number)))
        .collect();
    for rig in &mut rigs {
        let mut incoming = frame("e0");
        incoming.peers = (0..entries)
            .map(|number| super::rig::peer(&name(number), "a"))
            .collect();
        rig.receive(incoming);
        rig.read(Topic::Upstreams, "u2", Content::Removed);
        let mut cold = registration("v1");
        cold.cold_for = 1000 * SECOND;
        cold.sequence = 2;
        rig.read(Topic::Upstreams, "u1", Content::Upstream(Box::new(cold)));
    }
    rigs
}

/// The maximum number of requests that the upstream receives in any second if each entry sends as many as it is allowed
/// to.
fn most_in_a_second(entries: usize, gap_ms: u64) -> usize {
    let mut rigs = fleet(entries);
    let mut window: VecDeque<Duration> = VecDeque::new();
    let mut most = 0;
    for step in 0..(5000 / gap_ms.max(1)) {
        let at = Duration::from_millis(step * gap_ms);
        for rig in &mut rigs {
            rig.advance(gap_ms as u32 * MS);
            let head = head(rig.now, "again", &format!("r{step}"));
            if rig.send(head).is_some() {
                window.push_back(at);
            }
        }
        while window.front().is_some_and(|first| *first + SECOND <= at) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

quickcheck! {
    fn all_entries_together_stay_within_the_rate_limit_of_a_cold_upstream(entries: u8, gap: u8) -> TestResult {
        let (entries, gap) = (usize::from(entries % 40) + 1, u64::from(gap % 50) + 1);
        let most = most_in_a_second(entries, gap);
        // The configured limit of 16 per second, times 1.5, plus 5.
        TestResult::from_bool(most <= 29)
    }
}

#[test]
fn a_cold_upstream_does_receive_requests() {
    for entries in [1, 7, 66] {
        let most = most_in_a_second(entries, 10);
        assert!(
            (6..=29).contains(&most),
            "{most} per second from {entries} entries"
        );
    }
}
