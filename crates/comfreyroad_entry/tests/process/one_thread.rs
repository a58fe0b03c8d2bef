//! An entry has one thread, whatever happens to its connections, and costs next to nothing when idle.

use std::fs;
use std::time::Duration;

use comfreyroad_net::runtime;

use crate::site::Site;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS: u64 = 100;
/// How long the idle entry is watched, in seconds.
const IDLE: u64 = 5;
/// Part of a core that it may use there, in thousandths; without the optimizer everything takes several times as long.
const IDLE_SHARE: u64 = if cfg!(debug_assertions) { 20 } else { 5 };

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

/// A whole answer, one that is given up, a refusal, and a connection that says nothing.
async fn call_in_every_way(site: &Site, round: usize) {
    let answer = site
        .chat(&format!("whole-{round}"), 5)
        .await
        .expect("an answer");
    site.read(answer).await.expect("a body");
    drop(site.chat(&format!("given-up-{round}"), 500).await);
    assert_eq!(
        site.get("/orders/1").await.map(|(status, _)| status),
        Some(401)
    );
    let silent = std::net::TcpStream::connect_timeout(&site.entry, Duration::from_secs(1));
    drop(silent.expect("a connection"));
}

#[test]
fn an_entry_has_one_thread_and_rests() {
    runtime::run(async {
        let site = Site::start().await;
        for round in 0..20 {
            call_in_every_way(&site, round).await;
        }
        assert_eq!(
            threads(site.pid()),
            1,
            "after connects, requests, closes and resets"
        );
        // What was given up is cancelled, and the last bills are written.
        compio::time::sleep(Duration::from_secs(1)).await;
        let before = ticks(site.pid());
        compio::time::sleep(Duration::from_secs(IDLE)).await;
        let used = ticks(site.pid()) - before;
        println!("idle: {used} ticks of {}", IDLE * TICKS);
        assert!(
            used * 1000 <= IDLE * TICKS * IDLE_SHARE,
            "an idle entry used {used} ticks"
        );
        assert_eq!(threads(site.pid()), 1);
    })
    .expect("a loop");
}
