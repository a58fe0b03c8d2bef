//! LOST: the process exceeds its memory by what it keeps for idle channels, and is killed.

use std::net::SocketAddr;
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

/// Memory of a machine of Inkwell Mona's, as in the settings of the entry.
const MEMORY_MB: u64 = 260;
/// Clients that come, each with one request, and keep their channels.
const GUESTS: usize = 1800;
/// Threads that play them in turn.
const THREADS: usize = 6;
/// Time from one client of a thread to the next: 100 a second at most, for all threads together.
const BETWEEN_GUESTS: Duration = Duration::from_millis(60);
/// Length of their requests' bodies; the manifest allows 4 MiB.
const LONG_BODY: usize = 500_000;
/// Length of the bodies in the installation's sheet.
const USUAL_BODY: usize = 12_000;
/// Time for which a channel may stay idle: four fifths of `idle_timeout_ms`.
const MAX_IDLE: Duration = Duration::from_secs(12);
/// Clients whose requests take a while, on kept channels.
const PATIENT: usize = 12;
const STABLE: Duration = Duration::from_millis(3200);
/// Interval at which the platform looks at the memory of the process.
const WATCH: Duration = Duration::from_millis(10);

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, address) = Store::start();
    let runs = Runs::default();
    let plan: Plan = Arc::new(|request, _| {
        let is_patient = request.target().ends_with("/patient");
        Schedule {
            first_token: Duration::from_millis(if is_patient { 2000 } else { 5 }),
            event: Duration::from_millis(5),
            events: 3,
            preempted: None,
        }
    });
    for id in ["i-1", "i-2", "i-3"] {
        engine::start(id, &store, plan.clone(), &runs, record);
    }
    store.put("keyed.op", "config", &manifest(1, TENANTS));
    let mut entry = Entry::start(address);
    record.line("the entry is ready");
    std::thread::sleep(STABLE);
    let is_over = Arc::new(AtomicBool::new(false));
    let front = entry.front;
    let patient: Vec<_> = (0..PATIENT)
        .map(|number| {
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || send_patiently(number, front, &record, &is_over))
        })
        .collect();
    let length = if trouble { LONG_BODY } else { USUAL_BODY };
    let guests: Vec<_> = (0..THREADS)
        .map(|thread| {
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || send_guests(thread, front, length, &record, &is_over))
        })
        .collect();
    let mut peak = 0;
    let mut is_killed = false;
    while !guests.iter().all(|it| it.is_finished()) && entry.is_running() && !is_killed {
        std::thread::sleep(WATCH);
        let used = entry.memory_kib().unwrap_or(0);
        peak = peak.max(used);
        if used > MEMORY_MB * 1024 {
            record.line(&format!(
                "the platform kills the process: it uses {used} KiB, {} are allowed",
                MEMORY_MB * 1024
            ));
            entry.signal("KILL");
            is_killed = true;
        }
    }
    record.line(&format!("peak of the process's memory: {peak} KiB"));
    is_over.store(true, Ordering::SeqCst);
    let count: usize = guests
        .into_iter()
        .map(|thread| thread.join().expect("the guests"))
        .sum();
    let unanswered = patient
        .into_iter()
        .filter_map(|client| client.join().expect("a client"));
    let runs = runs.all();
    let was_passed_on = |id: &String| runs.iter().any(|run| run.request == *id);
    let lost = unanswered.filter(was_passed_on).count();
    record.line(&format!("{count} clients had come, each with one request"));
    record.line(&format!(
        "{lost} requests on kept channels were passed on to a sound engine and got no answer"
    ));
    if is_killed && lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends one request for each client, whose channel then stays idle until its client closes it.
fn send_guests(
    thread: usize,
    front: SocketAddr,
    length: usize,
    record: &Record,
    is_over: &AtomicBool,
) -> usize {
    let body = vec![b'x'; length];
    let mut channels: std::collections::VecDeque<(Instant, Channel)> = Default::default();
    let share = GUESTS / THREADS;
    for turn in 0..share {
        let number = turn * THREADS + thread;
        if is_over.load(Ordering::SeqCst) {
            return turn;
        }
        while channels
            .front()
            .is_some_and(|(at, _)| at.elapsed() > MAX_IDLE)
        {
            channels.pop_front();
        }
        let next = Instant::now() + BETWEEN_GUESTS;
        let id = format!("g{number}");
        let headers = headers(&format!("f{number:07}"));
        let mut channel = Channel::open(front);
        let answer = channel.request_with_body("/stream/1", &id, &borrowed(&headers), &body);
        if number % 100 == 0 || !answer.is_whole {
            record.line(&format!(
                "client: {id} sent {length} bytes and got {}",
                answer.describe()
            ));
        }
        channels.push_back((Instant::now(), channel));
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    share
}

/// Sends one request after the other on a kept channel, and returns the one that got no answer at all.
fn send_patiently(
    number: usize,
    front: SocketAddr,
    record: &Record,
    is_over: &AtomicBool,
) -> Option<String> {
    let mut channel = Channel::open(front);
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("p{number}-{count}");
        count += 1;
        let headers = headers(&format!("e4402b{number:02}"));
        let answer = channel.request("/stream/patient", &id, &borrowed(&headers));
        if !answer.is_whole {
            record.line(&format!("client: {id} got {}", answer.describe()));
            return (answer.head.is_none() && count > 1).then_some(id);
        }
    }
    None
}
