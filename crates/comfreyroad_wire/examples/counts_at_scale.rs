//! Measures the cost per entry of the counts of rated answers: `counts_at_scale ENTRIES SECONDS`.
//!
//! The quality controller and the real codec run in one process on a simulated clock. Only the counts are encoded and
//! timed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::controller::{Controller, Controllers};
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::frame::{Frame, Heartbeat, View};
use comfreyroad::outbox::Outbox;
use comfreyroad::quality::{Cell, Count, Origin, Subject, Tally};
use comfreyroad::record::{Record, Stream};
use comfreyroad::rules::InForce;
use comfreyroad::{Entry, Event, Settings};
use comfreyroad_wire::frame;
use fastrand::Rng;

/// Number of routes.
const ROUTES: usize = 4;
/// Number of versions in use.
const VERSIONS: usize = 9;
/// Interval between rounds of frames.
const ROUND: Duration = Duration::from_millis(500);
/// Number of peers to which each entry sends a frame per round.
const FANOUT: usize = 3;
/// Ratings per second of all entries together, both sampled ratings and ratings of model chains.
const RATINGS_PER_SECOND: usize = 2_000;

/// Measured cost.
#[derive(Default)]
struct Cost {
    bytes: usize,
    frames: usize,
    time: Duration,
}

struct Fleet {
    entries: Vec<Controllers>,
    addresses: Vec<Arc<str>>,
    now: Now,
    rng: Rng,
    rated: u32,
    cost: Cost,
}

fn main() {
    let mut words = std::env::args().skip(1).map(|word| word.parse::<usize>());
    let (Some(Ok(entries)), Some(Ok(seconds))) = (words.next(), words.next()) else {
        println!("usage: counts_at_scale ENTRIES SECONDS");
        return;
    };
    print_memory(entries);
    let mut fleet = Fleet::new(entries);
    fleet.run(seconds / 2);
    fleet.cost = Cost::default();
    fleet.run(seconds - seconds / 2);
    fleet.print_report(entries, (seconds - seconds / 2) as f64);
}

/// Prints the memory that the counts of all entries occupy in one entry after it received them in frames.
fn print_memory(entries: usize) {
    let before = resident();
    let mut tally = Tally::default();
    for entry in 0..entries {
        let counts = (0..ROUTES * VERSIONS)
            .map(|index| count(entry, index))
            .collect();
        let message = Frame {
            counts,
            ..Frame::default()
        };
        let bytes = frame::encode(&message);
        let received = frame::decode(&bytes).expect("a frame decodes");
        received
            .counts
            .iter()
            .for_each(|count| _ = tally.merge(count));
    }
    let cells = tally.len();
    let used = resident().saturating_sub(before);
    println!(
        "entries {entries}: {cells} cells in {used} bytes, {} a cell",
        used / cells.max(1)
    );
}

fn count(entry: usize, index: usize) -> Count {
    let mut cell = Cell::default();
    (0..40).for_each(|step| cell.count(3_166_667, step % 5 > 0));
    Count {
        origin: Origin {
            entry: format!("entry-{entry}").into(),
            boot: format!("{entry:08x}").into(),
        },
        subject: subject(index),
        cell,
    }
}

fn subject(index: usize) -> Subject {
    Subject {
        route: format!("route-{}", index % ROUTES).into(),
        version: format!("model-{}@1", index / ROUTES).into(),
        is_escalated: false,
    }
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse::<usize>().ok());
    pages.unwrap_or_default() * 4096
}

