//! A part of a prompt crashes each engine that begins an answer on it. Either requests with it are rare and run once only, or the
//! engines go dark: their connections stay open and say nothing more.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Outcome;
use crate::client::{self, new_id};
use crate::engine::{self, Engine, Entry, Handler};
use crate::http::Message;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// A route, a service and limits like those of a small deployment.
fn config(is_resumable: bool) -> String {
    format!(
        r#"{{"version":1,"routes":[
 {{"name":"r-plan","host":"h.example","path_prefix":"/plan/","kind":"streaming","timeout_ms":5000,"target_latency_ms":2000,
  "priority":2,"sizes":["m"],"service":"pool","max_attempts":3,"public":false,"sticky":true,"resumable":{is_resumable},
  "target_gap_ms":1200}}],
 "services":[{{"name":"pool","health_path":"/health","max_conns":360,"cold_start_s":0.0,"cold_per_s":0.0}}],
 "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
 "tenants":[{{"name":"t","api_keys":["key"],"priority":1}}]}}"#
    )
}

/// How engines crash, and how often requests with the part come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Connections break at once; the requests come so rarely that at most two crashes are remembered, and run once.
    Rare,
    /// Connections go silent; the requests may be resumed elsewhere.
    Dark,
}

impl Kind {
    fn requests(self) -> usize {
        match self {
            Self::Rare => 10,
            Self::Dark => 12,
        }
    }

    fn interval(self) -> Duration {
        Duration::from_millis(match self {
            Self::Rare => 10_500,
            Self::Dark => 3_000,
        })
    }
}

const ENGINES: usize = 9;
const SLOTS: u32 = 64;
const CRASH: Duration = Duration::from_millis(4500);
/// The part that crashes engines.
const BAD_PART: &str = "2bad0000";
/// Time after the last request with it.
const LAST_WAIT: Duration = Duration::from_secs(3);
/// Time from one sound request to the next.
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// The rule counts requests that are sent later than this after the fifth crash.
const STABLE_WINDOW_MS: u64 = 3000;
const CRASHES_BEFORE: usize = 5;
const TOLERATED: usize = 3;

fn headers(part: &str, number: usize) -> String {
    format!(
        "X-Comfreyroad-Model: *\r\nX-Comfreyroad-Token-Usage: 700,{EVENTS}\r\n\
         X-Comfreyroad-Prompt-Prefix: 10000000:340,{part}:230,{:08x}:130\r\n",
        0x3000_0000 + number
    )
}

fn answer(engine: &Engine, request: &Message, stream: &mut TcpStream) -> bool {
    let head = engine::head(
        request,
        "200 OK",
        "X-Comfreyroad-Server-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in 1..=EVENTS {
        std::thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: event {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if !engine.is_dark() && stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    !engine.is_dark() && stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Begins an answer and crashes; the engine is back after some seconds, in a new lifetime.
fn crash(kind: Kind, engine: &Engine, request: &Message, stream: &mut TcpStream) {
    let head = engine::head(
        request,
        "200 OK",
        "X-Comfreyroad-Server-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    let _ = stream.write_all(format!("{head}12\r\nid: 1").as_bytes());
    match kind {
        Kind::Rare => engine.set_down(true),
        Kind::Dark => engine.go_dark(),
    }
    let engine = engine.clone();
    std::thread::spawn(move || {
        std::thread::sleep(CRASH);
        engine.restart();
    });
}

pub fn run(kind: Kind, record: &Record, files: &Path, has_trouble: bool) -> Outcome {
    let (store, address) = Store::start();
    store.put("keyed.op", "config", &config(kind == Kind::Dark));
    let reached: Arc<Mutex<Vec<u64>>> = Arc::default();
    let (arrivals, arrival_record) = (reached.clone(), record.clone());
    let handler: Handler = Arc::new(move |engine, request, stream| {
        let id = request.header("x-comfreyroad-request-id");
        let is_bad = request
            .header("x-comfreyroad-prompt-prefix")
            .contains(BAD_PART);
        if !is_bad || !has_trouble {
            return answer(engine, request, stream.get_mut());
        }
        arrivals.lock().unwrap().push(arrival_record.millis());
        arrival_record.result(&format!(
            "{} ms: {} begins {id} and crashes",
            arrival_record.millis(),
            engine.id
        ));
        crash(kind, engine, request, stream.get_mut());
        // While the engine is dark, its connections stay open.
        engine.wait_until_back();
        false
    });
    for at in 0..ENGINES {
        let entry = Entry {
            service: "pool",
            version: "v1",
            slots: SLOTS,
            models: vec!["m"],
        };
        Engine::start(&format!("i-m{at}"), &store, entry, handler.clone());
    }
    let first = Proxy::start("edge-1", files, address, &[]);
    let second = Proxy::start("edge-2", files, address, &[first.control]);
    let fronts = [first.front, second.front];
    // The entries hear of each other.
    std::thread::sleep(Duration::from_secs(3));

    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let sound = {
        let (is_over, lost, record) = (is_over.clone(), lost.clone(), record.clone());
        std::thread::spawn(move || {
            let (mut open, mut number) = (Vec::new(), 0_usize);
            while !is_over.load(Ordering::SeqCst) {
                let (id, front) = (new_id(), fronts[number % 2]);
                let part = format!("{:08x}", 0x2000_0000 + number * 37 % 167);
                let text = client::request("POST", "/plan/x", &id, 5_000, &headers(&part, number));
                let (lost, record) = (lost.clone(), record.clone());
                open.push(std::thread::spawn(move || {
                    let stream = client::read_stream(front, &text, Duration::from_secs(12));
                    if !stream.is_complete {
                        record.line(&format!(
                            "sound {id}: status {}, {} events, lost",
                            stream.status,
                            stream.events.len()
                        ));
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                }));
                number += 1;
                std::thread::sleep(SOUND_INTERVAL);
            }
            open.into_iter().for_each(|it| it.join().unwrap());
            number
        })
    };
    for number in 0..kind.requests() {
        let (id, front) = (new_id(), fronts[number % 2]);
        let text = client::request(
            "POST",
            "/plan/x",
            &id,
            10_000,
            &headers(BAD_PART, 0x1000 + number),
        );
        record.line(&format!("{id} is sent, with the part {BAD_PART}"));
        let record = record.clone();
        std::thread::spawn(move || {
            let stream = client::read_stream(front, &text, Duration::from_secs(12));
            record.line(&format!(
                "{id}: status {}, complete: {}",
                stream.status, stream.is_complete
            ));
        });
        let is_last = number + 1 == kind.requests();
        std::thread::sleep(if is_last { LAST_WAIT } else { kind.interval() });
    }
    is_over.store(true, Ordering::SeqCst);
    let sent = sound.join().unwrap();

    let reached = reached.lock().unwrap();
    let counted_from = reached
        .get(CRASHES_BEFORE - 1)
        .map(|fifth| fifth + STABLE_WINDOW_MS);
    let count = counted_from.map_or(0, |from| reached.iter().filter(|at| **at > from).count());
    record.result(&format!(
        "{} crashes; requests with the part that reach engines over {STABLE_WINDOW_MS} ms after the fifth: {count}, \
         {TOLERATED} are tolerated; {} of {sent} sound streams lost",
        reached.len(),
        lost.load(Ordering::SeqCst)
    ));
    if count > TOLERATED {
        record.result("BUDGET is broken");
        return Outcome::Broken;
    }
    Outcome::Held
}
