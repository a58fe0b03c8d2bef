//! Callers, which reuse their connections and record the outcome of each request.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::backlog;
use super::body::{self, Body};
use super::http::{self, Message};
use super::scenario::Scenario;

/// Id of all probes, which the engines do not pause.
pub(super) const PROBE_ID: &str = "probe";
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after the time limit of a request for which a caller still reads.
const READ_MARGIN: Duration = Duration::from_secs(1);
/// Number of open connections that a caller keeps.
const MAX_OPEN_CONNECTIONS: usize = 4;
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Allowance for the scheduling of callers, links and engines.
pub(super) const SLACK: Duration = Duration::from_millis(200);

/// Kind of a request: one that may run only once, one that may be retried, or a resumable event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Once,
    Retryable,
    Events,
}

/// A request as its caller means it.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) kind: Kind,
    /// Time that an engine works on it.
    pub(super) work: Duration,
    pub(super) body: Body,
    /// Time after which the caller begins to read.
    pub(super) reading_pause: Duration,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) entry: usize,
    pub(super) body: String,
    /// When the first byte was sent.
    pub(super) started: Instant,
    /// When the last byte was sent; `None` if the request was not sent whole.
    pub(super) sent: Option<Instant>,
    /// Whether it had been read whole [`SLACK`] after its last byte and was not answered then.
    pub(super) is_read: bool,
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
    pub(super) scenario: Scenario,
    next_id: Arc<AtomicU64>,
}

impl Callers {
    pub(super) fn new(fronts: Vec<SocketAddr>, scenario: Scenario) -> Self {
        Self {
            fronts,
            outcomes: Arc::default(),
            is_finished: Arc::default(),
            scenario,
            next_id: Arc::default(),
        }
    }

    /// Sends one request after the other until the run is finished.
    ///
    /// Connections stay open, also unused, and are used until they close or say that they will.
    pub(super) fn run(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut open: Vec<(usize, BufReader<TcpStream>)> = Vec::new();
        while !self.is_finished.load(Ordering::Relaxed) {
            std::thread::sleep(self.scenario.caller_pause(&mut rng));
            if open.is_empty() || open.len() < MAX_OPEN_CONNECTIONS && rng.u32(..100) < 40 {
                let entry = rng.usize(..self.fronts.len());
                open.extend(connect(self.fronts[entry]).map(|stream| (entry, stream)));
                if rng.bool() {
                    continue;
                }
            }
            if open.is_empty() {
                continue;
            }
            let (entry, mut stream) = open.swap_remove(rng.usize(..open.len()));
            let kind = [Kind::Once, Kind::Retryable, Kind::Events][rng.usize(..3)];
            let request = self.scenario.request(kind, &mut rng);
            let outcome = self.send(&mut stream, entry, &request);
            let response = outcome.response.as_ref().filter(|it| it.is_complete);
            let stays_open = |it: &Message| it.header("connection") != "close";
            if outcome.sent.is_some() && response.is_some_and(stays_open) {
                open.push((entry, stream));
            }
            self.outcomes.lock().unwrap().push(outcome);
        }
    }

    /// Sends one request to an entry on a connection and waits for the response.
    pub(super) fn send(
        &self,
        stream: &mut BufReader<TcpStream>,
        entry: usize,
        request: &Request,
    ) -> Outcome {
        let Request {
            kind,
            work,
            body,
            reading_pause,
        } = request;
        let id = format!("r{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let route = match kind {
            Kind::Once => "POST /once",
            Kind::Retryable => "GET /again",
            Kind::Events => "POST /events",
        };
        let target = format!("{route}/{}", work.as_millis());
        let timeout = self.scenario.request_timeout();
        let head = request_text(&target, &id, timeout, body);
        let started = Instant::now();
        let is_sent = stream.get_mut().write_all(head.as_bytes()).is_ok() && body.send(stream);
        let sent = is_sent.then(Instant::now);
        let is_read =
            is_sent && body::is_open_after(stream, SLACK) && backlog::is_empty(stream.get_ref());
        std::thread::sleep(*reading_pause);
        let stream_timeout = Some(timeout + READ_MARGIN);
        let set = stream.get_mut().set_read_timeout(stream_timeout);
        let response = set.ok().and_then(|()| http::read_message(stream));
        Outcome {
            id,
            kind: *kind,
            entry,
            body: body.text(),
            started,
            sent,
            is_read,
            ended: Instant::now(),
            response,
        }
    }
}

/// Opens a connection; `None` if this fails.
pub(super) fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// Requests a path on a new connection and returns the status.
pub(super) fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = connect(address)?;
    let request = request_text(
        &format!("GET {path}"),
        PROBE_ID,
        PROBE_TIMEOUT,
        &Body::default(),
    );
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    Some(http::read_message(&mut stream)?.status())
}

fn request_text(target: &str, id: &str, timeout: Duration, body: &Body) -> String {
    let (deadline, body) = (timeout.as_millis(), body.header());
    format!(
        "{target} HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Deadline-Ms: {deadline}\r\n\
         X-Comfreyroad-Key: key\r\nX-Comfreyroad-Tenant: forged\r\n{body}\r\n\r\n"
    )
}
