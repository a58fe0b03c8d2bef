//! Stand-in of an engine, which registers itself in the store and may crash and come back.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Interval of an engine's reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Silence after which the store removes an entry: three status report intervals.
const EXPIRY: Duration = Duration::from_millis(3600);
/// Interval of the work of the thread that registers an engine.
const TICK: Duration = Duration::from_millis(20);
const TOPIC: &str = "keyed.servers";

/// What an engine is.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: &'static str,
    pub version: &'static str,
    pub slots: usize,
    /// Names of its models, each in quotes, with commas between; empty for a plain service.
    pub models: &'static str,
    /// How long it is cold after a start during traffic.
    pub cold: Duration,
}

/// What an engine does with a request that it is to run.
pub type Behaviour = Arc<dyn Fn(&Engine, &Message, &mut TcpStream) -> Next + Send + Sync>;

/// What follows an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
    /// The engine crashes, and is back after a time, with or without its id.
    Crash {
        down: Duration,
        keeps_id: bool,
    },
}

/// An engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub kind: Kind,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub record: Record,
    name: String,
    store: Store,
    behaviour: Behaviour,
    running: Arc<AtomicUsize>,
    life: Arc<Mutex<Life>>,
}

#[derive(Debug)]
struct Life {
    number: u64,
    id: String,
    born: u128,
    seq: u64,
    state: &'static str,
    is_up: bool,
    back_at: Option<(Instant, bool)>,
    cold_until: Option<Instant>,
    last_report: Option<Instant>,
    // Ids in the store, and when they were last reported.
    listed: Vec<(String, Instant)>,
    connections: Vec<TcpStream>,
}

