//! A fake engine that records the requests it has run.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::caller::PROBE_ID;
use super::health::Health;
use super::http::{self, Message};
use super::link::Link;
use super::scenario::Scenario;
use super::store::Store;
use super::work::Work;

/// Number of events in a stream.
pub(super) const EVENTS: u64 = 10;
/// Time in which an engine notices that a connection was closed before it received the request.
const CANCELLATION_TIME: Duration = Duration::from_millis(20);
/// Time for which a cold engine says that it will be cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// One run of a request.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: String,
    pub(super) engine: usize,
    pub(super) at: Instant,
    pub(super) customer: String,
    pub(super) has_key: bool,
    pub(super) body: String,
    /// Whether the engine cut its response.
    pub(super) is_cut: bool,
    /// When the engine began to work on the request, which a pause may delay.
    pub(super) began: Option<Instant>,
    /// When the engine last worked on the request.
    pub(super) last_worked: Option<Instant>,
    /// When the engine last sent an event or the end of the response.
    pub(super) last_sent: Option<Instant>,
    /// Longest time between two parts of the response.
    pub(super) longest_silence: Duration,
    /// When the engine noticed that the connection was closed.
    pub(super) closed: Option<Instant>,
    /// When the engine sent the end of the response.
    pub(super) finished: Option<Instant>,
}

impl Run {
    /// Notes that a part of the response is sent.
    pub(super) fn send(&mut self) {
        let now = Instant::now();
        self.note_silence(now);
        self.last_sent = Some(now);
    }

    /// Notes that nothing has been sent until an instant.
    pub(super) fn note_silence(&mut self, until: Instant) {
        let silence = until - self.last_sent.unwrap_or(self.at);
        self.longest_silence = self.longest_silence.max(silence);
    }

    /// Whether the connection was closed when the engine received the request.
    pub(super) fn was_cancelled_on_arrival(&self) -> bool {
        self.closed
            .is_some_and(|closed| closed <= self.at + CANCELLATION_TIME)
    }

    /// When the engine stopped to hold the request; `None` if it still does.
    pub(super) fn ended(&self) -> Option<Instant> {
        self.finished.or(self.closed)
    }
}

/// The runs of all engines; clones share the data.
pub(super) type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Debug)]
struct State {
    incarnation: u64,
    sequence: u64,
    is_draining: bool,
    is_crashed: bool,
    health: Health,
    rng: fastrand::Rng,
}

/// A fake engine; clones share its state.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    number: usize,
    pub(super) link: Link,
    store: Store,
    state: Arc<Mutex<State>>,
    pub(super) runs: Runs,
    scenario: Scenario,
}

impl Engine {
    pub(super) fn start(
        number: usize,
        store: Store,
        runs: Runs,
        scenario: Scenario,
        seed: u64,
    ) -> Self {
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
                health: Health::Sound,
                rng: fastrand::Rng::with_seed(seed),
            })),
            runs,
            scenario,
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
        let cold_millis = if state.health == Health::Cold {
            COLD_TIME.as_millis()
        } else {
            0
        };
        let registration = format!(
            r#"{{"service":"pool","address":"{}","zone":"{zone}","version":"v1","slots":16,"state":"{stage}",
            "cold_left_ms":{cold_millis},"seq":{},"born":{}}}"#,
            self.link.address, state.sequence, state.incarnation
        );
        self.store.put("keyed.servers", &name, &registration);
    }

    /// Registers as draining; requests are still served.
    pub(super) fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.register();
    }

    pub(super) fn set_health(&self, health: Health) {
        self.state.lock().unwrap().health = health;
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
            state.health = Health::Sound;
        }
        self.register();
    }

    /// Writes again what a restored store lacks: that it has left under its earlier names, and its registration.
    pub(super) fn register_again(&self) {
        let incarnation = self.state.lock().unwrap().incarnation;
        for earlier in 1..incarnation {
            let name = format!("i-{}-{earlier}", self.number);
            self.store.put("keyed.servers", &name, "");
        }
        if !self.is_crashed() {
            self.register();
        }
    }

    pub(super) fn is_crashed(&self) -> bool {
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
        let (sample, pause, health) = {
            let mut state = self.state.lock().unwrap();
            let health = state.health;
            let pause = self.scenario.pause(health, &mut state.rng);
            (state.rng.u32(..1000), pause, health)
        };
        let pause = pause.filter(|_| id != PROBE_ID);
        if sample < 10 || health == Health::Breaking && sample >= 800 {
            let rest = "X-Comfreyroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            let rejection = head(&id, "503 X", rest);
            return send(stream, &rejection) && self.send_copy(stream, &rejection);
        }
        let run = Run {
            id,
            engine: self.number,
            at: Instant::now(),
            customer: request.header("x-comfreyroad-tenant").to_owned(),
            has_key: !request.header("x-comfreyroad-key").is_empty(),
            body: request.text(),
            is_cut: false,
            began: None,
            last_worked: None,
            last_sent: None,
            longest_silence: Duration::ZERO,
            closed: None,
            finished: None,
        };
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        // One percent of responses is lost after the request has run.
        let breaks_off = sample < 20 || health == Health::Breaking && sample < 500;
        Work::new(self, stream, index, pause, breaks_off).respond(request)
    }

    /// A faulty engine sends each rejection once more, late and without the id of its request. Returns whether the connection
    /// stays open.
    fn send_copy(&self, stream: &mut TcpStream, rejection: &str) -> bool {
        let delay = {
            let mut state = self.state.lock().unwrap();
            if state.health != Health::Breaking {
                return true;
            }
            Duration::from_millis(state.rng.u64(..300))
        };
        std::thread::sleep(delay);
        send(
            stream,
            &rejection.replace("X-Comfreyroad-Request-Id", "X-Other"),
        )
    }
}

/// Text of an event in the stream of a request.
pub(super) fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

pub(super) fn head(id: &str, status: &str, rest: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Server-Signature: s\r\n{rest}"
    )
}

pub(super) fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
