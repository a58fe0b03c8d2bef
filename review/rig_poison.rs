//! A part of a prompt that crashes engines.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::client::{self, Request};
use crate::engine::{Behaviour, Engine, Kind, Next};
use crate::http::Message;
use crate::record::Record;
use crate::{Stage, Verdict, entry, fronts};

const ENGINES: usize = 12;
const ENTRIES: usize = 3;
/// The part that crashes engines.
const POISON: &str = "dead0001";
/// Time for which a crashed engine is down.
const DOWN: Duration = Duration::from_secs(3);
/// When requests with the part begin, and the time between two of them.
const START: Duration = Duration::from_secs(6);
const INTERVAL: Duration = Duration::from_secs(2);
const RARE_INTERVAL: Duration = Duration::from_secs(11);
/// Bound `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Crashes after which the rule counts, and requests that it allows.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;
/// Interval of sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
/// Time to the first byte of an answer, and between its events.
const PREFILL: Duration = Duration::from_millis(6);
const EVENT_GAP: Duration = Duration::from_millis(20);

/// Streams that may be resumed, and streams that may not.
const ROUTES: &str = r#"{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming",
"timeout_ms":15000,"target_latency_ms":1000,"priority":0,"sizes":["daka510000"],"service":"huvo11a","max_attempts":3,
"public":false,"sticky":true,"resumable":false,"target_gap_ms":1000},{"name":"r-6y7z5k6","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming",
"timeout_ms":15000,"target_latency_ms":1000,"priority":0,"sizes":["daka510000"],"service":"huvo11a","max_attempts":3,
"public":false,"sticky":true,"resumable":true,"target_gap_ms":1000}"#;
const SERVICE: &str = r#"{"name":"huvo11a","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":16.0,"engine":{"slots":64,"kv_capacity_tokens":725193,"models":[{"name":"daka510000","cost":0.016}]}}"#;

/// How requests with the part come, and when engines crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// One each eleven seconds. An engine crashes before the first byte of its answer.
    Rare,
    /// One each two seconds. An engine crashes after the first event of its answer.
    FirstEvent,
}

pub fn run(stage: &Stage, pattern: Pattern) -> Verdict {
    let record = &stage.record;
    let kind = Kind {
        service: "huvo11a",
        version: "v1",
        slots: 64,
        models: "\"daka510000\"",
        cold: Duration::ZERO,
    };
    let zones = ["jmc-a", "jmc-b", "jmc-c", "jmc-d"];
    let behaviour: Behaviour =
        Arc::new(move |engine, request, stream| answer(engine, request, stream, pattern));
    for index in 0..ENGINES {
        let name = format!("{index}");
        Engine::start(
            (&name, zones[index % 4]),
            kind.clone(),
            &stage.store,
            record,
            behaviour.clone(),
        );
    }
    let mut entries = stage.start_entries(ENTRIES, ROUTES, SERVICE);
    let fronts = fronts(&entries);
    let end = match pattern {
        Pattern::Rare => Duration::from_secs(56),
        Pattern::FirstEvent => Duration::from_secs(30),
    };
    let sound = std::thread::spawn({
        let (record, fronts) = (record.clone(), fronts.clone());
        move || send_sound(&record, &fronts, end)
    });
    if stage.has_trouble {
        match pattern {
            Pattern::Rare => send_singly(record, &fronts, RARE_INTERVAL, 5),
            Pattern::FirstEvent => send_singly(record, &fronts, INTERVAL, 10),
        }
    }
    record.sleep_until(end);
    sound.join().expect("the clients");
    entry::check(&mut entries, record);
    judge(record)
}

/// One request each interval, in turn at each entry.
fn send_singly(record: &Record, fronts: &[SocketAddr], interval: Duration, count: usize) {
    for index in 0..count {
        record.sleep_until(START + interval * index as u32);
        let entry = index % fronts.len();
        send(record, (entry, fronts[entry]), format!("p-{index}"), true);
    }
}

