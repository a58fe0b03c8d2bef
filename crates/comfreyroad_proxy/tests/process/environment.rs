//! Test environment: a daemon process with a fake store and a fake engine.

use std::io::{PipeReader, PipeWriter, Read, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use comfreyroad_fakes::port;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use rustix::process::{
    Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit, test_kill_process,
};

use super::engine::Engine;
use super::http::{self, Message};
use super::store::Store;

/// Timeout of waits; the daemon needs less than a second on an idle machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of pairs of signals, and the pause after each.
const SIGNAL_PAIRS: usize = 3000;
const SIGNAL_PAUSE: Duration = Duration::from_micros(100);
/// Longest gap in a pair, in system calls of less than a microsecond.
const MAX_SIGNAL_GAP: usize = 300;

/// File with the daemon's standard error, which has nothing but panics.
const ERRORS: &str = "errors.txt";
/// File with the daemon's log, if it is kept.
const LOG: &str = "log.txt";

/// A daemon process, a fake store and a fake engine.
#[derive(Debug)]
pub(super) struct Environment {
    pub(super) store: Store,
    store_address: SocketAddr,
    pub(super) engine: Engine,
    pub(super) front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    _ports: [port::Lease; 3],
    control: SocketAddr,
    // The read end of the daemon's standard output, which is full until a test reads it; `None` if a file keeps the log.
    log: Option<PipeReader>,
    folder: std::path::PathBuf,
}

/// Creates a pipe without room for another byte: a writer that waits for its reader would block forever.
fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, mut writer) = std::io::pipe().unwrap();
    let flags = fcntl_getfl(&writer).unwrap();
    fcntl_setfl(&writer, flags | OFlags::NONBLOCK).unwrap();
    while writer.write(&[b'\n'; 4096]).is_ok() {}
    while writer.write(b"\n").is_ok() {}
    // Restores blocking mode, which the daemon expects of an inherited pipe.
    fcntl_setfl(&writer, flags).unwrap();
    (reader, writer)
}

