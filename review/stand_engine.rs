//! Servers on sockets of their own, and their entries in the store.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store::Store;

/// Interval of the entries that an engine writes, as the settings of the proxies say.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Interval at which an engine that is down looks whether it is back.
const RETRY: Duration = Duration::from_millis(50);

/// Answers a request on its connection; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Engine, &Message, &mut BufReader<TcpStream>) -> bool + Send + Sync>;

/// An engine; clones share one state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
    is_dark: Arc<AtomicBool>,
    reaches_store: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    /// Start of this lifetime, in Unix milliseconds.
    born: Arc<AtomicU64>,
}

/// What the entry of an engine says beside its id and address.
#[derive(Clone)]
pub struct Entry {
    pub service: &'static str,
    pub version: &'static str,
    pub slots: u32,
    /// Names of the models; empty for a plain service.
    pub models: Vec<&'static str>,
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

impl Engine {
    /// Starts an engine that writes its entry to the store at each heartbeat while it reaches it.
    pub fn start(id: &str, store: &Store, entry: Entry, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            connections: Arc::default(),
            is_down: Arc::default(),
            is_dark: Arc::default(),
            reaches_store: Arc::new(AtomicBool::new(true)),
            sequence: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_millis())),
        };
        let served = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    served.connections.lock().unwrap().push(copy);
                }
                let (engine, handler) = (served.clone(), handler.clone());
                std::thread::spawn(move || engine.serve(stream, &handler));
            }
        });
        let (writer, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                if writer.reaches_store.load(Ordering::SeqCst) {
                    writer.write_entry(&store, &entry);
                    std::thread::sleep(HEARTBEAT);
                } else {
                    std::thread::sleep(RETRY);
                }
            }
        });
        engine
    }

    /// Whether its path to the store works. Without it, no entry is written.
    pub fn set_reaches_store(&self, reaches_store: bool) {
        self.reaches_store.store(reaches_store, Ordering::SeqCst);
    }

    /// Crashes the engine: all connections are closed, and new ones at once. Until it is set back it writes no entry.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.set_reaches_store(!is_down);
        if is_down {
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    /// Crashes the engine as a machine without power does: it says nothing more, on open connections and new ones.
    pub fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
        self.set_reaches_store(false);
    }

    pub fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::SeqCst)
    }

    /// Waits for the end of the time in which the engine is dark.
    pub fn wait_until_back(&self) {
        while self.is_dark() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Starts a new lifetime under the same id and address. The connections of the old one are closed.
    pub fn restart(&self) {
        self.set_down(true);
        self.is_dark.store(false, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.born.store(unix_millis(), Ordering::SeqCst);
        // The threads of the old connections notice that.
        std::thread::sleep(Duration::from_millis(50));
        self.set_down(false);
    }

    fn write_entry(&self, store: &Store, entry: &Entry) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let born = self.born.load(Ordering::SeqCst);
        let Entry {
            service,
            version,
            slots,
            models,
        } = entry;
        let model = |name: &&str| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
        let models: Vec<String> = models.iter().map(model).collect();
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"{version}\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\",\"models\":[{}],\"seq\":{sequence},\
             \"born\":{born}}}",
            self.address,
            models.join(",")
        );
        store.put("keyed.servers", &self.id, &value);
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut stream) {
            self.wait_until_back();
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            if !self.respond(&request, &mut stream, handler) {
                let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    fn respond(
        &self,
        request: &Message,
        stream: &mut BufReader<TcpStream>,
        handler: &Handler,
    ) -> bool {
        if request.header("x-comfreyroad-target-instance") != self.id {
            let head = head(request, "421 Misdirected Request", "Content-Length: 0\r\n");
            return stream.get_mut().write_all(head.as_bytes()).is_ok();
        }
        handler(self, request, stream)
    }
}

/// The head of an answer to a request, without a signature.
pub fn head(request: &Message, status: &str, headers: &str) -> String {
    let id = request.header("x-comfreyroad-request-id");
    format!("HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\n{headers}\r\n")
}

/// A complete success of a plain service.
pub fn success(request: &Message, headers: &str) -> String {
    let body = "done";
    let headers = format!(
        "X-Comfreyroad-Server-Signature: s\r\n{headers}Content-Length: {}\r\n",
        body.len()
    );
    head(request, "200 OK", &headers) + body
}
