//! A daemon with its surroundings.

use std::io::{PipeReader, PipeWriter, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use super::engine::Engine;
use super::http::{self, Message};
use super::store::Store;

/// Time for the daemon to do what it does within a second on an idle machine.
const PATIENCE: Duration = Duration::from_secs(15);

/// One daemon, the store and one engine.
#[derive(Debug)]
pub(super) struct Site {
    pub(super) store: Store,
    pub(super) engine: Engine,
    pub(super) front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    // The log's other end, which nobody reads.
    _log: PipeReader,
    folder: std::path::PathBuf,
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// A pipe that has no room for a byte: whoever writes to it must not wait for its reader.
fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, mut writer) = std::io::pipe().unwrap();
    let flags = fcntl_getfl(&writer).unwrap();
    fcntl_setfl(&writer, flags | OFlags::NONBLOCK).unwrap();
    while writer.write(&[b'\n'; 4096]).is_ok() {}
    while writer.write(b"\n").is_ok() {}
    // The daemon finds it as it finds any other.
    fcntl_setfl(&writer, flags).unwrap();
    (reader, writer)
}

/// Routes `/once/`, `/again/` and `/events/` of a host.
const CONFIG: &str = r#"{"version":1,"routes":[
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

impl Site {
    /// A daemon that serves by an engine under two names, so that there is one to go on at.
    pub(super) fn serving() -> Self {
        let site = Self::bare();
        site.store.put("keyed.op", "config", CONFIG);
        site.wait("readiness", |site| site.is_ready());
        let known = |site: &Self| site.ask("GET", "/public/ok", "").status() == 200;
        site.wait("the engine", known);
        site
    }

    /// A daemon without a configuration.
    pub(super) fn bare() -> Self {
        let (store, address) = Store::start();
        let (engine, upstream) = Engine::start();
        for name in ["i-1", "i-2"] {
            let entry = format!(
                r#"{{"service":"pool","address":"{upstream}","zone":"a","version":"v1","slots":8,"state":"ready",
                "cold_left_ms":0,"seq":1,"born":1}}"#
            );
            store.put("keyed.servers", name, &entry);
        }
        let (front, ready, control) = (free(), free(), free());
        let settings = format!(
            "node_name = \"e1\"\nzone = \"a\"\n[listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             control = \"{control}\"\n[bounds]\ngrace_s = 6\nretry_slack = 200\n[platform]\naddress = \"{address}\"\n"
        );
        let folder = std::env::temp_dir().join(format!("comfreyroad-{front}").replace(':', "-"));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("boot.toml");
        std::fs::write(&path, settings).unwrap();
        let (reader, log) = full_pipe();
        let child = Command::new(env!("CARGO_BIN_EXE_comfreyroad-proxy"))
            .arg("--settings")
            .arg(&path)
            .stdout(log)
            .spawn()
            .unwrap();
        Self {
            store,
            engine,
            front,
            ready,
            child,
            _log: reader,
            folder,
        }
    }

    pub(super) fn wait(&self, what: &str, is_done: impl Fn(&Self) -> bool) {
        let until = Instant::now() + PATIENCE;
        while !is_done(self) {
            assert!(Instant::now() < until, "no {what} in time");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        let Ok(stream) = std::net::TcpStream::connect(self.ready) else {
            return false;
        };
        drop(stream);
        let answer = http::ask(self.ready, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        answer.is_some_and(|it| it.status() == 200)
    }

    /// Asks with a key, an id of its own and more headers.
    pub(super) fn ask(&self, method: &str, path: &str, more: &str) -> Message {
        http::ask(self.front, &request(method, path, more)).expect("an answer")
    }

    pub(super) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for the process to end.
    pub(super) fn end(&mut self) -> std::process::ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < until, "the daemon does not end");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

pub(super) fn request(method: &str, path: &str, more: &str) -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Comfreyroad-Request-Id: r{id}\r\nX-Comfreyroad-Deadline-Ms: 4000\r\n\
         X-Comfreyroad-Key: key\r\n{more}\r\n"
    )
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
