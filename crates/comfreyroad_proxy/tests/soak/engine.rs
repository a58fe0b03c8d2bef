//! A stand-in of an engine that keeps what it has run.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::{self, Message};
use super::link::Link;
use super::store::Store;

/// Events of a stream.
pub(super) const EVENTS: u64 = 10;
/// Time between two of them.
const GAP: Duration = Duration::from_millis(15);
/// Time of a plain answer.
const WORK: Duration = Duration::from_millis(8);

/// One run of a request.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: String,
    pub(super) engine: usize,
    pub(super) at: Instant,
    pub(super) customer: String,
    pub(super) has_key: bool,
    /// Whether the engine broke its answer off.
    pub(super) is_broken: bool,
}

/// All runs of all engines; clones share them.
pub(super) type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Debug)]
struct State {
    start: u64,
    sequence: u64,
    is_draining: bool,
    is_dead: bool,
    rng: fastrand::Rng,
}

/// An engine; clones share its state.
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
                start: 1,
                sequence: 0,
                is_draining: false,
                is_dead: false,
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
        format!("i-{}-{}", self.number, self.state.lock().unwrap().start)
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
        let entry = format!(
            r#"{{"service":"pool","address":"{}","zone":"{zone}","version":"v1","slots":16,"state":"{stage}",
            "cold_left_ms":0,"seq":{},"born":{}}}"#,
            self.link.address, state.sequence, state.start
        );
        self.store.put("keyed.servers", &name, &entry);
    }

    /// Says that it leaves; it serves on.
    pub(super) fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.register();
    }

    /// Ends without a word: connections break.
    pub(super) fn crash(&self) {
        self.state.lock().unwrap().is_dead = true;
    }

    /// Starts anew under another name.
    pub(super) fn restart(&self) {
        self.store.put("keyed.servers", &self.name(), "");
        {
            let mut state = self.state.lock().unwrap();
            state.start += 1;
            state.sequence = 0;
            (state.is_dead, state.is_draining) = (false, false);
        }
        self.register();
    }

    fn is_dead(&self) -> bool {
        self.state.lock().unwrap().is_dead
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read(&mut stream) {
            if self.is_dead() || !self.answer(stream.get_mut(), &request) {
                return;
            }
        }
    }

    /// Answers a request; whether the connection goes on.
    fn answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let id = request.header("x-comfreyroad-request-id").to_owned();
        if request.header("x-comfreyroad-target-instance") != self.name() {
            return send(stream, &head(&id, "421 X", "Content-Length: 0\r\n\r\n"));
        }
        let luck = self.state.lock().unwrap().rng.u32(..1000);
        if luck < 10 {
            let rejection = "X-Comfreyroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return send(stream, &head(&id, "503 X", rejection));
        }
        // Ten in a thousand answers are lost after the run.
        let is_broken = luck < 20;
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            engine: self.number,
            at: Instant::now(),
            customer: request.header("x-comfreyroad-tenant").to_owned(),
            has_key: !request.header("x-comfreyroad-key").is_empty(),
            is_broken,
        });
        if request.path().starts_with("/events/") {
            return self.stream(stream, request, &id, is_broken);
        }
        std::thread::sleep(WORK);
        if is_broken || self.is_dead() {
            return false;
        }
        let body = format!("ok {id}");
        let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        send(stream, &head(&id, "200 OK", &length))
    }

    fn stream(&self, stream: &mut TcpStream, request: &Message, id: &str, is_broken: bool) -> bool {
        let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if !send(stream, &head(id, "200 OK", more)) {
            return false;
        }
        for number in from + 1..=EVENTS {
            let event = event(id, number);
            if self.is_dead() || (is_broken && number > EVENTS / 2) {
                return false;
            }
            if !send(stream, &format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            std::thread::sleep(GAP);
        }
        send(stream, "0\r\n\r\n")
    }
}

/// An event of a request's stream.
pub(super) fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

fn head(id: &str, status: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Server-Signature: s\r\n{more}"
    )
}

fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
