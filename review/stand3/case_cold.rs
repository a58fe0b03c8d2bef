//! An engine restarts cold under its id while the store is down.

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{self, new_id};
use crate::engine::{self, Engine, Entry, Handler};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// A route, a service and limits like those of a small deployment.
const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"r-tag","host":"h.example","path_prefix":"/tag/","kind":"streaming","timeout_ms":5000,"target_latency_ms":2000,
  "priority":2,"sizes":["m"],"service":"pool","max_attempts":3,"public":false,"sticky":true,"resumable":true,
  "target_gap_ms":1200}],
 "services":[{"name":"pool","health_path":"/health","max_conns":360,"cold_start_s":3.0,"cold_per_s":11.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["key"],"priority":1}]}"#;

/// The bounds of the rule: `cold_per_s`, `cold_multiplier` and `cold_slack`.
const COLD_PER_S: f64 = 11.0;
const MULTIPLIER: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW_MS: u64 = 1000;
/// How long an engine is cold after its start.
const COLD: Duration = Duration::from_millis(3000);

/// Engines of the pool; one of them crashes, a share of 0.25.
const ENGINES: usize = 4;
/// Time from one request to the next: 160 a second at two proxies together.
const REQUEST_INTERVAL: Duration = Duration::from_micros(6250);
/// Subjects of the prompts, each with a part that its requests share.
const SUBJECTS: usize = 167;
const EVENTS: u64 = 6;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

const BEFORE: Duration = Duration::from_secs(3);
/// The store is down for 8 s. After the first of them the engine crashes, for 2 s.
const OUTAGE: Duration = Duration::from_secs(8);
const CRASH_AFTER: Duration = Duration::from_secs(1);
const CRASH: Duration = Duration::from_secs(2);

/// When each request was sent, by its id, and which of them have reached the engine when, both in ms since the start.
#[derive(Default)]
struct Seen {
    sent: HashMap<String, u64>,
    arrived: Vec<(String, u64)>,
}

impl Seen {
    /// The most requests that were sent and arrived within one second of a time, given in ms.
    fn most_in_window(&self, from: u64, to: u64) -> usize {
        let times = self.arrived.iter().filter_map(|(id, arrived)| {
            let sent = *self.sent.get(id)?;
            (*arrived >= from && *arrived < to).then_some((sent, *arrived))
        });
        let times: Vec<(u64, u64)> = times.collect();
        let count = |start: u64| {
            let in_window = |at: u64| at >= start && at < start + WINDOW_MS;
            let within = times
                .iter()
                .filter(|(sent, at)| in_window(*sent) && in_window(*at));
            within.count()
        };
        times
            .iter()
            .map(|(sent, _)| count(*sent))
            .max()
            .unwrap_or(0)
    }
}

pub fn run(record: &Record, files: &Path, has_trouble: bool) -> Outcome {
    let (store, address) = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (arrivals, arrival_record) = (seen.clone(), record.clone());
    let handler: Handler = Arc::new(move |engine, request, stream| {
        let id = request.header("x-comfreyroad-request-id").to_owned();
        if engine.id == "i-m0" {
            arrivals
                .lock()
                .unwrap()
                .arrived
                .push((id.clone(), arrival_record.millis()));
        }
        arrival_record.line(&format!("{} runs {id}", engine.id));
        let head = engine::head(
            request,
            "200 OK",
            "X-Comfreyroad-Server-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        let socket = stream.get_mut();
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: event {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if socket.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        socket.write_all(b"0\r\n\r\n").is_ok()
    });
    let pool: Vec<Engine> = (0..ENGINES)
        .map(|at| {
            let entry = Entry {
                service: "pool",
                version: "v1",
                slots: 64,
                models: vec!["m"],
            };
            Engine::start(&format!("i-m{at}"), &store, entry, handler.clone())
        })
        .collect();
    let first = Proxy::start("edge-1", files, address, &[]);
    let second = Proxy::start("edge-2", files, address, &[first.control]);
    let fronts = [first.front, second.front];
    // The entries hear of each other.
    std::thread::sleep(Duration::from_secs(3));

    let is_over = Arc::new(AtomicBool::new(false));
    let sender = {
        let (seen, is_over, record) = (seen.clone(), is_over.clone(), record.clone());
        std::thread::spawn(move || {
            let (mut open, mut number) = (Vec::new(), 0_usize);
            let mut next = Instant::now();
            while !is_over.load(Ordering::SeqCst) {
                let (id, front) = (new_id(), fronts[number % 2]);
                let subject = number * 37 % SUBJECTS;
                let headers = format!(
                    "X-Comfreyroad-Model: *\r\nX-Comfreyroad-Token-Usage: 700,{EVENTS}\r\n\
                     X-Comfreyroad-Prompt-Prefix: 10000000:340,{:08x}:230,{:08x}:130\r\n",
                    0x2000_0000 + subject,
                    0x3000_0000 + number
                );
                seen.lock()
                    .unwrap()
                    .sent
                    .insert(id.clone(), record.millis());
                let text = client::request("POST", "/tag/x", &id, 5000, &headers);
                let record = record.clone();
                open.push(std::thread::spawn(move || {
                    let stream = client::read_stream(front, &text, Duration::from_secs(6));
                    record.line(&format!(
                        "{id} answered: {}, complete: {}",
                        stream.status, stream.is_complete
                    ));
                    stream.is_complete
                }));
                number += 1;
                next += REQUEST_INTERVAL;
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            let complete = open.into_iter().map(|it| it.join().unwrap());
            (complete.filter(|it| *it).count(), number)
        })
    };
    std::thread::sleep(BEFORE);
    let crash_alone = std::env::var_os("CRASH_ALONE").is_some();
    if has_trouble && !crash_alone {
        store.set_down(true);
        record.result(&format!("{} ms: the store is down", record.millis()));
    }
    std::thread::sleep(CRASH_AFTER);
    if has_trouble {
        pool[0].set_down(true);
        record.result(&format!("{} ms: i-m0 crashes", record.millis()));
    }
    std::thread::sleep(CRASH);
    let restarted = record.millis();
    if has_trouble {
        pool[0].restart(COLD);
        record.result(&format!(
            "{restarted} ms: i-m0 is back under its id, cold for {} ms",
            COLD.as_millis()
        ));
    }
    std::thread::sleep(OUTAGE - CRASH_AFTER - CRASH);
    store.set_down(false);
    record.result(&format!("{} ms: the store answers", record.millis()));
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let (complete, sent) = sender.join().unwrap();

    let cold_until = restarted + COLD.as_millis() as u64;
    let most = seen.lock().unwrap().most_in_window(restarted, cold_until);
    let allowed = COLD_PER_S * MULTIPLIER + SLACK;
    record.result(&format!(
        "{complete} of {sent} streams complete; most requests at i-m0 in one second of the {} ms: {most}, allowed {allowed}",
        COLD.as_millis()
    ));
    if has_trouble && most as f64 > allowed {
        record.result("FAILBACK is broken");
        return Outcome::Broken;
    }
    Outcome::Held
}
