//! Measures the cost of bills and claims for several sizes of the fleet.
//!
//! `cargo run --release -p comfreyroad_wire --example ledger_slopes [BILLS-PER-SECOND-AND-ENTRY]` runs real entries on a
//! simulated clock. Each entry replicates its bills to a peer in another zone and appends them to the log. Frames and
//! records are encoded as they are between processes. Processor time covers the decisions and the encoding.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::controller::claim;
use comfreyroad::controller::ledger;
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::frame::{Heartbeat, View};
use comfreyroad::record::{Bill, Key, Outcome, REQUEST_ID_LIFETIME, Record, Stream, Writer};
use comfreyroad::{Action, Entry, Event, Settings};
use comfreyroad_wire::{frame, record};

const ZONES: usize = 9;
const STEP: Duration = Duration::from_millis(5);
const TICK_STEPS: u64 = 10;
const RUN: Duration = Duration::from_secs(20);
/// Number of records that a reader reads within one horizon.
const HORIZON_RECORDS: u64 = 400_000;
/// Length of Base64 in the log's JSON per byte of a record.
const BASE64_RATIO: f64 = 4.0 / 3.0;

#[derive(Default)]
struct Counts {
    bills: u64,
    confirmed: u64,
    appends: u64,
    records: u64,
    record_bytes: u64,
    frames: u64,
    frame_bytes: u64,
    busy: Duration,
}

struct Fleet {
    entries: Vec<Entry>,
    // Events to be handled in the next step, with the index of the entry.
    events: Vec<(usize, Event)>,
    exchanges: Vec<usize>,
    now: Now,
    counts: Counts,
}

fn address(index: usize) -> String {
    format!(
        "10.{}.{}.{}:8080",
        index / 65536,
        index / 256 % 256,
        index % 256
    )
}

fn settings(index: usize) -> Settings {
    Settings {
        entry: format!("entry-{index:04}").into(),
        boot: format!("{index:08x}").into(),
        zone: format!("zone-{}", index % ZONES).into(),
        address: address(index).into(),
        seed: index as u64,
        ..Settings::default()
    }
}

fn view(size: usize) -> View {
    let mut view = View::default();
    for settings in (0..size).map(settings) {
        let beat = Heartbeat {
            sequence: 1,
            serving: true,
            ..Heartbeat::initial(&settings)
        };
        view.members.insert(settings.entry, beat);
    }
    view
}

fn bill(entry: usize, number: u64) -> Bill {
    Bill {
        key: Key {
            customer: format!("customer-{}", number % 10).into(),
            request: format!(
                "{:08x}-{:04x}-4000-8000-{number:012x}",
                entry,
                entry % 65536
            )
            .into(),
        },
        version: Some("mona@2".into()),
        tokens: 400 + number % 300,
        cost: 1_200 + number % 900,
    }
}

impl Fleet {
    fn new(size: usize) -> Self {
        let mut fleet = Self {
            entries: (0..size)
                .map(|index| Entry::new(&settings(index)))
                .collect(),
            events: Vec::new(),
            exchanges: Vec::new(),
            now: Now {
                instant: Instant::now(),
                system: SystemTime::now(),
            },
            counts: Counts::default(),
        };
        let view = Rc::new(view(size));
        for entry in &mut fleet.entries {
            entry.handle(fleet.now, Event::Members(Rc::clone(&view)));
        }
        fleet
    }

    fn handle(&mut self, index: usize, event: Event) {
        let start = Instant::now();
        let actions = self.entries[index].handle(self.now, event);
        let mut encoded = Vec::new();
        for action in &actions {
            match action {
                Action::SendFrame { frame, .. } | Action::Reply { frame, .. } => {
                    encoded.push(frame::encode(frame).len());
                }
                Action::Append { records, .. } => {
                    encoded.push(
                        records
                            .iter()
                            .map(|record| record::encode(record).len())
                            .sum(),
                    );
                }
                _ => {}
            }
        }
        self.counts.busy += start.elapsed();
        let mut encoded = encoded.into_iter();
        for action in actions {
            self.perform(index, action, &mut encoded);
        }
    }

    fn perform(&mut self, index: usize, action: Action, encoded: &mut impl Iterator<Item = usize>) {
        match action {
            Action::SendFrame { to, frame } => {
                self.count_frame(encoded);
                let peer = (0..self.entries.len()).find(|peer| address(*peer) == *to);
                let Some(peer) = peer else { return };
                self.exchanges.push(index);
                let exchange = self.exchanges.len() as u64 - 1;
                let asks = Event::PeerRequest {
                    exchange,
                    address: frame.address.clone(),
                };
                self.events.push((peer, Event::Peer(frame)));
                self.events.push((peer, asks));
            }
            Action::Reply { exchange, frame } => {
                self.count_frame(encoded);
                let sender = self.exchanges[exchange as usize];
                self.events.push((sender, Event::Peer(frame)));
            }
            Action::Append { batch, records, .. } => {
                self.counts.appends += 1;
                self.counts.records += records.len() as u64;
                self.counts.record_bytes += encoded.next().unwrap_or(0) as u64;
                self.events
                    .push((index, Event::Appended { batch, first: 0 }));
            }
            _ => {}
        }
    }

    fn count_frame(&mut self, encoded: &mut impl Iterator<Item = usize>) {
        self.counts.frames += 1;
        self.counts.frame_bytes += encoded.next().unwrap_or(0) as u64;
    }