impl Engine {
    pub fn start(
        (name, zone): (&str, &'static str),
        kind: Kind,
        store: &Store,
        record: &Record,
        behaviour: Behaviour,
    ) -> Self {
        let listener = TcpListener::bind(crate::own_address()).expect("a port for an engine");
        let address = listener.local_addr().expect("the address of an engine");
        let life = Life {
            number: 0,
            id: format!("i-{name}-0"),
            born: unix_ms(),
            seq: 0,
            state: "ready",
            is_up: true,
            back_at: None,
            cold_until: None,
            last_report: None,
            listed: Vec::new(),
            connections: Vec::new(),
        };
        let engine = Self {
            kind,
            zone,
            address,
            record: record.clone(),
            name: name.to_owned(),
            store: store.clone(),
            behaviour,
            running: Arc::default(),
            life: Arc::new(Mutex::new(life)),
        };
        let served = engine.clone();
        std::thread::spawn(move || served.accept(listener));
        let registered = engine.clone();
        std::thread::spawn(move || registered.register());
        engine
    }

    pub fn id(&self) -> String {
        self.life().id.clone()
    }

    /// Whether the engine is cold.
    pub fn is_cold(&self) -> bool {
        self.life().cold_until.is_some_and(|at| at > Instant::now())
    }

    /// Reports that the engine is about to leave.
    pub fn drain(&self) {
        let mut life = self.life();
        life.state = "draining";
        life.last_report = None;
    }

    /// Leaves: the engine takes no more requests, and the store removes its entry.
    pub fn leave(&self) {
        let mut life = self.life();
        self.record.note(format!("engine {} leaves", life.id));
        life.crash();
        for (id, _) in std::mem::take(&mut life.listed) {
            self.store.put(TOPIC, &id, "");
        }
    }

    /// Crashes. The engine is back after a time, cold for `cold`, with or without its id.
    pub fn crash(&self, down: Duration, keeps_id: bool) {
        let mut life = self.life();
        if life.is_up {
            self.record.crash(&life.id);
            life.crash();
            life.back_at = Some((Instant::now() + down, keeps_id));
        }
    }

    /// The head of an answer to a request, up to the framing.
    pub fn head(&self, request: &Message, status: &str, is_signed: bool) -> String {
        let id = request.header("x-comfreyroad-request-id");
        let running = self.running.load(Ordering::SeqCst);
        let slots = self.kind.slots;
        let signature = if is_signed {
            "X-Comfreyroad-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        } else {
            ""
        };
        format!(
            "HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\n{signature}\
             X-Comfreyroad-Instance-Load: {running},0,{slots}\r\n"
        )
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("the lock of an engine")
    }

    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let is_up = self.life().is_up;
            if !is_up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(listener) = &listener else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            listener.set_nonblocking(true).expect("a listener");
            match listener.accept() {
                Ok((stream, _)) => self.spawn(stream),
                Err(_) => std::thread::sleep(Duration::from_micros(500)),
            }
        }
    }

    fn spawn(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut life = self.life();
        if !life.is_up {
            return;
        }
        if let Ok(clone) = stream.try_clone() {
            life.connections.push(clone);
        }
        let number = life.number;
        drop(life);
        let engine = self.clone();
        std::thread::spawn(move || engine.serve(stream, number));
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut stream) {
            if self.life().number != number || !request.is_complete {
                return;
            }
            let wanted = request.header("x-comfreyroad-target-instance");
            let own = self.id();
            if !wanted.is_empty() && wanted != own {
                let head = self.head(&request, "421 Misdirected Request", false);
                let text =
                    format!("{head}X-Comfreyroad-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
                if stream.get_mut().write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let next = (self.behaviour)(self, &request, stream.get_mut());
            self.running.fetch_sub(1, Ordering::SeqCst);
            match next {
                Next::Keep => {}
                Next::Close => return,
                Next::Crash { down, keeps_id } => {
                    self.crash(down, keeps_id);
                    return;
                }
            }
        }
    }

    /// Reports to the store, has the store remove what is silent, and starts again after a crash.
    fn register(&self) {
        loop {
            let now = Instant::now();
            let mut life = self.life();
            if let Some((at, keeps_id)) = life.back_at
                && at <= now
            {
                life.restart(&self.name, keeps_id, self.kind.cold);
                self.record.note(format!("engine {} starts", life.id));
            }
            let is_due = life.last_report.is_none_or(|at| at + HEARTBEAT <= now);
            if life.is_up && is_due && !self.store.is_down() {
                self.report(&mut life, now);
            }
            // While the store is down, its times pause.
            if self.store.is_down() {
                for (_, at) in &mut life.listed {
                    *at += TICK;
                }
            }
            let (kept, silent) = std::mem::take(&mut life.listed)
                .into_iter()
                .partition(|(_, at)| *at + EXPIRY > now);
            life.listed = kept;
            for (id, _) in silent {
                self.record.note(format!("store removes {id}"));
                self.store.put(TOPIC, &id, "");
            }
            drop(life);
            std::thread::sleep(TICK);
        }
    }

    fn report(&self, life: &mut Life, now: Instant) {
        life.seq += 1;
        life.last_report = Some(now);
        let cold = life
            .cold_until
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        let models: Vec<String> = self
            .kind
            .models
            .split(',')
            .filter(|it| !it.is_empty())
            .map(|it| format!("{{\"name\":{it},\"version\":1,\"adapters\":[]}}"))
            .collect();
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{}\",\
             \"cold_left_ms\":{},\"stage\":\"colocated\",\"models\":[{}],\"seq\":{},\"born\":{}}}",
            self.kind.service,
            self.address,
            self.zone,
            self.kind.version,
            self.kind.slots,
            life.state,
            cold.as_millis(),
            models.join(","),
            life.seq,
            life.born
        );
        self.store.put(TOPIC, &life.id, &text);
        let id = life.id.clone();
        match life.listed.iter_mut().find(|(it, _)| *it == id) {
            Some((_, at)) => *at = now,
            None => {
                self.record.note(format!("store lists {id}"));
                life.listed.push((id, now));
            }
        }
    }
}

impl Life {
    fn crash(&mut self) {
        self.is_up = false;
        self.number += 1;
        for connection in self.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn restart(&mut self, name: &str, keeps_id: bool, cold: Duration) {
        self.is_up = true;
        self.back_at = None;
        self.cold_until = Some(Instant::now() + cold);
        self.born = unix_ms();
        self.seq = 0;
        self.last_report = None;
        if !keeps_id {
            self.id = format!("i-{name}-{}", self.number);
        }
    }
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis())
}
