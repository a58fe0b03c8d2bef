//! An engine that wants nothing for a while, and that the store loses for some seconds.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{self, Request};
use crate::engine::{Behaviour, Engine, Kind, Next};
use crate::http::Message;
use crate::record::{Arrival, Record};
use crate::{Stage, Verdict, fronts};

const ENGINES: usize = 4;
const ENTRIES: usize = 2;
/// Interval of the requests at each entry.
const INTERVAL: Duration = Duration::from_millis(6);
/// From when the engine turns requests away, and for how long it then wants none.
const BUSY_FROM: Duration = Duration::from_secs(5);
const RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time that a request waits in the engine's queue before it is turned away.
const QUEUE_TIME: Duration = Duration::from_millis(50);
/// When the engine loses its path to the store, and for how long.
const CUT_AT: Duration = Duration::from_secs(8);
const CUT_FOR: Duration = Duration::from_millis(5500);
const END: Duration = Duration::from_secs(20);
/// From the rule: the time after an answer from which requests count, and the number that is allowed.
const GRACE: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;

const ROUTE: &str = r#"{"name":"r-status","host":"ficu95.example","path_prefix":"/cufi504/","kind":"idempotent",
"timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":2,"public":false}"#;
const SERVICE: &str = r#"{"name":"wuno96b","health_path":"/health","max_conns":100,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":0.0}"#;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let kind = Kind {
        service: "wuno96b",
        version: "v1",
        slots: 6,
        models: "",
        cold: Duration::ZERO,
    };
    let zones = ["jmc-a", "jmc-b", "jmc-c", "jmc-d"];
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|index| {
            let name = format!("{index}");
            let is_busy = index == 0;
            let behaviour: Behaviour =
                Arc::new(move |engine, request, stream| answer(engine, request, stream, is_busy));
            Engine::start((&name, zones[index]), kind.clone(), &stage.store, record, behaviour)
        })
        .collect();
    let mut entries = stage.start_entries(ENTRIES, ROUTE, SERVICE);
    let clients: Vec<_> = fronts(&entries)
        .into_iter()
        .enumerate()
        .map(|to| {
            let record = record.clone();
            std::thread::spawn(move || send_all(&record, to))
        })
        .collect();
    if stage.has_trouble {
        record.sleep_until(CUT_AT);
        record.note(format!("engine {} loses its path to the store", engines[0].id()));
        engines[0].set_cut(true);
        record.sleep_until(CUT_AT + CUT_FOR);
        record.note(format!("engine {} reaches the store", engines[0].id()));
        engines[0].set_cut(false);
    }
    for client in clients {
        client.join().expect("the clients");
    }
    assert!(entries.iter_mut().all(|it| it.is_running()), "an entry has ended");
    judge(record)
}

fn send_all(record: &Record, to: (usize, std::net::SocketAddr)) {
    let mut number = 0_u32;
    while record.now() < END {
        number += 1;
        let request = Request {
            id: format!("{}-{number}", to.0),
            line: "GET /cufi504/fi50/2f HTTP/1.1",
            headers: String::new(),
            body: Vec::new(),
            deadline: Duration::from_secs(1),
        };
        let record = record.clone();
        std::thread::spawn(move || client::send(&record, to, &request, "a lookup"));
        std::thread::sleep(INTERVAL);
    }
}

/// Answers after 15 ms, or turns the request away.
fn answer(engine: &Engine, request: &Message, stream: &mut TcpStream, is_busy: bool) -> Next {
    let id = request.header("x-comfreyroad-request-id");
    let name = engine.id();
    let text = if is_busy && engine.record.now() >= BUSY_FROM {
        engine.record.arrive(&name, id, "waits");
        std::thread::sleep(QUEUE_TIME);
        let head = engine.head(request, "503 Service Unavailable", false);
        let seconds = RETRY_AFTER.as_secs();
        engine.record.arrive(&name, id, "turned away");
        format!("{head}X-Comfreyroad-Not-Executed: 1\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n")
    } else {
        engine.record.arrive(&name, id, "runs");
        std::thread::sleep(Duration::from_millis(15));
        let head = engine.head(request, "200 OK", true);
        format!("{head}Content-Length: 5\r\n\r\nready")
    };
    match stream.write_all(text.as_bytes()) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

/// For each entry, counts the requests that reached the engine in the time for which it wanted none.
fn judge(record: &Record) -> Verdict {
    let arrivals = record.arrivals();
    let count = |entry: usize| {
        let is_own = |it: &&Arrival| record.sender(&it.request).is_some_and(|(from, _)| from == entry);
        let own: Vec<&Arrival> = arrivals.iter().filter(is_own).collect();
        let first = own.iter().find(|it| it.what == "turned away")?;
        let (from, until) = (first.at + GRACE, first.at + RETRY_AFTER);
        let late = own.iter().filter(|it| it.what == "waits" && it.at > from && it.at < until);
        Some(late.count())
    };
    let counts: Vec<Option<usize>> = (0..ENTRIES).map(count).collect();
    let is_broken = counts.iter().flatten().any(|late| *late > ALLOWED);
    Verdict {
        is_broken,
        text: format!(
            "requests that reached the engine while it wanted none, by entry: {counts:?}; {ALLOWED} are allowed from each"
        ),
    }
}
