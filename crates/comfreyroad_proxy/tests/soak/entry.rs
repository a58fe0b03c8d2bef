//! A daemon process, which can be paused, killed and restarted.

use std::fs::{File, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use super::caller;
use super::link::Link;

/// Grace period of a shutdown, in seconds.
pub(super) const GRACE_S: u64 = 4;

/// An entry, which keeps its addresses across restarts.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) front: SocketAddr,
    ready: SocketAddr,
    pub(super) store: Link,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Listen addresses of an entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    pub(super) front: SocketAddr,
    pub(super) ready: SocketAddr,
    pub(super) control: SocketAddr,
}

/// Ports for entries. They lie below the ephemeral port range, so that no outgoing connection takes the port of an
/// entry while it is down.
const PORTS: std::ops::Range<u32> = 10_000..30_000;

impl Addresses {
    pub(super) fn allocate() -> Self {
        let [front, ready, control] = [(); 3].map(|()| free_address());
        Self {
            front,
            ready,
            control,
        }
    }
}

/// Returns an address that nobody listens on. The process id offsets the first port, so that concurrent runs use
/// different ports.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id().wrapping_mul(97);
        let port = PORTS.start + start.wrapping_add(number) % PORTS.len() as u32;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
}

impl Entry {
    pub(super) fn start(
        number: usize,
        addresses: Addresses,
        seeds: &[SocketAddr],
        store: Link,
        folder: &Path,
    ) -> Self {
        let zone = ["a", "b"][number % 2];
        let Addresses {
            front,
            ready,
            control,
        } = addresses;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node_name = \"e{number}\"\nzone = \"{zone}\"\nseeds = [{}]\n[zones]\na = \"r\"\nb = \"r\"\n[listen]\n\
             front = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n[bounds]\ngrace_s = {GRACE_S}\n\
             retry_ratio = 0.9\nretry_slack = 200\n[platform]\naddress = \"{}\"\n",
            seeds.join(","),
            store.address
        );
        let settings = folder.join(format!("e{number}.toml"));
        std::fs::write(&settings, text).unwrap();
        let mut entry = Self {
            front,
            ready,
            store,
            settings,
            log: folder.join(format!("e{number}.log")),
            child: None,
        };
        entry.spawn();
        entry
    }

    /// Starts the process unless it is running.
    pub(super) fn spawn(&mut self) {
        if self.is_running() {
            return;
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log: File = log.unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_comfreyroad-proxy"))
            .arg("--settings")
            .arg(&self.settings)
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        self.child = Some(child.unwrap());
    }

    pub(super) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub(super) fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            // Fails if the process has exited meanwhile.
            let _ = Command::new("kill").args([name, &id]).status();
        }
    }

    /// Waits for the process to exit and kills it after a timeout. Returns whether it has exited by itself.
    pub(super) fn wait_or_kill(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.is_running() {
            if deadline <= Instant::now() {
                self.kill();
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        caller::status(self.ready, "/-/ready") == Some(200)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
