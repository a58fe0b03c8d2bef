//! An engine that wants no requests for a time is cut off from the store for some seconds meanwhile.

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Outcome;
use crate::client::{self, new_id};
use crate::engine::{self, Engine, Entry, Handler};
use crate::http;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// A route, a service and limits like those of a small deployment.
const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"r-lookup","host":"h.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":1500,
  "target_latency_ms":300,"priority":0,"service":"desk","max_attempts":2}],
 "services":[{"name":"desk","health_path":"/health","max_conns":100,"cold_start_s":0.0,"cold_per_s":0.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["key"],"priority":1}]}"#;

const ENGINES: usize = 3;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(60);
/// Clients that each send one request after the other: as many as two engines have slots.
const CLIENTS: usize = 12;
/// What `i-d0` states in its rejections, and how long it takes for one.
const RETRY_AFTER_S: u64 = 20;
const REJECTION_TIME: Duration = Duration::from_millis(50);
/// Time after a rejection from which the rule counts what reaches the engine.
const COUNTED_AFTER_MS: u64 = 500;
/// Requests that may reach it all the same.
const TOLERATED: usize = 2;

const BEFORE_CUT: Duration = Duration::from_secs(3);
/// The store removes an entry after three heartbeats of silence. The cut lasts 5 s.
const LAPSE: Duration = Duration::from_millis(3600);
const REST_OF_CUT: Duration = Duration::from_millis(1400);

pub fn run(record: &Record, files: &Path, has_trouble: bool) -> Outcome {
    let (store, address) = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let reached: Arc<Mutex<Vec<u64>>> = Arc::default();
    let (arrivals, arrival_record) = (reached.clone(), record.clone());
    let handler: Handler = Arc::new(move |engine, request, stream| {
        let id = request.header("x-comfreyroad-request-id");
        if engine.id != "i-d0" {
            std::thread::sleep(WORK);
            let answer = engine::success(request, "");
            return stream.get_mut().write_all(answer.as_bytes()).is_ok();
        }
        arrivals.lock().unwrap().push(arrival_record.millis());
        arrival_record.line(&format!("{} turns {id} away", engine.id));
        std::thread::sleep(REJECTION_TIME);
        let headers = format!(
            "X-Comfreyroad-Not-Executed: 1\r\nRetry-After: {RETRY_AFTER_S}\r\nContent-Length: 0\r\n"
        );
        let answer = engine::head(request, "503 Service Unavailable", &headers);
        stream.get_mut().write_all(answer.as_bytes()).is_ok()
    });
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|at| {
            let entry = Entry {
                service: "desk",
                version: "v1",
                slots: SLOTS,
                models: vec![],
            };
            Engine::start(&format!("i-d{at}"), &store, entry, handler.clone())
        })
        .collect();
    let proxy = Proxy::start("edge-1", files, address, &[]);
    let front = proxy.front;
    std::thread::sleep(Duration::from_secs(1));

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (is_over, record) = (is_over.clone(), record.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let text = client::request("GET", "/lookup/x", &id, 1500, "");
                    let answer = http::exchange(front, &text, Duration::from_secs(3));
                    let status = answer.map_or(0, |it| it.status());
                    record.line(&format!("{id} answered: {status}"));
                }
            })
        })
        .collect();
    std::thread::sleep(BEFORE_CUT);
    if has_trouble {
        engines[0].set_reaches_store(false);
        record.result(&format!(
            "{} ms: i-d0 is cut off from the store",
            record.millis()
        ));
    }
    std::thread::sleep(LAPSE);
    if has_trouble {
        store.put("keyed.servers", &engines[0].id, "");
        record.result(&format!(
            "{} ms: the store removes its entry",
            record.millis()
        ));
    }
    std::thread::sleep(REST_OF_CUT);
    engines[0].set_reaches_store(true);
    record.result(&format!("{} ms: i-d0 reaches the store", record.millis()));
    std::thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| it.join().unwrap());

    let reached = reached.lock().unwrap();
    let first = reached.first().copied().unwrap_or_default();
    let counted = first + COUNTED_AFTER_MS..first + RETRY_AFTER_S * 1000;
    let count = reached.iter().filter(|at| counted.contains(at)).count();
    record.result(&format!(
        "i-d0 has turned {} requests away, the first at {first} ms for {RETRY_AFTER_S} s; {count} of them came between half a second \
         after that and its end, {TOLERATED} are tolerated",
        reached.len()
    ));
    if reached.is_empty() {
        panic!("no request has reached the engine");
    }
    if count > TOLERATED {
        record.result("BUDGET is broken");
        return Outcome::Broken;
    }
    Outcome::Held
}
