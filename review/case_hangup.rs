//! LOST: a SIGHUP that follows another one closely ends the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::{TENANTS, borrowed, headers, manifest};
use crate::Verdict;
use crate::client::Channel;
use crate::engine::{self, Plan, Runs, Schedule};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

const CLIENTS: usize = 6;
const STABLE: Duration = Duration::from_millis(3200);
/// Time in which the entry gets pairs of signals.
const DURATION: Duration = Duration::from_secs(60);
/// Time from one pair to the next.
const BETWEEN_PAIRS: Duration = Duration::from_millis(50);
/// Longest time between the two signals of a pair.
const MAX_GAP: Duration = Duration::from_micros(1500);

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, address) = Store::start();
    let runs = Runs::default();
    let plan: Plan = Arc::new(|_, _| Schedule {
        first_token: Duration::from_millis(50),
        event: Duration::from_millis(20),
        events: 50,
        preempted: None,
    });
    for id in ["i-1", "i-2"] {
        engine::start(id, &store, plan.clone(), &runs, record);
    }
    store.put("keyed.op", "config", &manifest(1, TENANTS));
    let mut entry = Entry::start(address);
    record.line("the entry is ready");
    std::thread::sleep(STABLE);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, record, is_over) = (entry.front, record.clone(), is_over.clone());
            std::thread::spawn(move || send_streams(number, front, &record, &is_over))
        })
        .collect();
    let pairs = send_pairs(&mut entry, trouble);
    if let Some(status) = entry.exit_status() {
        record.line(&format!(
            "the entry has ended by itself, after {pairs} pairs of SIGHUP: {status}"
        ));
    } else {
        record.line(&format!("the entry runs, after {pairs} pairs of SIGHUP"));
    }
    is_over.store(true, Ordering::SeqCst);
    let cut = clients
        .into_iter()
        .filter_map(|client| client.join().expect("a client"));
    let runs = runs.all();
    let was_passed_on = |id: &String| runs.iter().any(|run| run.request == *id);
    let cut = cut.filter(was_passed_on).count();
    record.line(&format!(
        "{cut} channels ended without a complete answer, after their requests had been passed on"
    ));
    if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends pairs of SIGHUP until the time is over or the entry has ended, and returns their number.
fn send_pairs(entry: &mut Entry, trouble: bool) -> usize {
    let started = Instant::now();
    let mut pairs = 0;
    while started.elapsed() < DURATION && entry.is_running() {
        if trouble {
            entry.hang_up();
            // The gaps are spread evenly, without a random number.
            let gap = MAX_GAP.mul_f64(pairs as f64 * 0.618 % 1.0);
            let until = Instant::now() + gap;
            while Instant::now() < until {
                std::hint::spin_loop();
            }
            entry.hang_up();
            pairs += 1;
        }
        std::thread::sleep(BETWEEN_PAIRS);
    }
    pairs
}

/// Sends one stream after the other on a kept channel, and returns the one that was cut.
fn send_streams(
    number: usize,
    front: std::net::SocketAddr,
    record: &Record,
    is_over: &AtomicBool,
) -> Option<String> {
    let mut channel = Channel::open(front);
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("q{number}-{count}");
        count += 1;
        let headers = headers(&format!("e4402b{number:02}"));
        let answer = channel.request("/stream/1", &id, &borrowed(&headers));
        record.line(&format!("client: {id} got {}", answer.describe()));
        if !answer.is_whole {
            return Some(id);
        }
    }
    None
}
