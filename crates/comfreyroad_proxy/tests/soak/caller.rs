//! Callers, which reuse their connections and record the outcome of each request.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::{self, Message};

/// Deadline of a request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);
/// Timeout of a caller's reads, a little longer than the deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Kind of a request: one that may run only once, one that may be retried, or a resumable event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Once,
    Retryable,
    Events,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) entry: usize,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    /// The response; `None` if the connection closed without one.
    pub(super) response: Option<Message>,
}

impl Outcome {
    pub(super) fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, Message::status)
    }

    pub(super) fn is_complete(&self) -> bool {
        self.response.as_ref().is_some_and(|it| it.is_complete)
    }
}

/// State shared by all callers.
#[derive(Clone, Debug)]
pub(super) struct Callers {
    pub(super) fronts: Vec<SocketAddr>,
    pub(super) outcomes: Arc<Mutex<Vec<Outcome>>>,
    pub(super) is_finished: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

impl Callers {
    pub(super) fn new(fronts: Vec<SocketAddr>) -> Self {
        Self {
            fronts,
            outcomes: Arc::default(),
            is_finished: Arc::default(),
            next_id: Arc::default(),
        }
    }

    /// Sends one request after the other until the run is finished.
    pub(super) fn run(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut idle: Option<(usize, BufReader<TcpStream>)> = None;
        while !self.is_finished.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(rng.u64(10..40)));
            let entry = rng.usize(..self.fronts.len());
            let open = || Some((entry, connect(self.fronts[entry])?));
            let Some((entry, mut stream)) = idle.take().or_else(open) else {
                continue;
            };
            let kind = [Kind::Once, Kind::Retryable, Kind::Events][rng.usize(..3)];
            let outcome = self.send(&mut stream, entry, kind);
            let response = outcome.response.as_ref().filter(|it| it.is_complete);
            if response.is_some_and(|it| it.header("connection") != "close") {
                idle = Some((entry, stream));
            }
            self.outcomes.lock().unwrap().push(outcome);
        }
    }

    /// Sends one request to an entry on a connection and waits for the response.
    pub(super) fn send(
        &self,
        stream: &mut BufReader<TcpStream>,
        entry: usize,
        kind: Kind,
    ) -> Outcome {
        let id = format!("r{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let target = match kind {
            Kind::Once => "POST /once/x",
            Kind::Retryable => "GET /again/x",
            Kind::Events => "POST /events/x",
        };
        let sent = Instant::now();
        let written = stream
            .get_mut()
            .write_all(request_text(target, &id).as_bytes());
        let response = written.ok().and_then(|()| http::read_message(stream));
        Outcome {
            id,
            kind,
            entry,
            sent,
            ended: Instant::now(),
            response,
        }
    }
}

/// Opens a connection; `None` if this fails.
pub(super) fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// Requests a path on a new connection and returns the status.
pub(super) fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = connect(address)?;
    let request = request_text(&format!("GET {path}"), "probe");
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    Some(http::read_message(&mut stream)?.status())
}

fn request_text(target: &str, id: &str) -> String {
    let deadline = REQUEST_DEADLINE.as_millis();
    format!(
        "{target} HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Deadline-Ms: {deadline}\r\n\
         X-Comfreyroad-Key: key\r\nX-Comfreyroad-Tenant: forged\r\nContent-Length: 0\r\n\r\n"
    )
}
