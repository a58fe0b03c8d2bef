//! A fake engine that records the requests it has run.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::{self, Message};
use super::link::Link;
use super::store::Store;

/// Number of events in a stream.
pub(super) const EVENTS: u64 = 10;
/// Interval between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time to produce a response that is not a stream.
const RESPONSE_TIME: Duration = Duration::from_millis(8);

/// One run of a request.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: String,
    pub(super) engine: usize,
    pub(super) at: Instant,
    pub(super) customer: String,
    pub(super) has_key: bool,
    /// Whether the engine cut its response.
    pub(super) is_cut: bool,
}

/// The runs of all engines; clones share the data.
pub(super) type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Debug)]
struct State {
    incarnation: u64,
    sequence: u64,
    is_draining: bool,
    is_crashed: bool,
    rng: fastrand::Rng,
}

/// A fake engine; clones share its state.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    number: usize,
    pub(super) link: Link,
    store: Store,
    state: Arc<Mutex<State>>,
    runs: Runs,
}

impl Engine {
    pub(super) fn start(number: usize, store: Store, runs: Runs, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Self {
            number,
            link: Link::to(listener.local_addr().unwrap()),
            store,
            state: Arc::new(Mutex::new(State {
                incarnation: 1,
                sequence: 0,
                is_draining: false,
                is_crashed: false,
                rng: fastrand::Rng::with_seed(seed),
            })),
            runs,
        };
        let served = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        engine.register();
        engine
    }

    fn name(&self) -> String {
        format!(
            "i-{}-{}",
            self.number,
            self.state.lock().unwrap().incarnation
        )
    }

    fn register(&self) {
        let name = self.name();
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        let stage = if state.is_draining {
            "draining"
        } else {
            "ready"
        };
        let zone = ["a", "b"][self.number % 2];
        let registration = format!(
            r#"{{"service":"pool","address":"{}","zone":"{zone}","version":"v1","slots":16,"state":"{stage}",
            "cold_left_ms":0,"seq":{},"born":{}}}"#,
            self.link.address, state.sequence, state.incarnation
        );
        self.store.put("keyed.servers", &name, &registration);
    }

    /// Registers as draining; requests are still served.
    pub(super) fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.register();
    }

    /// Crashes: connections break and the registration stays.
    pub(super) fn crash(&self) {
        self.state.lock().unwrap().is_crashed = true;
    }

    /// Restarts under a new name.
    pub(super) fn restart(&self) {
        self.store.put("keyed.servers", &self.name(), "");
        {
            let mut state = self.state.lock().unwrap();
            state.incarnation += 1;
            state.sequence = 0;
            (state.is_crashed, state.is_draining) = (false, false);
        }
        self.register();
    }

    fn is_crashed(&self) -> bool {
        self.state.lock().unwrap().is_crashed
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut stream) {
            if self.is_crashed() || !self.respond(stream.get_mut(), &request) {
                return;
            }
        }
    }

    /// Responds to a request. Returns whether the connection stays open.
    fn respond(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let id = request.header("x-comfreyroad-request-id").to_owned();
        if request.header("x-comfreyroad-target-instance") != self.name() {
            return send(stream, &head(&id, "421 X", "Content-Length: 0\r\n\r\n"));
        }
        let sample = self.state.lock().unwrap().rng.u32(..1000);
        if sample < 10 {
            let rejection = "X-Comfreyroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return send(stream, &head(&id, "503 X", rejection));
        }
        // One percent of responses is lost after the request has run.
        let is_cut = sample < 20;
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            engine: self.number,
            at: Instant::now(),
            customer: request.header("x-comfreyroad-tenant").to_owned(),
            has_key: !request.header("x-comfreyroad-key").is_empty(),
            is_cut,
        });
        if request.path().starts_with("/events/") {
            return self.stream(stream, request, &id, is_cut);
        }
        std::thread::sleep(RESPONSE_TIME);
        if is_cut || self.is_crashed() {
            return false;
        }
        let body = format!("ok {id}");
        let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        send(stream, &head(&id, "200 OK", &length))
    }

    fn stream(&self, stream: &mut TcpStream, request: &Message, id: &str, is_cut: bool) -> bool {
        let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if !send(stream, &head(id, "200 OK", headers)) {
            return false;
        }
        for number in from + 1..=EVENTS {
            let event = event(id, number);
            if self.is_crashed() || (is_cut && number > EVENTS / 2) {
                return false;
            }
            if !send(stream, &format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
        send(stream, "0\r\n\r\n")
    }
}

/// Text of an event in the stream of a request.
pub(super) fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

fn head(id: &str, status: &str, rest: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Server-Signature: s\r\n{rest}"
    )
}

fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
