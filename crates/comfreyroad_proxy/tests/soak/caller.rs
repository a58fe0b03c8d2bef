//! Callers that keep their connections until they end, and record what they get.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::{self, Message};

/// Time that a caller gives its request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time to wait for an answer, a little longer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time to wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Once,
    Again,
    Events,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) entry: usize,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    /// The answer; none if the connection ended without one.
    pub(super) answer: Option<Message>,
}

impl Outcome {
    pub(super) fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    pub(super) fn is_whole(&self) -> bool {
        self.answer.as_ref().is_some_and(|it| it.is_whole)
    }
}

/// What all callers share.
#[derive(Clone, Debug)]
pub(super) struct Callers {
    pub(super) fronts: Vec<SocketAddr>,
    pub(super) outcomes: Arc<Mutex<Vec<Outcome>>>,
    pub(super) is_over: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl Callers {
    pub(super) fn new(fronts: Vec<SocketAddr>) -> Self {
        Self {
            fronts,
            outcomes: Arc::default(),
            is_over: Arc::default(),
            next: Arc::default(),
        }
    }

    /// Asks one request after the other until the run is over.
    pub(super) fn run(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut kept: Option<(usize, BufReader<TcpStream>)> = None;
        while !self.is_over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(rng.u64(10..40)));
            let entry = rng.usize(..self.fronts.len());
            let fresh = || Some((entry, connect(self.fronts[entry])?));
            let Some((entry, mut stream)) = kept.take().or_else(fresh) else {
                continue;
            };
            let kind = [Kind::Once, Kind::Again, Kind::Events][rng.usize(..3)];
            let outcome = self.ask(&mut stream, entry, kind);
            let answer = outcome.answer.as_ref().filter(|it| it.is_whole);
            if answer.is_some_and(|it| it.header("connection") != "close") {
                kept = Some((entry, stream));
            }
            self.outcomes.lock().unwrap().push(outcome);
        }
    }

    /// Asks one request of an entry on a connection.
    pub(super) fn ask(
        &self,
        stream: &mut BufReader<TcpStream>,
        entry: usize,
        kind: Kind,
    ) -> Outcome {
        let id = format!("r{}", self.next.fetch_add(1, Ordering::Relaxed));
        let path = match kind {
            Kind::Once => "POST /once/x",
            Kind::Again => "GET /again/x",
            Kind::Events => "POST /events/x",
        };
        let sent = Instant::now();
        let written = stream.get_mut().write_all(request(path, &id).as_bytes());
        let answer = written.ok().and_then(|()| http::read(stream));
        Outcome {
            id,
            kind,
            entry,
            sent,
            ended: Instant::now(),
            answer,
        }
    }
}

/// A connection, if there is one to be had.
pub(super) fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(BufReader::new(stream))
}

/// The status that a path gives on a connection of its own.
pub(super) fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = connect(address)?;
    let request = request(&format!("GET {path}"), "probe");
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    Some(http::read(&mut stream)?.status())
}

fn request(path: &str, id: &str) -> String {
    let deadline = DEADLINE.as_millis();
    format!(
        "{path} HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Deadline-Ms: {deadline}\r\n\
         X-Comfreyroad-Key: key\r\nX-Comfreyroad-Tenant: forged\r\nContent-Length: 0\r\n\r\n"
    )
}
