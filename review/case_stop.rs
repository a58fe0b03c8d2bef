//! LOST: an entry that ends takes requests later than it can finish them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{TENANTS, borrowed, headers, manifest};
use crate::Verdict;
use crate::client::Channel;
use crate::engine::{self, Plan, Runs, Schedule};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

const CLIENTS: u32 = 6;
const STABLE: Duration = Duration::from_millis(3200);
/// The clients send their requests from here on after the SIGTERM, one after the other, on channels that were open before it.
const FIRST_SENT: Duration = Duration::from_millis(3100);
const BETWEEN: Duration = Duration::from_millis(100);

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, address) = Store::start();
    let runs = Runs::default();
    // An answer takes 6 s, of the 20 s that its client and its route allow.
    let plan: Plan = Arc::new(|_, _| Schedule {
        first_token: Duration::from_millis(100),
        event: Duration::from_millis(100),
        events: 60,
        preempted: None,
    });
    for id in ["i-1", "i-2", "i-3"] {
        engine::start(id, &store, plan.clone(), &runs, record);
    }
    store.put("keyed.op", "config", &manifest(1, TENANTS));
    let entry = Entry::start(address);
    record.line("the entry is ready");
    std::thread::sleep(STABLE);
    let channels: Vec<Channel> = (0..CLIENTS).map(|_| Channel::open(entry.front)).collect();
    record.line(&format!("{CLIENTS} channels are open"));
    std::thread::sleep(Duration::from_millis(500));
    let stopped = Instant::now();
    if trouble {
        record.line("SIGTERM to the entry");
        entry.signal("TERM");
    }
    let clients: Vec<_> = (0..CLIENTS)
        .zip(channels)
        .map(|(number, mut channel)| {
            let record = record.clone();
            std::thread::spawn(move || {
                let sent_at = stopped + FIRST_SENT + BETWEEN * number;
                std::thread::sleep(sent_at.saturating_duration_since(Instant::now()));
                let id = format!("q{number}");
                let after = stopped.elapsed().as_millis();
                record.line(&format!("client: {id} sent, {after} ms after the signal"));
                let headers = headers(&format!("e4402b{number:02}"));
                let answer = channel.request("/stream/1", &id, &borrowed(&headers));
                let after = stopped.elapsed().as_millis();
                record.line(&format!(
                    "client: {id} got {}, {after} ms after the signal",
                    answer.describe()
                ));
                (!answer.is_whole).then_some(id)
            })
        })
        .collect();
    let cut: Vec<String> = clients
        .into_iter()
        .filter_map(|client| client.join().expect("a client"))
        .collect();
    entry.copy_warnings(record);
    let runs = runs.all();
    let was_passed_on = |id: &&String| runs.iter().any(|run| run.request == **id);
    let lost = cut.iter().filter(was_passed_on).count();
    record.line(&format!(
        "{lost} of {CLIENTS} requests were passed on to an engine and got no complete answer; {} channels ended unread",
        cut.len() - lost
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
