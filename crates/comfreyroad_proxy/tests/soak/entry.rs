//! A daemon process, which can be paused, killed and restarted.

use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use comfreyroad_fakes::port;
use rustix::process::{Pid, Signal, kill_process};

use super::caller;
use super::lifetime::Lifetime;
use super::link::Link;
use super::signals::Signals;
use super::starvation::{Duty, Starvation};

/// Interval between two rounds of signals.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// An entry, which keeps its addresses across restarts.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) ports: Ports,
    pub(super) store: Link,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    number: usize,
    is_paused: bool,
    starvation: Option<Starvation>,
    /// All lifetimes of the process, the present one last.
    pub(super) lifetimes: Vec<Lifetime>,
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
        grace: Duration,
        folder: &Path,
    ) -> Self {
        let zone = ["a", "b"][number % 2];
        let [front, ready, control] =
            [&ports.front, &ports.ready, &ports.control].map(|port| port.address);
        let grace_s = grace.as_secs();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node_name = \"e{number}\"\nzone = \"{zone}\"\nseeds = [{}]\n[zones]\na = \"r\"\nb = \"r\"\n[listen]\n\
             front = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n[bounds]\ngrace_s = {grace_s}\n\
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
            number,
            is_paused: false,
            starvation: None,
            lifetimes: Vec::new(),
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
        self.is_paused = false;
        self.starvation = None;
        self.lifetimes.push(Lifetime::new(self.number));
        self.child = Some(child.unwrap());
    }

    /// Whether the process is running. Records its end.
    pub(super) fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Some(status) = child.try_wait().unwrap() else {
            return true;
        };
        // The id of a process that was waited for may belong to another one.
        self.child = None;
        self.lifetime().end = Some((Instant::now(), status));
        false
    }

    fn lifetime(&mut self) -> &mut Lifetime {
        self.lifetimes.last_mut().expect("an entry has started")
    }

    /// Whether the process runs and has been ready, so that it handles signals.
    pub(super) fn handles_signals(&mut self) -> bool {
        if !self.is_running() {
            return false;
        }
        let is_ready = self.lifetime().was_ready || !self.is_paused && self.is_ready();
        self.lifetime().was_ready = is_ready;
        is_ready
    }

    /// Whether the process was told to shut down.
    pub(super) fn is_terminated(&self) -> bool {
        let lifetime = self.lifetimes.last();
        lifetime.is_some_and(|it| it.terminated.is_some())
    }

    pub(super) fn signal(&mut self, signal: Signal) {
        self.signal_in_series(signal, Signals::ONE);
    }

    pub(super) fn signal_in_series(&mut self, signal: Signal, signals: Signals) {
        if !self.is_running() {
            return;
        }
        match signal {
            Signal::STOP => self.is_paused = true,
            Signal::CONT => self.is_paused = false,
            _ => {
                let lifetime = self.lifetime();
                lifetime.is_signaled_early |= !lifetime.was_ready;
                if signal == Signal::TERM && lifetime.terminated.is_none() {
                    lifetime.terminated = Some(Instant::now());
                }
            }
        }
        for round in 0..signals.rounds {
            if !self.is_running() {
                return;
            }
            let child = self.child.as_ref().expect("the process is running");
            let id = Pid::from_child(child);
            for number in 0..signals.count {
                if number > 0 {
                    std::thread::sleep(signals.interval);
                }
                // Until it is waited for, a process that has exited still accepts signals.
                kill_process(id, signal).unwrap();
            }
            if round + 1 < signals.rounds {
                std::thread::sleep(ROUND_INTERVAL);
            }
        }
    }

    /// Leaves the process little processor time until an instant.
    pub(super) fn starve(&mut self, duty: Duty, until: Instant) {
        if !self.is_running() {
            return;
        }
        let child = self.child.as_ref().expect("the process is running");
        let id = Pid::from_child(child);
        // Two cycles at once would leave it none.
        self.starvation = None;
        self.starvation = Some(Starvation::start(id, duty, until));
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
        if !self.is_running() {
            return;
        }
        self.lifetime().is_killed = true;
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let status = child.wait().unwrap();
            self.lifetime().end = Some((Instant::now(), status));
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
