//! Entries: the project's own program, started as the deploy file says.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

/// The command of the deploy file, in the root of the repository.
const PROGRAM: &str = "target/release/comfreyroad-proxy";
/// Time in which an entry must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// An entry process, which ends with this value.
#[derive(Debug)]
pub struct Entry {
    pub front: SocketAddr,
    ready: SocketAddr,
    log: PathBuf,
    child: Child,
}

/// Starts entries in a folder, and waits until they are ready.
pub fn start(count: usize, store: SocketAddr, folder: &Path) -> Vec<Entry> {
    // All ports are reserved until all are known, so that no two are equal.
    let reserve = || TcpListener::bind(crate::own_address()).expect("a free port");
    let reserved: Vec<[TcpListener; 3]> = (0..count).map(|_| [(); 3].map(|()| reserve())).collect();
    let address = |it: &TcpListener| it.local_addr().expect("an address");
    let addresses: Vec<[SocketAddr; 3]> = reserved
        .iter()
        .map(|it| it.each_ref().map(address))
        .collect();
    drop(reserved);
    let seeds: Vec<String> = addresses
        .iter()
        .map(|it| format!("\"{}\"", it[2]))
        .collect();
    let seeds = seeds[..count.min(3)].join(",");
    let entries: Vec<Entry> = addresses
        .iter()
        .enumerate()
        .map(|(index, it)| Entry::spawn(index, *it, &seeds, store, folder))
        .collect();
    let mut entries = entries;
    for entry in &mut entries {
        entry.wait_until_ready();
    }
    entries
}

/// Fails the case if an entry has ended, which no case expects.
pub fn check(entries: &mut [Entry], record: &Record) {
    for entry in entries {
        if let Ok(Some(status)) = entry.child.try_wait() {
            let log = std::fs::read_to_string(&entry.log).unwrap_or_default();
            let last: Vec<&str> = log.lines().rev().take(5).collect();
            record.note(format!(
                "an entry has ended with {status}; the end of its log: {last:?}"
            ));
            panic!("an entry has ended");
        }
    }
}

impl Entry {
    fn spawn(
        index: usize,
        [front, ready, control]: [SocketAddr; 3],
        seeds: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> Self {
        let path: PathBuf = folder.join(format!("boot-{index}.toml"));
        let text = settings(index, [front, ready, control], seeds, store);
        std::fs::write(&path, text).expect("the settings file");
        let log_path = folder.join(format!("log-{index}.txt"));
        let log = File::create(&log_path).expect("the log file");
        let errors = log.try_clone().expect("the log file");
        let child = Command::new(PROGRAM)
            .env("COMFREYROAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        Self {
            front,
            ready,
            log: log_path,
            child,
        }
    }

    fn wait_until_ready(&mut self) {
        let deadline = Instant::now() + START_TIMEOUT;
        while !client::is_ready(self.ready) {
            assert!(Instant::now() < deadline, "an entry does not get ready");
            assert!(
                matches!(self.child.try_wait(), Ok(None)),
                "an entry does not start"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The settings of a small deployment, with the bounds of the site file.
fn settings(
    index: usize,
    [front, ready, control]: [SocketAddr; 3],
    seeds: &str,
    store: SocketAddr,
) -> String {
    let ip = front.ip();
    let zone = ["jmc-a", "jmc-b", "jmc-c", "jmc-d"][index % 4];
    format!(
        r#"node_name = "edge-{zone}-{index}"
role = "entry"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "jm-central"
internal_ports = [0,0]
seeds = [{seeds}]
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
[zones]
jmc-a = "jm-central"
jmc-b = "jm-central"
jmc-c = "jm-central"
jmc-d = "jm-central"
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
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.9
retry_window_s = 10
retry_slack = 54
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
cold_multiplier = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
session_s = 5
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
max_record_bytes = 262144
max_call_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
"#
    )
}
