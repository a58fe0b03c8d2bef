//! The proxy as the deploy file runs it, as a process of its own.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// The program of the deploy file's role; the working directory is the root of the repository.
const PROGRAM: &str = "target/release/comfreyroad-proxy";
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A running proxy; it is killed when this is dropped.
pub struct Proxy {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    child: Child,
}

/// Addresses of ports that are free at this moment.
fn free_addresses() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|it| it.local_addr().expect("an address"))
}

impl Proxy {
    /// Starts a proxy and waits until it is ready.
    pub fn start(name: &str, folder: &Path, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let [front, ready, control] = free_addresses();
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\", \"control_plane\"]\nip = \"127.0.0.1\"\nzone = \"z-a\"\nregion = \"r\"\n\
             seeds = [{}]\nbootstrap = true\ndiscovery = \"platform\"\nheartbeat_ms = 1200\n\
             [zones]\nz-a = \"r\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [bounds]\nstable_window_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nretry_ratio = 0.9\nretry_window_s = 10\nretry_slack = 52\n\
             exposure_share = 0.15\nexposure_slack = 30\ncold_multiplier = 1.5\ncold_slack = 5\nsession_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\n",
            seeds.join(", ")
        );
        let path = folder.join("boot.toml");
        std::fs::write(&path, settings).expect("settings");
        let log = File::create(folder.join("log.txt")).expect("a log");
        let errors = File::create(folder.join("errors.txt")).expect("a file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("COMFREYROAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file should be built");
        let proxy = Self {
            front,
            ready,
            control,
            child,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        while !proxy.is_ready(Duration::from_secs(1)) {
            assert!(Instant::now() < deadline, "{name} does not become ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        proxy
    }

    /// Asks as the platform does whether the proxy is ready.
    pub fn is_ready(&self, timeout: Duration) -> bool {
        let text = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::exchange(self.ready, text, timeout).is_some_and(|it| it.status() == 200)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
