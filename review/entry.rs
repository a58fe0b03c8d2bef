//! The program of the deploy file as a separate process, with settings like those of a small deployment.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Path of the program, as in the deploy file.
const PROGRAM: &str = "target/release/comfreyroad-proxy";

/// The processes that run, to be ended with the case.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Entry {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// Ends all processes that were started and still run.
pub fn kill_all() {
    let running = std::mem::take(&mut *RUNNING.lock().unwrap_or_else(|error| error.into_inner()));
    for id in running {
        send_signal(id, "KILL");
    }
}

fn send_signal(id: u32, name: &str) {
    let command = format!("kill -{name} {id} 2>/dev/null");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

fn free_addresses() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|it| it.local_addr().expect("an address"))
}

impl Entry {
    /// Starts the program and waits until it is ready.
    pub fn start(store: SocketAddr) -> Self {
        let [front, ready, control] = free_addresses();
        let settings = format!(
            r#"node_name = "edge-a-1"
role = "entry"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = "a"
region = "r"
seeds = ["{control}"]
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
[zones]
a = "r"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_ratio = 0.9
retry_window_s = 10
retry_slack = 54
exposure_share = 0.15
exposure_slack = 30
cold_multiplier = 1.5
cold_slack = 5
session_s = 5
[platform]
address = "{store}"
form = "log"
"#
        );
        let name = format!("review-{}-{}", std::process::id(), front.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let path = folder.join("boot.toml");
        std::fs::write(&path, settings).expect("the settings file");
        let log = std::fs::File::create(folder.join("log.txt")).expect("the log file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("COMFREYROAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        RUNNING
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .push(child.id());
        let mut entry = Self {
            front,
            ready,
            child,
            folder,
        };
        let deadline = Instant::now() + Duration::from_secs(10);
        while !entry.is_ready() {
            assert!(entry.is_running(), "the program has ended");
            assert!(Instant::now() < deadline, "the program is not ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        entry
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// How the program has ended, if it has.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends SIGHUP without the delay of a command.
    pub fn hang_up(&self) {
        const SIGHUP: i32 = 1;
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        // SAFETY: the call takes two numbers, and the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, SIGHUP) };
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Memory that the process uses, in KiB; `None` if it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Copies the warnings that the program has written to the record.
    pub fn copy_warnings(&self, record: &Record) {
        let log = std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains(" WARN ")) {
            record.line(&format!("entry's log: {line}"));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut running = RUNNING.lock().unwrap_or_else(|error| error.into_inner());
        running.retain(|id| *id != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
