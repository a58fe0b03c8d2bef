//! LOST: the entry ends answers because their engines are silent for a while.

use std::sync::Arc;
use std::time::Duration;

use super::{TENANTS, borrowed, headers, manifest};
use crate::Verdict;
use crate::client::Channel;
use crate::engine::{self, Plan, Runs, Schedule};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

const REQUESTS: usize = 6;
/// Time for which a request is preempted, once at each engine. Clients would wait for 8 s.
const PREEMPTED: Duration = Duration::from_millis(2500);
const STABLE: Duration = Duration::from_millis(3200);

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, address) = Store::start();
    let runs = Runs::default();
    let plan: Plan = Arc::new(move |request, _| {
        let is_warm_up = request.target().ends_with("/first");
        Schedule {
            first_token: Duration::from_millis(50),
            event: Duration::from_millis(20),
            events: if is_warm_up { 2 } else { 40 },
            preempted: (trouble && !is_warm_up).then_some((10, PREEMPTED)),
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
                let headers = headers(&format!("e4402b{number:02}"));
                let mut channel = Channel::open(front);
                let first =
                    channel.request("/stream/first", &format!("w{number}"), &borrowed(&headers));
                assert!(first.is_whole, "the first request on a channel");
                let id = format!("q{number}");
                record.line(&format!("client: {id} sent on a kept channel"));
                let answer = channel.request("/stream/1", &id, &borrowed(&headers));
                record.line(&format!("client: {id} got {}", answer.describe()));
                answer
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(400));
    record.line("SIGTERM to the entry");
    entry.signal("TERM");
    let mut cut = 0;
    for client in clients {
        let answer = client.join().expect("a client");
        // A refusal is a complete answer.
        cut += usize::from(!answer.is_whole);
    }
    entry.copy_warnings(record);
    record.line(&format!(
        "{cut} of {REQUESTS} channels ended without a complete answer"
    ));
    if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
