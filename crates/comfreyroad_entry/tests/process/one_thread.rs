//! Tests that an entry has one thread, whatever happens to its connections, and uses little CPU time when idle.

use std::fs;
use std::time::Duration;

use comfreyroad_net::runtime;

use crate::site::Site;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: u64 = 100;
/// Duration of the idle measurement in seconds.
const IDLE_S: u64 = 5;
/// Maximum CPU time of the idle entry, in thousandths of a core. Unoptimized code takes several times as long.
const MAX_IDLE_MILLICORES: u64 = if cfg!(debug_assertions) { 20 } else { 5 };

fn threads(pid: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("Threads:"));
    line.and_then(|count| count.trim().parse().ok())
        .expect("a number")
}

/// User and system time used so far, in ticks.
fn ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let times = fields.split(' ').skip(11).take(2);
    times.filter_map(|time| time.parse::<u64>().ok()).sum()
}

/// Makes a call that is answered, one that is cancelled, one that is refused, and a connection without a request.
async fn make_calls(site: &Site, round: usize) {
    let answer = site
        .chat(&format!("answered-{round}"), 5)
        .await
        .expect("an answer");
    site.read(answer).await.expect("a body");
    drop(site.chat(&format!("cancelled-{round}"), 500).await);
    assert_eq!(
        site.get("/orders/1").await.map(|(status, _)| status),
        Some(401)
    );
    let unused = std::net::TcpStream::connect_timeout(&site.entry, Duration::from_secs(1));
    drop(unused.expect("a connection"));
}

#[test]
fn an_entry_has_one_thread_and_is_idle_without_calls() {
    runtime::run(async {
        let site = Site::start().await;
        for round in 0..20 {
            make_calls(&site, round).await;
        }
        assert_eq!(
            threads(site.pid()),
            1,
            "after connects, requests, closes and resets"
        );
        // Leaves time to cancel the abandoned attempts and to write the last bills.
        compio::time::sleep(Duration::from_secs(1)).await;
        let before = ticks(site.pid());
        compio::time::sleep(Duration::from_secs(IDLE_S)).await;
        let used = ticks(site.pid()) - before;
        println!("idle: {used} ticks of {}", IDLE_S * TICKS_PER_S);
        assert!(
            used * 1000 <= IDLE_S * TICKS_PER_S * MAX_IDLE_MILLICORES,
            "an idle entry used {used} ticks"
        );
        assert_eq!(threads(site.pid()), 1);
    })
    .expect("a loop");
}
