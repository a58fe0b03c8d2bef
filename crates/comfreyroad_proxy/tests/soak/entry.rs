//! A daemon process, which can be paused, killed and restarted.

use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use comfreyroad_fakes::port;

use super::caller;
use super::link::Link;

/// Grace period of a shutdown, in seconds.
pub(super) const GRACE_S: u64 = 4;

/// An entry, which keeps its addresses across restarts.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) ports: Ports,
    pub(super) store: Link,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Ports that an entry listens on.
#[derive(Debug)]
pub(super) struct Ports {
    pub(super) front: port::Lease,
    pub(super) ready: port::Lease,
    pub(super) control: port::Lease,
}

impl Ports {
    pub(super) fn acquire() -> Self {
        let [front, ready, control] = [(); 3].map(|()| port::Lease::acquire().unwrap());
        Self {
            front,
            ready,
            control,
        }
    }
}

impl Entry {
    pub(super) fn start(
        number: usize,
        ports: Ports,
        seeds: &[SocketAddr],
        store: Link,
        folder: &Path,
    ) -> Self {
        let zone = ["a", "b"][number % 2];
        let [front, ready, control] =
            [&ports.front, &ports.ready, &ports.control].map(|port| port.address);
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
            ports,
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
        caller::status(self.ports.ready.address, "/-/ready") == Some(200)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
