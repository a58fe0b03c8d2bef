//! Callers, which reuse their connections and record the outcome of each request.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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
            let work = self.scenario.work(kind, &mut rng);
            let outcome = self.send(&mut stream, entry, kind, work);
            let response = outcome.response.as_ref().filter(|it| it.is_complete);
            if response.is_some_and(|it| it.header("connection") != "close") {
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
        kind: Kind,
        work: Duration,
    ) -> Outcome {
        let id = format!("r{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let route = match kind {
            Kind::Once => "POST /once",
            Kind::Retryable => "GET /again",
            Kind::Events => "POST /events",
        };
        let target = format!("{route}/{}", work.as_millis());
        let timeout = self.scenario.request_timeout();
        let sent = Instant::now();
        let stream_timeout = Some(timeout + READ_MARGIN);
        let written = stream
            .get_mut()
            .set_read_timeout(stream_timeout)
            .and_then(|()| {
                let request = request_text(&target, &id, timeout);
                stream.get_mut().write_all(request.as_bytes())
            });
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
    stream.set_read_timeout(Some(PROBE_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// Requests a path on a new connection and returns the status.
pub(super) fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = connect(address)?;
    let request = request_text(&format!("GET {path}"), PROBE_ID, PROBE_TIMEOUT);
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    Some(http::read_message(&mut stream)?.status())
}

fn request_text(target: &str, id: &str, timeout: Duration) -> String {
    let deadline = timeout.as_millis();
    format!(
        "{target} HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Deadline-Ms: {deadline}\r\n\
         X-Comfreyroad-Key: key\r\nX-Comfreyroad-Tenant: forged\r\nContent-Length: 0\r\n\r\n"
    )
}
