//! An engine that crashes and comes back cold under its id while the store is down.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{self, Request};
use crate::engine::{Behaviour, Engine, Kind, Next};
use crate::http::Message;
use crate::record::{Arrival, Record};
use crate::{Stage, Verdict, entry, fronts};

const ENGINES: usize = 5;
const ENTRIES: usize = 3;
/// Interval of the requests at each entry: about 270 requests a second in all.
const INTERVAL: Duration = Duration::from_millis(11);
/// When the store goes down, and for how long.
const DOWN_AT: Duration = Duration::from_secs(6);
const DOWN_FOR: Duration = Duration::from_secs(8);
/// When the engine crashes, and for how long it is down.
const CRASH_AT: Duration = Duration::from_secs(7);
const CRASHED_FOR: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(18);
/// `cold_start_s` and `cold_per_s` of the service.
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 16.0;
/// Bounds `cold_multiplier` and `cold_slack`.
const MULTIPLIER: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Rate at which a cold engine crashes, well above what it tolerates.
const CRASH_PER_S: usize = 40;

/// Streams that may be resumed, and streams that may not.
const ROUTES: &str = r#"{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming",
"timeout_ms":4000,"target_latency_ms":1000,"priority":2,"sizes":["daka510000"],"service":"huvo11a","max_attempts":3,
"public":false,"sticky":true,"resumable":false,"target_gap_ms":1000},{"name":"r-6y7z5k6","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming",
"timeout_ms":4000,"target_latency_ms":1000,"priority":2,"sizes":["daka510000"],"service":"huvo11a","max_attempts":3,
"public":false,"sticky":true,"resumable":true,"target_gap_ms":1000}"#;
const SERVICE: &str = r#"{"name":"huvo11a","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,
"cold_start_s":3.0,"cold_per_s":16.0,"engine":{"slots":64,"kv_capacity_tokens":725193,"models":[{"name":"daka510000","cost":0.016}]}}"#;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let kind = Kind {
        service: "huvo11a",
        version: "v1",
        slots: 64,
        models: "\"daka510000\"",
        cold: COLD,
    };
    let zones = ["jmc-a", "jmc-b", "jmc-c", "jmc-d"];
    let behaviour: Behaviour = Arc::new(answer);
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|index| {
            let name = format!("{index}");
            Engine::start(
                (&name, zones[index % 4]),
                kind.clone(),
                &stage.store,
                record,
                behaviour.clone(),
            )
        })
        .collect();
    let mut entries = stage.start_entries(ENTRIES, ROUTES, SERVICE);
    let clients: Vec<_> = fronts(&entries)
        .into_iter()
        .enumerate()
        .map(|to| {
            let record = record.clone();
            std::thread::spawn(move || send_all(&record, to))
        })
        .collect();
    if stage.has_trouble {
        record.sleep_until(DOWN_AT);
        record.note("the store goes down");
        stage.store.set_down(true);
        record.sleep_until(CRASH_AT);
        engines[0].crash(CRASHED_FOR, true);
        record.sleep_until(DOWN_AT + DOWN_FOR);
        record.note("the store is back");
        stage.store.set_down(false);
    }
    for client in clients {
        client.join().expect("the clients");
    }
    entry::check(&mut entries, record);
    judge(record)
}

fn send_all(record: &Record, to: (usize, std::net::SocketAddr)) {
    let mut number = 0_u32;
    while record.now() < END {
        number += 1;
        let request = Request {
            id: format!("{}-{number}", to.0),
            line: if number % 2 == 0 {
                "POST /pufi791/2f HTTP/1.1"
            } else {
                "POST /lohu930/2f HTTP/1.1"
            },
            headers: format!(
                "X-Comfreyroad-Model: daka510000\r\nX-Comfreyroad-Token-Usage: 260,21\r\n\
                 X-Comfreyroad-Prompt-Prefix: 5c1e07a2:100,91bd{:04x}:80,e4{}{:05x}:80\r\n",
                number % 160,
                to.0,
                number
            ),
            body: b"label this".to_vec(),
            deadline: Duration::from_secs(4),
        };
        let record = record.clone();
        std::thread::spawn(move || client::send(&record, to, &request, "a label"));
        std::thread::sleep(INTERVAL);
    }
}

/// Answers with three events, 10 ms apart, after a prefill of 8 ms.
fn answer(engine: &Engine, request: &Message, stream: &mut TcpStream) -> Next {
    let id = request.header("x-comfreyroad-request-id");
    let what = if engine.is_cold() { "cold" } else { "warm" };
    let name = engine.id();
    engine.record.arrive(&name, id, what);
    if what == "cold" && engine.record.recent_arrivals(&name, what) > CRASH_PER_S {
        return Next::Crash {
            down: CRASHED_FOR,
            keeps_id: true,
        };
    }
    std::thread::sleep(Duration::from_millis(8));
    let head = engine.head(request, "200 OK", true);
    let head =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return Next::Close;
    }
    let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for number in from + 1..=3 {
        let event = format!("id: {number}\ndata: label {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return Next::Close;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    if stream.write_all(b"0\r\n\r\n").is_err() {
        return Next::Close;
    }
    Next::Keep
}

/// Finds the second in which most requests were sent and reached a cold engine.
fn judge(record: &Record) -> Verdict {
    let arrivals = record.arrivals();
    let cold: Vec<&Arrival> = arrivals.iter().filter(|it| it.what == "cold").collect();
    let second = Duration::from_secs(1);
    let count = |first: &&Arrival| {
        let from = first.at;
        let is_inside = |it: &&&Arrival| {
            let sent = record
                .sender(&it.request)
                .map_or(Duration::ZERO, |(_, at)| at);
            it.engine == first.engine && it.at >= from && it.at < from + second && sent >= from
        };
        cold.iter().filter(is_inside).count()
    };
    let most = cold.iter().map(count).max().unwrap_or(0);
    let outcomes = record.outcomes();
    let lost = outcomes
        .iter()
        .filter(|it| it.status != 200 || !it.is_whole)
        .count();
    let crashes = record.crashes().len();
    let allowed = COLD_PER_S * MULTIPLIER + SLACK;
    Verdict {
        is_broken: most as f64 > allowed,
        text: format!(
            "{} requests reached a cold engine, at most {most} of them sent and arrived in one second; {allowed} are allowed; \
             {crashes} crashes in all, {lost} requests without a whole answer",
            cold.len()
        ),
    }
}
