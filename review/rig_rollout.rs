//! The next version is ordered soon after a bad one was rolled back.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::client::{self, Request};
use crate::engine::{Behaviour, Engine, Kind, Next};
use crate::http::Message;
use crate::record::Record;
use crate::{Stage, Verdict, entry, fronts};

const ENTRIES: usize = 3;
/// Engines of each version.
const ENGINES: usize = 4;
/// Interval of the requests at each entry: about 150 a second in all.
const INTERVAL: Duration = Duration::from_millis(20);
/// When the bad version is ordered, and its time limit.
const ORDER_AT: Duration = Duration::from_secs(8);
const LIMIT: Duration = Duration::from_secs(10);
/// Time from the status `rolled_back` to the next order, and to the reports of the bad engines that they leave.
const NEXT_ORDER: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_secs(5);
/// Time that an engine serves after its report that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(26);
/// Bounds `exposure_share` and `exposure_slack`.
const SHARE: f64 = 0.15;
const SLACK: f64 = 30.0;
/// The version that fails half of its requests.
const BAD: &str = "v2";

const TOPIC: &str = "keyed.op";
const ORDER: &str = "rollout/huvo11a";
/// Streams that may not be resumed, so that they run at most once.
const ROUTE: &str = r#"{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming",
"timeout_ms":4000,"target_latency_ms":1000,"priority":2,"sizes":["daka510000"],"service":"huvo11a","max_attempts":3,
"public":false,"sticky":true,"resumable":false,"target_gap_ms":1000}"#;
const SERVICE: &str = r#"{"name":"huvo11a","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":16.0,"engine":{"slots":64,"kv_capacity_tokens":725193,"models":[{"name":"daka510000","cost":0.016}]}}"#;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let _first = start_engines(stage, "v1");
    let mut entries = stage.start_entries(ENTRIES, ROUTE, SERVICE);
    let clients: Vec<_> = fronts(&entries)
        .into_iter()
        .enumerate()
        .map(|to| {
            let record = record.clone();
            std::thread::spawn(move || send_all(&record, to))
        })
        .collect();
    record.sleep_until(ORDER_AT);
    let ordered_at = order(stage, BAD);
    let bad = start_engines(stage, BAD);
    let rolled_back_at = wait_for_rollback(stage);
    if stage.has_trouble {
        record.sleep_until(rolled_back_at + NEXT_ORDER);
        order(stage, "v3");
        start_engines(stage, "v3");
    }
    record.sleep_until(rolled_back_at + DRAIN);
    bad.iter().for_each(Engine::drain);
    record.sleep_until(rolled_back_at + DRAIN + DRAIN_TIME);
    bad.iter().for_each(Engine::leave);
    for client in clients {
        client.join().expect("the clients");
    }
    entry::check(&mut entries, record);
    judge(record, ordered_at, rolled_back_at)
}

fn start_engines(stage: &Stage, version: &'static str) -> Vec<Engine> {
    let kind = Kind {
        service: "huvo11a",
        version,
        slots: 64,
        models: "\"daka510000\"",
        cold: Duration::ZERO,
    };
    let zones = ["jmc-a", "jmc-b", "jmc-c", "jmc-d"];
    let behaviour: Behaviour = Arc::new(answer);
    (0..ENGINES)
        .map(|index| {
            let name = format!("{version}-{index}");
            let place = (name.as_str(), zones[index % 4]);
            let (store, record) = (&stage.store, &stage.record);
            Engine::start(place, kind.clone(), store, record, behaviour.clone())
        })
        .collect()
}

/// Orders a rollout, and returns when it was confirmed.
fn order(stage: &Stage, target: &str) -> Duration {
    let seconds = LIMIT.as_secs();
    let text =
        format!("{{\"service\":\"huvo11a\",\"target\":\"{target}\",\"duration_s\":{seconds}}}");
    stage.store.put(TOPIC, ORDER, &text);
    stage.record.note(format!("operator orders {target}"));
    stage.record.now()
}

fn wait_for_rollback(stage: &Stage) -> Duration {
    loop {
        let status = stage.store.newest("keyed.status", ORDER);
        if status.is_some_and(|it| it.contains("rolled_back")) {
            stage.record.note("the store has the status rolled_back");
            return stage.record.now();
        }
        let limit = ORDER_AT + LIMIT;
        assert!(stage.record.now() < limit, "the version is not rolled back");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn send_all(record: &Record, to: (usize, SocketAddr)) {
    let mut number = 0_u32;
    while record.now() < END {
        number += 1;
        let request = Request {
            id: format!("{}-{number}", to.0),
            line: "POST /lohu930/2f HTTP/1.1",
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

/// Answers after 8 to 22 ms. The bad version fails half of its requests.
fn answer(engine: &Engine, request: &Message, stream: &mut TcpStream) -> Next {
    let id = request.header("x-comfreyroad-request-id");
    engine.record.arrive(&engine.id(), id, engine.kind.version);
    std::thread::sleep(Duration::from_millis(15));
    let number: u32 = id
        .rsplit('-')
        .next()
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let is_failure = engine.kind.version == BAD && number % 2 == 0;
    if is_failure {
        let head = engine.head(request, "500 Internal Server Error", true);
        let text = format!("{head}Content-Length: 0\r\n\r\n");
        return match stream.write_all(text.as_bytes()) {
            Ok(()) => Next::Keep,
            Err(_) => Next::Close,
        };
    }
    let head = engine.head(request, "200 OK", true);
    let head =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return Next::Close;
    }
    for number in 1..=3 {
        let event = format!("id: {number}\ndata: label {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return Next::Close;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    match stream.write_all(b"0\r\n\r\n") {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

/// Counts the requests of the service, and those of the bad version, from its order to its time limit.
fn judge(record: &Record, ordered_at: Duration, rolled_back_at: Duration) -> Verdict {
    let arrivals = record.arrivals();
    let is_inside = |at: Duration| at >= ordered_at && at < ordered_at + LIMIT;
    let all: Vec<_> = arrivals.iter().filter(|it| is_inside(it.at)).collect();
    let bad = all.iter().filter(|it| it.what == BAD).count();
    let late = arrivals
        .iter()
        .filter(|it| it.what == BAD && it.at > rolled_back_at + NEXT_ORDER);
    let late = late.count();
    let lost = record
        .outcomes()
        .iter()
        .filter(|it| it.status == 500)
        .count();
    let allowed = SHARE * all.len() as f64 + SLACK;
    Verdict {
        is_broken: bad as f64 > allowed,
        text: format!(
            "the bad version got {bad} of {} requests from its order to its time limit, {allowed:.0} are allowed; \
             it was rolled back after {:.1} s and got {late} requests from half a second later on; {lost} requests failed",
            all.len(),
            (rolled_back_at - ordered_at).as_secs_f64()
        ),
    }
}
