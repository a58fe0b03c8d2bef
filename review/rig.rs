//! Stand-ins and checks for the scripts of the second review: `rig CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#[path = "rig_client.rs"]
mod client;
#[path = "rig_cold.rs"]
mod cold;
#[path = "rig_engine.rs"]
mod engine;
#[path = "rig_entry.rs"]
mod entry;
#[path = "rig_http.rs"]
mod http;
#[path = "rig_poison.rs"]
mod poison;
#[path = "rig_record.rs"]
mod record;
#[path = "rig_rollout.rs"]
mod rollout;
#[path = "rig_store.rs"]
mod store;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use self::entry::Entry;
use self::record::Record;
use self::store::Store;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case runs in.
pub struct Stage {
    pub store: Store,
    pub record: Record,
    /// A temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// What a case has shown.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

impl Stage {
    /// Publishes a manifest with routes and services, and starts entries.
    pub fn start_entries(&self, count: usize, routes: &str, services: &str) -> Vec<Entry> {
        let manifest = format!(
            "{{\"version\":7,\"routes\":[{routes}],\"services\":[{services}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}}]}}"
        );
        self.store.put("keyed.op", "config", &manifest);
        entry::start(count, self.store.address, &self.folder)
    }
}

/// The loopback address of this run, with a port that the kernel chooses. Runs beside each other have different ones.
pub fn own_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, high.clamp(1, 254), low, 1], 0))
}

/// The addresses at which clients reach entries.
pub fn fronts(entries: &[Entry]) -> Vec<SocketAddr> {
    entries.iter().map(|entry| entry.front).collect()
}

fn run(case: &str, stage: &Stage) -> Option<Verdict> {
    match case {
        "cold" => Some(cold::run(stage)),
        "poison-rare" => Some(poison::run(stage, poison::Pattern::Rare)),
        "rollout" => Some(rollout::run(stage)),
        "poison-event" => Some(poison::run(stage, poison::Pattern::FirstEvent)),
        _ => None,
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let name = format!("comfreyroad-review-{}", std::process::id());
    let temporary = std::env::temp_dir().join(name);
    let code = play(case, Path::new(folder), &temporary);
    let _ = std::fs::remove_dir_all(&temporary);
    std::process::exit(code);
}

fn play(case: &str, folder: &Path, temporary: &Path) -> i32 {
    if std::fs::create_dir_all(temporary).is_err() {
        return 2;
    }
    let record = Record::new();
    let stage = Stage {
        store: Store::start(),
        record: record.clone(),
        folder: temporary.to_owned(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.note(format!("case {case}, trouble: {}", stage.has_trouble));
    // A panic ends the entries too, as their values are dropped.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(case, &stage)));
    let verdict = verdict.ok().flatten();
    let verdict = verdict.filter(|_| record.now() < TIME_LIMIT);
    record.note(match &verdict {
        Some(it) => format!(
            "{}: {}",
            if it.is_broken { "BROKEN" } else { "held" },
            it.text
        ),
        None => "the case could not run".to_owned(),
    });
    if record.write(&folder.join("record.txt")).is_err() {
        return 2;
    }
    let Some(verdict) = verdict else {
        return 2;
    };
    println!("{}", verdict.text);
    i32::from(verdict.is_broken)
}
