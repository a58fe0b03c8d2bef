//! Engines crash while they serve prompts of many parts; meanwhile, clients look things up at a plain service.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{self, new_id};
use crate::engine::{self, Engine, Entry, Handler};
use crate::http;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// Routes, services and limits like those of a small deployment.
const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"r-plan","host":"h.example","path_prefix":"/plan/","kind":"streaming","timeout_ms":20000,"target_latency_ms":3000,
  "priority":1,"sizes":["m"],"service":"pool","max_attempts":3,"public":false,"sticky":true,"resumable":true,
  "target_gap_ms":1200},
 {"name":"r-lookup","host":"h.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":800,
  "target_latency_ms":300,"priority":0,"service":"desk","max_attempts":2}],
 "services":[{"name":"pool","health_path":"/health","max_conns":360,"cold_start_s":3.0,"cold_per_s":11.0},
  {"name":"desk","health_path":"/health","max_conns":96,"cold_start_s":0.0,"cold_per_s":0.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["key"],"priority":1}]}"#;

/// Engines of the pool, and how many of them crash: less than a share of 0.25.
const ENGINES: usize = 9;
const CRASHED: usize = 2;
const SLOTS: u32 = 64;
/// Streams that are open at the crash: a little less than the engines have slots.
const STREAMS: usize = 540;
/// Parts that the prompts share, and their length. Each prompt has a part of its subject and one of its own in addition.
const COMMON_PARTS: usize = 400;
const PART_TOKENS: usize = 128;
/// Events of a stream, and the time between two.
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// The time limit of the lookups' route, and when the rule wants an answer at the latest.
const TIMEOUT: Duration = Duration::from_millis(800);
const LATEST: Duration = Duration::from_millis(1300);
/// How long a client of a lookup waits.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
const LOOKUPS_LAST: Duration = Duration::from_secs(15);
/// Requests without a final answer from which the rule counts them.
const MIN_COUNTED: usize = 8;

fn event_stream() -> Handler {
    Arc::new(|_, request, stream| {
        let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = engine::head(
            request,
            "200 OK",
            "X-Comfreyroad-Server-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        let socket = stream.get_mut();
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in from + 1..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: event {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if socket.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        socket.write_all(b"0\r\n\r\n").is_ok()
    })
}

fn plain() -> Handler {
    Arc::new(|_, request, stream| {
        std::thread::sleep(Duration::from_millis(15));
        let answer = engine::success(request, "");
        stream.get_mut().write_all(answer.as_bytes()).is_ok()
    })
}

/// Headers of a prompt whose parts are shared but for the last two.
fn prompt(common: &str, number: usize) -> String {
    let (subject, own) = (0x2000_0000 + number, 0x3000_0000 + number);
    let tokens = COMMON_PARTS * PART_TOKENS + 100;
    format!(
        "X-Comfreyroad-Model: *\r\nX-Comfreyroad-Token-Usage: {tokens},{EVENTS}\r\n\
         X-Comfreyroad-Prompt-Prefix: {common},{subject:08x}:70,{own:08x}:30\r\n"
    )
}

/// Lookups that were late, of those that were sent.
#[derive(Default)]
struct Lookups {
    sent: AtomicUsize,
    after_timeout: AtomicUsize,
    after_latest: AtomicUsize,
    worst_ms: AtomicUsize,
}

impl Lookups {
    fn send(&self, front: SocketAddr, record: &Record) {
        let id = new_id();
        let started = Instant::now();
        let text = client::request("GET", "/lookup/x", &id, 5000, "");
        let answer = http::exchange(front, &text, PATIENCE);
        let took = started.elapsed();
        let status = answer.map_or(0, |it| it.status());
        record.line(&format!(
            "lookup {id}: status {status} after {} ms",
            took.as_millis()
        ));
        self.sent.fetch_add(1, Ordering::SeqCst);
        self.after_timeout
            .fetch_add(usize::from(took > TIMEOUT), Ordering::SeqCst);
        self.after_latest
            .fetch_add(usize::from(took > LATEST), Ordering::SeqCst);
        self.worst_ms
            .fetch_max(took.as_millis() as usize, Ordering::SeqCst);
    }
}

pub fn run(record: &Record, files: &Path, has_trouble: bool) -> Outcome {
    let (store, address) = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let entry = |service, slots, models| Entry {
        service,
        version: "v1",
        slots,
        models,
    };
    let pool: Vec<Engine> = (0..ENGINES)
        .map(|at| {
            Engine::start(
                &format!("i-m{at}"),
                &store,
                entry("pool", SLOTS, vec!["m"]),
                event_stream(),
            )
        })
        .collect();
    for at in 0..3 {
        Engine::start(
            &format!("i-d{at}"),
            &store,
            entry("desk", 6, vec![]),
            plain(),
        );
    }
    let proxy = Proxy::start("edge-1", files, address, &[]);
    let front = proxy.front;
    std::thread::sleep(Duration::from_millis(2000));

    let common: Vec<String> = (0..COMMON_PARTS)
        .map(|at| format!("{:08x}:{PART_TOKENS}", 0x1000_0000 + at))
        .collect();
    let common = common.join(",");
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let text = client::request(
            "POST",
            "/plan/x",
            &new_id(),
            20_000,
            &prompt(&common, number),
        );
        let read = move || client::read_stream(front, &text, PATIENCE);
        streams.push(std::thread::spawn(read));
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(500));

    let lookups = Arc::new(Lookups::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let sender = {
        let (lookups, is_over, record) = (lookups.clone(), is_over.clone(), record.clone());
        std::thread::spawn(move || {
            let mut open = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let (lookups, record) = (lookups.clone(), record.clone());
                open.push(std::thread::spawn(move || lookups.send(front, &record)));
                std::thread::sleep(LOOKUP_INTERVAL);
            }
            open.into_iter().for_each(|it| it.join().unwrap());
        })
    };
    std::thread::sleep(Duration::from_millis(1000));
    if has_trouble {
        for engine in &pool[..CRASHED] {
            record.result(&format!("{} ms: {} crashes", record.millis(), engine.id));
            engine.set_down(true);
        }
    }
    let until = Instant::now() + LOOKUPS_LAST;
    let mut misses = 0;
    while Instant::now() < until {
        let is_ready = proxy.is_ready(Duration::from_secs(1));
        record.line(&format!("readiness: {is_ready}"));
        misses += usize::from(!is_ready);
        std::thread::sleep(Duration::from_millis(1000));
    }
    is_over.store(true, Ordering::SeqCst);
    sender.join().unwrap();
    let streams: Vec<_> = streams.into_iter().map(|it| it.join().unwrap()).collect();
    let complete = streams.iter().filter(|it| it.is_complete).count();
    for stream in streams.iter().filter(|it| !it.is_complete) {
        let (events, took) = (stream.events.len(), stream.took.as_millis());
        record.line(&format!(
            "stream: status {}, {events} events, ended after {took} ms",
            stream.status
        ));
    }

    let count = |it: &AtomicUsize| it.load(Ordering::SeqCst);
    let (late, latest) = (count(&lookups.after_timeout), count(&lookups.after_latest));
    record.result(&format!(
        "{complete} of {STREAMS} streams complete; {} lookups, slowest {} ms; unanswered at their timeout: {late}, \
         half a second later: {latest}; readiness checks missed: {misses}",
        count(&lookups.sent),
        count(&lookups.worst_ms),
    ));
    if latest >= MIN_COUNTED && latest * 2 > late {
        record.result("CONFIG is broken");
        return Outcome::Broken;
    }
    Outcome::Held
}