fn send_sound(record: &Record, fronts: &[SocketAddr], end: Duration) {
    let mut index = 0;
    while record.now() < end {
        let entry = index % fronts.len();
        send(record, (entry, fronts[entry]), format!("s-{index}"), false);
        index += 1;
        std::thread::sleep(SOUND_INTERVAL);
    }
}

/// Sends a request with a prompt of a part of its customer, a shared part, and its own one.
fn send(record: &Record, to: (usize, SocketAddr), id: String, is_poison: bool) {
    let number = id.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    // Requests with the part may be resumed, and half of the sound ones.
    let is_resumable = is_poison || number % 2 == 0;
    let shared = if is_poison {
        POISON.to_owned()
    } else {
        format!("5c1e{:04x}", number % 40)
    };
    let request = Request {
        line: if is_resumable {
            "POST /pufi791/2f HTTP/1.1"
        } else {
            "POST /lohu930/2f HTTP/1.1"
        },
        headers: format!(
            "X-Comfreyroad-Model: daka510000\r\nX-Comfreyroad-Token-Usage: 250,70\r\n\
             X-Comfreyroad-Prompt-Prefix: 91bd3f06:100,{shared}:80,{number:08x}:70\r\n"
        ),
        body: b"notes".to_vec(),
        deadline: Duration::from_secs(15),
        id,
    };
    let record = record.clone();
    let what = if is_poison { "with the part" } else { "sound" };
    std::thread::spawn(move || client::send(&record, to, &request, what));
}

/// Answers with ten events after a short prefill; or crashes.
fn answer(engine: &Engine, request: &Message, stream: &mut TcpStream, pattern: Pattern) -> Next {
    let id = request.header("x-comfreyroad-request-id");
    let is_poison = request
        .header("x-comfreyroad-prompt-prefix")
        .contains(POISON);
    let what = if is_poison { "with the part" } else { "sound" };
    let name = engine.id();
    engine.record.arrive(&name, id, what);
    std::thread::sleep(PREFILL);
    let crash = Next::Crash {
        down: DOWN,
        keeps_id: false,
    };
    if is_poison && pattern == Pattern::Rare {
        return crash;
    }
    let head = engine.head(request, "200 OK", true);
    let head =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return Next::Close;
    }
    let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for number in from + 1..=10 {
        let event = format!("id: {number}\ndata: a part of the answer {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return Next::Close;
        }
        std::thread::sleep(EVENT_GAP);
        if is_poison {
            return crash;
        }
    }
    if stream.write_all(b"0\r\n\r\n").is_err() {
        return Next::Close;
    }
    Next::Keep
}

/// Counts the requests with the part that reached engines later than the stable window after the fifth crash.
fn judge(record: &Record) -> Verdict {
    let crashes = record.crashes();
    let outcomes = record.outcomes();
    let sound = outcomes.iter().filter(|it| it.request.starts_with('s'));
    let lost = sound.filter(|it| it.status != 200 || !it.is_whole).count();
    let Some(fifth) = crashes.get(CRASHES - 1) else {
        return Verdict {
            is_broken: false,
            text: format!("fewer than five crashes; {lost} sound requests without a whole answer"),
        };
    };
    let counts_from = *fifth + STABLE_WINDOW;
    let arrivals = record.arrivals();
    let late = arrivals
        .iter()
        .filter(|it| it.what == "with the part" && it.at > counts_from);
    let late = late.count();
    Verdict {
        is_broken: late > ALLOWED,
        text: format!(
            "fifth crash at {:.3} s; {late} requests with the part reached engines later than {:.3} s, {ALLOWED} are allowed; \
             {} crashes in all, {lost} sound requests without a whole answer",
            fifth.as_secs_f64(),
            counts_from.as_secs_f64(),
            crashes.len()
        ),
    }
}