    fn run(&mut self, rate: f64) {
        let steps = (RUN.as_millis() / STEP.as_millis()) as u64;
        let per_step = rate * STEP.as_secs_f64();
        let mut due = vec![0.0; self.entries.len()];
        for (index, due) in due.iter_mut().enumerate() {
            *due = index as f64 * 0.618 % 1.0;
        }
        for step in 0..steps {
            self.now.instant += STEP;
            self.now.system += STEP;
            for (index, event) in std::mem::take(&mut self.events) {
                self.handle(index, event);
            }
            for (index, due) in due.iter_mut().enumerate() {
                if (step + index as u64).is_multiple_of(TICK_STEPS) {
                    self.handle(index, Event::Tick);
                }
                *due += per_step;
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.counts.bills += 1;
                    let bill = bill(index, self.counts.bills);
                    let call = self.counts.bills;
                    self.handle(index, Event::BillWanted { call, bill });
                }
            }
        }
        let pending: usize = self
            .entries
            .iter()
            .map(|entry| entry.state().ledger.pending())
            .sum();
        self.counts.confirmed = self.counts.bills - pending as u64;
    }
}

fn main() {
    measure_readers();
    let rate = std::env::args().nth(1).and_then(|word| word.parse().ok());
    let rate = rate.unwrap_or(22.5);
    println!("{rate} bills a second and entry, {ZONES} zones, {RUN:?}");
    println!(
        "{:>8} {:>10} {:>10} {:>12} {:>12} {:>14} {:>14} {:>12} {:>12}",
        "entries",
        "appends/s",
        "records",
        "log B/bill",
        "frame B/bill",
        "frame B/s/node",
        "frames/s/node",
        "us/bill",
        "core %/node"
    );
    for size in [12, 50, 200, 800] {
        let mut fleet = Fleet::new(size);
        fleet.run(rate);
        let counts = &fleet.counts;
        let (bills, seconds) = (counts.bills as f64, RUN.as_secs_f64());
        println!(
            "{:>8} {:>10.1} {:>10.1} {:>12.1} {:>12.1} {:>14.0} {:>14.1} {:>12.1} {:>12.3}",
            size,
            counts.appends as f64 / seconds,
            counts.records as f64 / counts.appends as f64,
            counts.record_bytes as f64 * BASE64_RATIO / counts.records as f64,
            counts.frame_bytes as f64 / bills,
            // Each frame counts twice, since one node sends it and another receives it.
            2.0 * counts.frame_bytes as f64 / seconds / size as f64,
            2.0 * counts.frames as f64 / seconds / size as f64,
            counts.busy.as_secs_f64() * 1e6 / bills,
            100.0 * counts.busy.as_secs_f64() / seconds / size as f64,
        );
    }
}

/// Measures the cost of reading a record of each stream and of keeping it in memory for one horizon.
fn measure_readers() {
    println!(
        "{:>8} {:>10} {:>14} {:>14} {:>14}",
        "stream", "records", "us/record", "memory B/rec", "B on the log"
    );
    let mut ledger = ledger::State::new(REQUEST_ID_LIFETIME);
    let bills =
        (0..HORIZON_RECORDS).map(|number| Record::Bill(bill(number as usize % 800, number)));
    measure_reader("ledger", bills, |entry| {
        ledger.begin_page(&page(Stream::Ledger));
        ledger.feed(entry);
    });
    let mut table = claim::Table::new(REQUEST_ID_LIFETIME);
    measure_reader("claims", (0..HORIZON_RECORDS).map(claim_record), |entry| {
        table.begin_page(&page(Stream::Claims));
        table.feed(entry);
    });
}

/// Records of the claims stream: each claim is followed by its outcome.
fn claim_record(number: u64) -> Record {
    let call = number / 2;
    let key = bill(call as usize % 800, call).key;
    let writer = Writer {
        entry: format!("entry-{:04}", call % 800).into(),
        boot: "0badcafe".into(),
        number: call,
    };
    if number.is_multiple_of(2) {
        return Record::Claim { key, writer };
    }
    let outcome = Outcome::Answered {
        status: 200,
        content_type: Some("application/json".into()),
        body: Some(vec![b'x'; 64].into()),
    };
    Record::Settle {
        key,
        writer,
        outcome,
    }
}

fn page(stream: Stream) -> Page {
    Page {
        stream,
        requested_at: Instant::now(),
        from: 0,
        oldest: 0,
        next: u64::MAX,
        entries: Vec::new(),
    }
}

/// Resident memory of this process in bytes.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|word| word.parse().ok()).unwrap_or(0.0) * 4096.0
}

/// Reads the records of one horizon, and prints the cost after a quarter, a half and all of them.
fn measure_reader(
    stream: &str,
    records: impl Iterator<Item = Record>,
    mut each: impl FnMut(&LogEntry),
) {
    let bytes: Vec<_> = records.map(|record| record::encode(&record)).collect();
    let size = bytes.iter().map(Vec::len).sum::<usize>() as f64 * BASE64_RATIO / bytes.len() as f64;
    let (start, step) = (
        SystemTime::now(),
        REQUEST_ID_LIFETIME / HORIZON_RECORDS as u32,
    );
    let (before, mut busy) = (resident(), Duration::ZERO);
    for (number, bytes) in (0_u64..).zip(&bytes) {
        let clock = Instant::now();
        each(&LogEntry {
            offset: number,
            at: start + step * number as u32,
            record: record::decode(bytes).ok(),
        });
        busy += clock.elapsed();
        let count = number + 1;
        if [HORIZON_RECORDS / 4, HORIZON_RECORDS / 2, HORIZON_RECORDS].contains(&count) {
            println!(
                "{stream:>8} {count:>10} {:>14.2} {:>14.0} {size:>14.0}",
                busy.as_secs_f64() * 1e6 / count as f64,
                (resident() - before) / count as f64,
            );
        }
    }
}
