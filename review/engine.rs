//! Stand-in of a model engine: it answers streams, registers itself in the store, and drops a request when its channel closes.
//!
//! It keeps to `PROTOCOL.md`: a request starts to run with its first token, an event holds several tokens, and a request may be
//! preempted when memory is short, also in the middle of its stream, and goes on later.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message};
use crate::record::Record;
use crate::store::Store;

/// Interval at which an engine looks whether the channel of a request is still open.
const STEP: Duration = Duration::from_millis(10);
/// Interval of the engines' reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// How an engine works on a request.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Time until the first token, with which the request starts to run.
    pub first_token: Duration,
    /// Time for each event.
    pub event: Duration,
    /// Number of the last event.
    pub events: u64,
    /// Preemption: after so many events of this run, and for how long. After 0 events the first token was made already.
    pub preempted: Option<(u64, Duration)>,
}

/// One run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub request: String,
    /// When the first token was made.
    pub started: Option<Instant>,
    /// When the engine last made a token.
    pub worked_until: Option<Instant>,
    pub is_complete: bool,
}

/// The runs of all engines, in the order of their arrival.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("the runs").clone()
    }

    /// Adds a run, and returns its index and how many runs of the request there were before.
    fn add(&self, engine: &str, request: &str) -> (usize, usize) {
        let mut runs = self.0.lock().expect("the runs");
        let before = runs.iter().filter(|it| it.request == request).count();
        runs.push(Run {
            engine: engine.to_owned(),
            request: request.to_owned(),
            started: None,
            worked_until: None,
            is_complete: false,
        });
        (runs.len() - 1, before)
    }

    fn update(&self, index: usize, change: impl FnOnce(&mut Run)) {
        change(&mut self.0.lock().expect("the runs")[index]);
    }
}

/// Chooses the schedule of a request, given how many runs of it there were before.
pub type Plan = Arc<dyn Fn(&Message, usize) -> Schedule + Send + Sync>;

#[derive(Clone)]
struct Engine {
    id: String,
    plan: Plan,
    runs: Runs,
    record: Arc<Record>,
}

/// Why a run ended early.
struct Dropped;

/// Starts an engine of the service `pool`, which reports to the store.
pub fn start(id: &str, store: &Store, plan: Plan, runs: &Runs, record: &Arc<Record>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an engine");
    let address = listener.local_addr().expect("an address");
    report(id.to_owned(), address, store.clone());
    let engine = Engine {
        id: id.to_owned(),
        plan,
        runs: runs.clone(),
        record: record.clone(),
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = engine.clone();
            std::thread::spawn(move || engine.serve(stream));
        }
    });
}

fn report(id: String, address: SocketAddr, store: Store) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.map_or(0, |it| it.as_millis());
    let write = move |seq: u64| {
        let entry = format!(
            r#"{{"service":"pool","address":"{address}","zone":"a","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq},"born":{born}}}"#
        );
        store.put("keyed.servers", &id, &entry);
    };
    write(1);
    std::thread::spawn(move || {
        for seq in 2.. {
            std::thread::sleep(HEARTBEAT);
            write(seq);
        }
    });
}

impl Engine {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream) {
            let is_served = if self.is_meant(&request) {
                self.run(stream.get_mut(), &request)
            } else {
                self.turn_away(stream.get_mut(), &request)
            };
            if is_served.is_err() {
                return;
            }
        }
    }

    /// Writes to the record, except of the many requests that only fill a case.
    fn say(&self, id: &str, text: &str) {
        if !id.starts_with('g') {
            self.record
                .line(&format!("engine {}: {id} {text}", self.id));
        }
    }

    fn is_meant(&self, request: &Message) -> bool {
        let target = request.header("x-comfreyroad-target-instance");
        target.is_none_or(|target| target == self.id)
    }

    fn turn_away(&self, stream: &mut TcpStream, request: &Message) -> Result<(), Dropped> {
        let id = request
            .header("x-comfreyroad-request-id")
            .unwrap_or_default();
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Comfreyroad-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).map_err(|_| Dropped)
    }

    fn run(&self, stream: &mut TcpStream, request: &Message) -> Result<(), Dropped> {
        let id = request
            .header("x-comfreyroad-request-id")
            .unwrap_or_default()
            .to_owned();
        let (index, before) = self.runs.add(&self.id, &id);
        let say = |text: &str| self.say(&id, text);
        let from = request
            .header("last-event-id")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        say(&format!("arrives, to go on after event {from}"));
        let schedule = (self.plan)(request, before);
        let result = self.generate(stream, &id, (index, from), &schedule);
        match &result {
            Ok(()) => say("is complete"),
            Err(Dropped) => say("is dropped, since its channel was closed"),
        }
        result
    }

    fn generate(
        &self,
        stream: &mut TcpStream,
        id: &str,
        (index, from): (usize, u64),
        schedule: &Schedule,
    ) -> Result<(), Dropped> {
        let say = |text: &str| self.say(id, text);
        wait(stream, schedule.first_token, || {})?;
        let work = || {
            self.runs
                .update(index, |run| run.worked_until = Some(Instant::now()));
        };
        self.runs
            .update(index, |run| run.started = Some(Instant::now()));
        work();
        say("runs: its first token is made");
        let mut has_head = false;
        for event in from + 1..=schedule.events {
            if let Some((after, time)) = schedule.preempted
                && event == from + after + 1
            {
                say("is preempted, memory is short");
                wait(stream, time, || {})?;
                say("goes on, it was read in again");
            }
            wait(stream, schedule.event, work)?;
            let mut text = String::new();
            if !std::mem::replace(&mut has_head, true) {
                text = format!(
                    "HTTP/1.1 200 OK\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Server-Signature: s.{}\r\n\
                     X-Comfreyroad-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n",
                    self.id
                );
            }
            let body = format!("id: {event}\ndata: piece {event}\n\n");
            text.push_str(&format!("{:x}\r\n{body}\r\n", body.len()));
            stream.write_all(text.as_bytes()).map_err(|_| Dropped)?;
        }
        stream.write_all(b"0\r\n\r\n").map_err(|_| Dropped)?;
        self.runs.update(index, |run| run.is_complete = true);
        Ok(())
    }
}

/// Waits, and calls `step` meanwhile; fails if the channel closes.
fn wait(stream: &TcpStream, time: Duration, step: impl Fn()) -> Result<(), Dropped> {
    let until = Instant::now() + time;
    loop {
        if is_closed(stream) {
            return Err(Dropped);
        }
        step();
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        std::thread::sleep(left.min(STEP));
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
