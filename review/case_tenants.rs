//! ROUTE: requests run with keys that no manifest ever held.

use std::sync::Arc;
use std::time::Duration;

use super::{TENANTS, borrowed, headers, manifest};
use crate::Verdict;
use crate::client::Channel;
use crate::engine::{self, Plan, Runs, Schedule};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

const STABLE: Duration = Duration::from_millis(3200);
/// `config_apply_ms`, within which a manifest takes effect, and a margin.
const APPLY: Duration = Duration::from_millis(3000);
const REQUESTS: usize = 5;

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, address) = Store::start();
    let runs = Runs::default();
    let plan: Plan = Arc::new(|_, _| Schedule {
        first_token: Duration::from_millis(20),
        event: Duration::from_millis(10),
        events: 3,
        preempted: None,
    });
    for id in ["i-1", "i-2"] {
        engine::start(id, &store, plan.clone(), &runs, record);
    }
    store.put("keyed.op", "config", &manifest(1, TENANTS));
    let entry = Entry::start(address);
    record.line("the entry is ready");
    std::thread::sleep(STABLE);
    let front = entry.front;
    let send = |name: &str, key: &str| {
        for number in 0..REQUESTS {
            let id = format!("{name}{number}");
            let mut headers = headers("e4402b7d");
            headers.retain(|(name, _)| *name != "X-Comfreyroad-Key");
            headers.push(("X-Comfreyroad-Key", key.to_owned()));
            record.line(&format!("client: {id} sent with key {key}"));
            let answer = Channel::open(front).request("/stream/1", &id, &borrowed(&headers));
            record.line(&format!("client: {id} got {}", answer.describe()));
        }
    };
    send("held", "key-of-tenant-1");
    send("unknown", "no-key-of-any-manifest");
    // The operator takes the last tenant away.
    let tenants = if trouble { "[]" } else { TENANTS };
    record.line(&format!(
        "the store confirms version 2 with tenants {tenants}"
    ));
    store.put("keyed.op", "config", &manifest(2, tenants));
    std::thread::sleep(APPLY);
    send("later", "no-key-of-any-manifest");
    entry.copy_warnings(record);
    let runs = runs.all();
    let ran = |name: &str| {
        runs.iter()
            .filter(|it| it.request.starts_with(name))
            .count()
    };
    let (held, unknown) = (ran("held"), ran("unknown") + ran("later"));
    record.line(&format!(
        "{held} requests with the key of the manifest ran, {unknown} with a key that no manifest ever held"
    ));
    assert!(
        held == REQUESTS,
        "requests with the key of the manifest run"
    );
    if unknown > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
