//! TWICE: two engines work on one request at the same time.

use std::sync::Arc;
use std::time::Duration;

use super::{TENANTS, borrowed, headers, manifest};
use crate::Verdict;
use crate::client::Channel;
use crate::engine::{self, Plan, Run, Runs, Schedule};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

const REQUESTS: usize = 4;
/// Time for which a request is preempted, at both engines.
const PREEMPTED: Duration = Duration::from_millis(2000);
/// The rule's bound: the engine before still works on the request so much later.
const BOUND: Duration = Duration::from_millis(400);
/// `stable_window_ms`, after which the entry is in touch.
const STABLE: Duration = Duration::from_millis(3200);

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, address) = Store::start();
    let runs = Runs::default();
    // The first engine preempts the request in the middle of its stream. A request that goes on at the other engine is the newest
    // there, and is preempted after its first token.
    let plan: Plan = Arc::new(move |_, before| {
        let is_first = before == 0;
        let after = if is_first { 4 } else { 0 };
        Schedule {
            first_token: Duration::from_millis(100),
            event: Duration::from_millis(if is_first { 100 } else { 20 }),
            events: 40,
            preempted: trouble.then_some((after, PREEMPTED)),
        }
    });
    for id in ["i-1", "i-2"] {
        engine::start(id, &store, plan.clone(), &runs, record);
    }
    store.put("keyed.op", "config", &manifest(1, TENANTS));
    let entry = Entry::start(address);
    record.line("the entry is ready");
    std::thread::sleep(STABLE);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (front, record) = (entry.front, record.clone());
            std::thread::spawn(move || {
                let id = format!("q{number}");
                record.line(&format!("client: {id} sent"));
                let headers = headers(&format!("e4402b{number:02}"));
                let answer = Channel::open(front).request("/stream/1", &id, &borrowed(&headers));
                record.line(&format!("client: {id} got {}", answer.describe()));
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client");
    }
    // Engines that still work on a request are seen a little longer.
    std::thread::sleep(Duration::from_millis(500));
    entry.copy_warnings(record);
    judge(&runs.all(), record)
}

/// Looks for runs that went on beside a later run of the same request.
fn judge(runs: &[Run], record: &Record) -> Verdict {
    let mut verdict = Verdict::Held;
    for (index, before) in runs.iter().enumerate() {
        let later = runs[index + 1..].iter();
        for later in later.filter(|it| it.request == before.request) {
            let (Some(worked_until), Some(started)) = (before.worked_until, later.started) else {
                continue;
            };
            let beside = worked_until.saturating_duration_since(started);
            record.line(&format!(
                "{}: runs at {} from {:.3} s; {} made its last token for it at {:.3} s, {} ms later",
                later.request,
                later.engine,
                record.seconds(started),
                before.engine,
                record.seconds(worked_until),
                beside.as_millis()
            ));
            if beside > BOUND {
                verdict = Verdict::Broken;
            }
        }
    }
    verdict
}