impl Fleet {
    fn new(count: usize) -> Self {
        let now = Now {
            instant: Instant::now() + Duration::from_secs(1_000),
            system: SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_200),
        };
        let addresses: Vec<Arc<str>> = (0..count)
            .map(|index| format!("10.0.{}.{}:1", index / 256, index % 256).into())
            .collect();
        let name = |index: usize| -> Arc<str> { format!("entry-{index}").into() };
        let mut view = View::default();
        for (index, address) in addresses.iter().enumerate() {
            let settings = Settings {
                entry: name(index),
                zone: "a".into(),
                address: address.clone(),
                ..Settings::default()
            };
            let beat = Heartbeat {
                serving: true,
                ..Heartbeat::initial(&settings)
            };
            view.members.insert(name(index), beat);
        }
        let (view, rules) = (Rc::new(view), rules(now));
        let entry = |index: usize| {
            let mut entry = Controllers::new(&Settings {
                entry: name(index),
                address: addresses[index].clone(),
                ..Settings::default()
            });
            for event in [
                Event::Members(Rc::clone(&view)),
                Event::InForce(Arc::clone(&rules)),
            ] {
                entry.quality.handle(now, &event, &mut Outbox::default());
            }
            entry
        };
        Self {
            entries: (0..count).map(entry).collect(),
            addresses: addresses.clone(),
            now,
            rng: Rng::with_seed(1),
            rated: 0,
            cost: Cost::default(),
        }
    }

    fn run(&mut self, seconds: usize) {
        let rounds = seconds * 1_000 / ROUND.as_millis() as usize;
        for _ in 0..rounds {
            self.now.instant += ROUND;
            self.now.system += ROUND;
            (0..RATINGS_PER_SECOND / 2).for_each(|call| self.rate(call as u64));
            for from in 0..self.entries.len() {
                self.handle(from, &Event::Tick);
                for _ in 0..FANOUT {
                    let to = self.rng.usize(..self.entries.len());
                    self.send_frame(from, to);
                    self.send_frame(to, from);
                }
            }
        }
    }

    fn rate(&mut self, call: u64) {
        let index = self.rng.usize(..self.entries.len());
        let subject = subject(self.rng.usize(..ROUTES * VERSIONS));
        let good = Some(self.rng.f64() < 0.9);
        self.rated += 1;
        self.handle(index, &Event::RatingAsked { call, subject });
        self.handle(index, &Event::Rated { call, good });
    }

    fn handle(&mut self, index: usize, event: &Event) {
        let start = Instant::now();
        self.entries[index]
            .quality
            .handle(self.now, event, &mut Outbox::default());
        self.cost.time += start.elapsed();
    }

    fn send_frame(&mut self, from: usize, to: usize) {
        let start = Instant::now();
        let mut message = Frame {
            address: self.addresses[from].clone(),
            ..Frame::default()
        };
        let empty = frame::encode(&message).len();
        self.entries[from]
            .quality
            .fill(self.now, &self.addresses[to], &mut message);
        let bytes = frame::encode(&message);
        self.cost.time += start.elapsed();
        self.cost.bytes += bytes.len() - empty;
        self.cost.frames += 1;
        let Ok(received) = frame::decode(&bytes) else {
            return;
        };
        self.handle(to, &Event::Peer(Box::new(received)));
    }

    fn print_report(&self, entries: usize, seconds: f64) {
        let count = self.entries.len() as f64;
        let per_entry_second = |total: f64| total / count / seconds;
        println!(
            "entries {entries}: {:.0} bytes/s sent, {:.1} frames/s, {:.3} % of a core",
            per_entry_second(self.cost.bytes as f64),
            per_entry_second(self.cost.frames as f64),
            100.0 * per_entry_second(self.cost.time.as_secs_f64()),
        );
        let known_ratings = |entry: &Controllers| -> u32 {
            let sums = entry.quality.tally().sums();
            sums.map(|(_, sum)| sum.all().rated).sum()
        };
        let mut shares: Vec<f64> = self
            .entries
            .iter()
            .map(|entry| f64::from(known_ratings(entry)) / f64::from(self.rated))
            .collect();
        shares.sort_by(f64::total_cmp);
        let cells: usize = self
            .entries
            .iter()
            .map(|entry| entry.quality.tally().len())
            .sum();
        println!(
            "entries {entries}: share of {} ratings known per entry: min {:.3}, median {:.3}; {:.0} cells each",
            self.rated,
            shares[0],
            shares[shares.len() / 2],
            cells as f64 / count,
        );
    }
}

/// Creates rules with all routes and versions, and activates them in an entry.
fn rules(now: Now) -> Arc<InForce> {
    let mut text =
        String::from("format 1 after 0 # asked by ada\nzone a state=in # asked by ada\n");
    text += "pool drafting kind=engine bears=8 cold=2 # asked by ada\n";
    let models: Vec<String> = (0..VERSIONS)
        .map(|index| format!("model-{index}"))
        .collect();
    for model in &models {
        text += &format!("version {model}@1 pool=drafting cost=100 share=100 # asked by ada\n");
    }
    for route in 0..ROUTES {
        let models = models.join(",");
        text += &format!(
            "route route-{route} models={models} class=draft quality=0.9 # asked by ada\n"
        );
    }
    let record = Record::Publish {
        by: "ada".into(),
        after: 0,
        text: text.into(),
    };
    let page = Page {
        stream: Stream::Rules,
        requested_at: now.instant,
        from: 0,
        oldest: 0,
        next: 1,
        entries: vec![LogEntry {
            offset: 0,
            at: now.system,
            record: Some(record),
        }],
    };
    let mut entry = Entry::new(&Settings::default());
    entry.handle(now, Event::Started);
    entry.handle(now, Event::Read(page));
    Arc::clone(entry.state().rules.in_force().expect("the rules check"))
}