/// Routes `/once/`, `/again/`, `/events/` and `/public/` of one host.
pub(super) const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":5000,"target_latency_ms":1000,
  "service":"pool","max_attempts":1},
 {"name":"again","host":"h","path_prefix":"/again/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":1000,
  "service":"pool","max_attempts":2},
 {"name":"events","host":"h","path_prefix":"/events/","kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,
  "service":"pool","max_attempts":3,"resumable":true,"target_gap_ms":1000},
 {"name":"public","host":"h","path_prefix":"/public/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":1000,
  "service":"pool","public":true}],
 "services":[{"name":"pool","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"customer","api_keys":["key"]}]}"#;

impl Environment {
    /// Starts a daemon with a configuration. The engine is registered under two names, so that a broken stream has a
    /// second upstream to resume at.
    pub(super) fn start_configured() -> Self {
        Self::start_unconfigured().configured()
    }

    /// Starts a daemon with a configuration, and keeps its log. The engine is registered under the given names.
    pub(super) fn start_logged(upstreams: &[&str]) -> Self {
        Self::start(upstreams, true).configured()
    }

    fn configured(self) -> Self {
        let env = self;
        env.store.put("keyed.op", "config", CONFIG);
        env.wait_for("readiness", |env| env.is_ready());
        let has_engine = |env: &Self| env.request("GET", "/public/ok", "").status() == 200;
        env.wait_for("response of the engine", has_engine);
        env
    }

    /// Starts a daemon without a configuration.
    pub(super) fn start_unconfigured() -> Self {
        Self::start(&["i-1", "i-2"], false)
    }

    fn start(upstreams: &[&str], keeps_log: bool) -> Self {
        let (store, address) = Store::start();
        let (engine, upstream) = Engine::start();
        for name in upstreams {
            let registration = format!(
                r#"{{"service":"pool","address":"{upstream}","zone":"a","version":"v1","slots":8,"state":"ready",
                "cold_left_ms":0,"seq":1,"born":1}}"#
            );
            store.put("keyed.servers", name, &registration);
        }
        Self::spawn(store, address, engine, None, keeps_log)
    }

    /// Starts another daemon with the same store and engine, as a peer of this one.
    pub(super) fn start_peer(&self) -> Self {
        let (store, engine) = (self.store.clone(), self.engine.clone());
        let peer = Self::spawn(store, self.store_address, engine, Some(self.control), false);
        peer.wait_for("readiness", |env| env.is_ready());
        peer
    }

    fn spawn(
        store: Store,
        store_address: SocketAddr,
        engine: Engine,
        seed: Option<SocketAddr>,
        keeps_log: bool,
    ) -> Self {
        let ports = [(); 3].map(|()| port::Lease::acquire().unwrap());
        let [front, ready, control] = ports.each_ref().map(|port| port.address);
        let name = if seed.is_some() { "e2" } else { "e1" };
        let seed = seed.map_or_else(String::new, |seed| format!("\"{seed}\""));
        let settings = format!(
            "node_name = \"{name}\"\nzone = \"a\"\nseeds = [{seed}]\n[listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             control = \"{control}\"\n[bounds]\ngrace_s = 6\nretry_slack = 200\n[platform]\naddress = \"{store_address}\"\n"
        );
        let folder = std::env::temp_dir().join(format!("comfreyroad-{front}").replace(':', "-"));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("boot.toml");
        std::fs::write(&path, settings).unwrap();
        let (reader, log) = if keeps_log {
            let file = std::fs::File::create(folder.join(LOG)).unwrap();
            (None, Stdio::from(file))
        } else {
            let (reader, log) = full_pipe();
            (Some(reader), Stdio::from(log))
        };
        let child = Command::new(env!("CARGO_BIN_EXE_comfreyroad-proxy"))
            .arg("--settings")
            .arg(&path)
            .stdout(log)
            .stderr(std::fs::File::create(folder.join(ERRORS)).unwrap())
            .spawn()
            .unwrap();
        Self {
            store,
            store_address,
            engine,
            front,
            ready,
            child,
            _ports: ports,
            control,
            log: reader,
            folder,
        }
    }

    pub(super) fn wait_for(&self, what: &str, is_done: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_done(self) {
            assert!(Instant::now() < deadline, "timed out waiting for: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        let Ok(stream) = std::net::TcpStream::connect(self.ready) else {
            return false;
        };
        drop(stream);
        let response = http::send_request(self.ready, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        response.is_some_and(|it| it.status() == 200)
    }

    /// Sends a request with an API key, a new request id and the given headers, and returns the response.
    pub(super) fn request(&self, method: &str, path: &str, headers: &str) -> Message {
        http::send_request(self.front, &request_text(method, path, headers)).expect("a response")
    }

    /// Reads what the daemon's standard output has, which makes room for further lines.
    pub(super) fn read_log(&self) -> String {
        let mut log = self.log.as_ref().expect("the log is not kept");
        let flags = fcntl_getfl(log).unwrap();
        fcntl_setfl(log, flags | OFlags::NONBLOCK).unwrap();
        let mut text = Vec::new();
        let error = log.read_to_end(&mut text).unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
        String::from_utf8(text).unwrap()
    }

    /// Value of a counter or gauge without labels.
    pub(super) fn metric(&self, name: &str) -> u64 {
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let response = http::send_request(self.control, request).unwrap();
        let text = response.text();
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.unwrap_or(&text).trim().parse().unwrap()
    }

    /// Largest resident memory of the daemon so far, in KiB.
    pub(super) fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let number = line.and_then(|it| it.split_whitespace().next());
        number.unwrap().parse().unwrap()
    }

    pub(super) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Sends pairs of signals, with gaps from none to the time that the daemon needs to handle the first of the two.
    pub(super) fn signal_in_pairs(&self, signal: Signal) {
        let id = Pid::from_child(&self.child);
        for pair in 0..SIGNAL_PAIRS {
            kill_process(id, signal).unwrap();
            // Sleeping takes longer than the gap.
            for _ in 0..pair % MAX_SIGNAL_GAP {
                test_kill_process(id).unwrap();
            }
            kill_process(id, signal).unwrap();
            std::thread::sleep(SIGNAL_PAUSE);
        }
    }

    /// Sets the number of file descriptors that the daemon may have open, or restores it, and returns how many it has.
    pub(super) fn limit_files(&self, maximum: Option<u64>) -> u64 {
        let id = Pid::from_child(&self.child);
        let own = getrlimit(Resource::Nofile);
        let current = maximum.or(own.current);
        prlimit(Some(id), Resource::Nofile, Rlimit { current, ..own }).unwrap();
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        open.count() as u64
    }

    /// What the daemon has written to its standard error.
    pub(super) fn errors(&self) -> String {
        std::fs::read_to_string(self.folder.join(ERRORS)).unwrap()
    }

    /// The lines of the log that contain a text. The log must be kept.
    pub(super) fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join(LOG)).unwrap();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    pub(super) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the process to exit.
    pub(super) fn wait_for_exit(&mut self) -> std::process::ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the daemon does not exit");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

pub(super) fn request_text(method: &str, path: &str, headers: &str) -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: r{id}\r\nX-Comfreyroad-Deadline-Ms: 4000\r\n\
         X-Comfreyroad-Key: key\r\n{headers}\r\n"
    )
}

impl Drop for Environment {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
