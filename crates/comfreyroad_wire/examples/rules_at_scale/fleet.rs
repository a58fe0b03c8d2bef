use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::frame::{Frame, Heartbeat, RulesStatus};
use comfreyroad::id::{Address, Offset};
use comfreyroad::record::{Record, Stream};
use comfreyroad::{Action, Entry, Event, Settings};
use comfreyroad_wire::{frame, record};

/// Number of availability zones.
const ZONES: usize = 9;
/// Number of zones per region.
const ZONES_PER_REGION: usize = 3;
/// One-way latency within a zone, within a region and between regions.
const LATENCIES: [Duration; 3] = [
    Duration::from_micros(500),
    Duration::from_millis(1),
    Duration::from_millis(40),
];
/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a call to a peer or the log fails.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Cost of distributing the rules since the counters were last reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cost {
    /// Number of brief frames.
    pub(crate) frames: u64,
    /// Bytes of brief frames, by sender.
    pub(crate) bytes: Vec<u64>,
    /// Bytes of rules news in other frames.
    pub(crate) news: u64,
    /// Number of brief frames that contain the text of the rules, by sender.
    pub(crate) texts: Vec<u64>,
    /// Processor time spent on brief frames and on reads, in nanoseconds.
    pub(crate) nanos: u64,
    /// Number of reads of the rules stream.
    pub(crate) reads: u64,
    /// Bytes read from the rules stream.
    pub(crate) log: u64,
}

impl Cost {
    pub(crate) fn total_bytes(&self) -> u64 {
        self.bytes.iter().sum()
    }

    pub(crate) fn total_texts(&self) -> u64 {
        self.texts.iter().sum()
    }

    pub(crate) fn max_texts(&self) -> u64 {
        self.texts.iter().max().copied().unwrap_or(0)
    }

    pub(crate) fn max_bytes(&self) -> u64 {
        self.bytes.iter().max().copied().unwrap_or(0)
    }
}

/// Simulation of entries, the network and the log.
pub(crate) struct Fleet {
    now: Now,
    nodes: Vec<Entry>,
    jobs: BinaryHeap<Job>,
    sequence: u64,
    records: Vec<Rc<Record>>,
    polls: Vec<(usize, Offset, Instant)>,
    rules_bytes: usize,
    loss_percent: usize,
    zones_without_log: usize,
    cost: Cost,
    activations: Vec<Instant>,
}

/// A task that is scheduled for a time.
struct Job {
    at: Instant,
    sequence: u64,
    task: Task,
}

enum Task {
    Event(usize, Event),
    Frame {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Reply {
        to: usize,
        bytes: Vec<u8>,
    },
    Read {
        node: usize,
        from: Offset,
        requested_at: Instant,
        until: Instant,
    },
    Timeout(usize, Instant),
}

impl Fleet {
    /// Creates entries that have just started and know each other.
    pub(crate) fn new(entries: usize, rules_bytes: usize) -> Self {
        let now = Now {
            instant: Instant::now() + Duration::from_secs(1000),
            system: SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_000),
        };
        let settings = |node: usize| Settings {
            entry: format!("entry-{node}").into(),
            zone: format!("zone-{}", node % ZONES).into(),
            address: address(node),
            // No entry may be lost in this simulation, which does not measure heartbeats.
            peer_timeout: Duration::from_secs(3600),
            seed: node as u64 + 1,
            ..Settings::default()
        };
        let mut fleet = Self {
            now,
            nodes: (0..entries)
                .map(|node| Entry::new(&settings(node)))
                .collect(),
            jobs: BinaryHeap::new(),
            sequence: 0,
            records: Vec::new(),
            polls: Vec::new(),
            rules_bytes,
            loss_percent: 0,
            zones_without_log: 0,
            cost: Cost::default(),
            activations: Vec::new(),
        };
        fleet.take_cost();
        let beats: Vec<Heartbeat> = (0..entries)
            .map(|node| Heartbeat::initial(&settings(node)))
            .collect();
        for node in 0..entries {
            fleet.schedule(Duration::ZERO, Task::Event(node, Event::Started));
            let frame = introduction(&beats, (node + 1) % entries);
            fleet.schedule(
                Duration::ZERO,
                Task::Event(node, Event::Peer(Box::new(frame))),
            );
            let first = Duration::from_micros(fastrand::u64(..TICK_INTERVAL.as_micros() as u64));
            fleet.schedule(first, Task::Event(node, Event::Tick));
        }
        fleet
    }

    /// Drops a share of the frames, and cuts the last zones off from the log.
    pub(crate) fn inject_faults(&mut self, loss_percent: usize, zones_without_log: usize) {
        (self.loss_percent, self.zones_without_log) = (loss_percent, zones_without_log);
    }

    /// Returns the counters and resets them.
    pub(crate) fn take_cost(&mut self) -> Cost {
        let bytes = vec![0; self.nodes.len()];
        std::mem::replace(
            &mut self.cost,
            Cost {
                texts: bytes.clone(),
                bytes,
                ..Cost::default()
            },
        )
    }

    /// Returns the times at which entries activated the rules published last.
    pub(crate) fn activations(&mut self) -> Vec<Instant> {
        std::mem::take(&mut self.activations)
    }

    /// Time since each entry's rules were last confirmed.
    pub(crate) fn ages(&self) -> Vec<Duration> {
        let confirmed = self
            .nodes
            .iter()
            .filter_map(|node| node.state().rules.confirmed_at());
        confirmed
            .map(|at| self.now.instant.saturating_duration_since(at))
            .collect()
    }

    /// Publishes new rules, as an operator does, and returns the time.
    pub(crate) fn publish(&mut self) -> Instant {
        self.activations.clear();
        let publishes = self
            .records
            .iter()
            .filter(|record| matches!(***record, Record::Publish { .. }));
        let after = publishes.count() as u64;
        let mut text = format!("format 1 after {after} # asked by mona\n");
        for zone in 0.. {
            text += &format!(
                "zone zone-{zone} state=in # asked by mona, with a comment of typical length.\n"
            );
            if text.len() >= self.rules_bytes {
                break;
            }
        }
        self.append(Rc::new(Record::Publish {
            by: "mona".into(),
            after,
            text: text.into(),
        }));
        self.now.instant
    }

    fn append(&mut self, record: Rc<Record>) {
        self.records.push(record);
        for (node, from, requested_at) in std::mem::take(&mut self.polls) {
            self.send_page(node, from, requested_at);
        }
    }

    fn schedule(&mut self, wait: Duration, task: Task) {
        self.sequence += 1;
        let (at, sequence) = (self.now.instant + wait, self.sequence);
        self.jobs.push(Job { at, sequence, task });
    }

    /// Runs the simulation for a duration of simulated time.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let until = self.now.instant + duration;
        while self.jobs.peek().is_some_and(|job| job.at <= until) {
            let Some(job) = self.jobs.pop() else { break };
            self.now.system += job.at - self.now.instant;
            self.now.instant = job.at;
            self.run(job.task);
        }
        self.now.instant = until;
    }

    fn run(&mut self, task: Task) {
        match task {
            Task::Event(node, event) => {
                if matches!(event, Event::Tick) {
                    self.schedule(TICK_INTERVAL, Task::Event(node, Event::Tick));
                }
                let is_measured = matches!(event, Event::Read(_));
                self.handle(node, event, is_measured);
            }
            Task::Frame { to, from, bytes } => self.on_frame(to, from, &bytes),
            Task::Reply { to, bytes } => {
                let Some(frame) = self.decode(&bytes) else {
                    return;
                };
                let is_measured = frame.is_rules_only;
                self.handle(to, Event::Peer(Box::new(frame)), is_measured);
            }
            Task::Read {
                node,
                from,
                requested_at,
                until,
            } => {
                if from < self.records.len() as Offset || until <= self.now.instant {
                    return self.send_page(node, from, requested_at);
                }
                self.polls.push((node, from, requested_at));
                self.schedule(until - self.now.instant, Task::Timeout(node, requested_at));
            }
            Task::Timeout(node, requested_at) => {
                let is_match =
                    |poll: &(usize, Offset, Instant)| poll.0 == node && poll.2 == requested_at;
                let Some(index) = self.polls.iter().position(is_match) else {
                    return;
                };
                let (node, from, requested_at) = self.polls.swap_remove(index);
                self.send_page(node, from, requested_at);
            }
        }
    }

    fn on_frame(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let Some(frame) = self.decode(bytes) else {
            return;
        };
        let is_measured = frame.is_rules_only;
        self.handle(to, Event::Peer(Box::new(frame)), is_measured);
        let asks = Event::PeerRequest {
            exchange: from as u64,
            address: address(from),
        };
        self.handle(to, asks, is_measured);
    }

    fn decode(&mut self, bytes: &[u8]) -> Option<Frame> {
        let begin = Instant::now();
        let frame = frame::decode(bytes).ok()?;
        if frame.is_rules_only {
            self.cost.nanos += begin.elapsed().as_nanos() as u64;
        }
        Some(frame)
    }

    fn handle(&mut self, node: usize, event: Event, is_measured: bool) {
        let before = self.nodes[node].state().rules.generation();
        let begin = Instant::now();
        let actions = self.nodes[node].handle(self.now, event);
        if is_measured {
            self.cost.nanos += begin.elapsed().as_nanos() as u64;
        }
        if self.nodes[node].state().rules.generation() > before {
            self.activations.push(self.now.instant);
        }
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::SendFrame { to, frame } => {
                let to = node_index(&to);
                let (bytes, wait) = (self.encode(node, &frame), latency(node, to));
                if fastrand::usize(..100) < self.loss_percent {
                    let failed = Event::PeerFailed(address(to));
                    return self.schedule(TIMEOUT, Task::Event(node, failed));
                }
                self.schedule(
                    wait,
                    Task::Frame {
                        to,
                        from: node,
                        bytes,
                    },
                );
            }
            Action::Reply { exchange, frame } => {
                let to = exchange as usize;
                let (bytes, wait) = (self.encode(node, &frame), latency(node, to));
                self.schedule(wait, Task::Reply { to, bytes });
            }
            Action::Read {
                stream: Stream::Rules,
                from,
                wait,
            } => {
                self.cost.reads += 1;
                if node % ZONES >= ZONES - self.zones_without_log {
                    let failed = Event::ReadFailed(Stream::Rules);
                    return self.schedule(TIMEOUT, Task::Event(node, failed));
                }
                let (requested_at, log_latency) = (self.now.instant, latency(node, 0));
                self.schedule(
                    log_latency,
                    Task::Read {
                        node,
                        from,
                        requested_at,
                        until: requested_at + wait,
                    },
                );
            }
            Action::Append {
                batch,
                stream: Stream::Rules,
                records,
            } => {
                let first = self.records.len() as Offset;
                records.into_iter().for_each(|record| self.append(record));
                self.schedule(
                    latency(node, 0),
                    Task::Event(node, Event::Appended { batch, first }),
                );
            }
            _ => {}
        }
    }

    fn encode(&mut self, node: usize, message: &Frame) -> Vec<u8> {
        let begin = Instant::now();
        let bytes = frame::encode(message);
        if message.is_rules_only {
            self.cost.nanos += begin.elapsed().as_nanos() as u64;
            self.cost.frames += 1;
            self.cost.bytes[node] += bytes.len() as u64;
            self.cost.texts[node] += u64::from(message.rules.text.is_some());
        } else {
            let without_news = Frame {
                rules: RulesStatus::default(),
                ..message.clone()
            };
            self.cost.news += bytes
                .len()
                .saturating_sub(frame::encode(&without_news).len())
                as u64;
        }
        bytes
    }

    fn send_page(&mut self, node: usize, from: Offset, requested_at: Instant) {
        let numbered = (0..).zip(&self.records).skip(from as usize);
        let entry = |(offset, record): (Offset, &Rc<Record>)| LogEntry {
            offset,
            at: self.now.system,
            record: Some((**record).clone()),
        };
        let entries: Vec<LogEntry> = numbered.map(entry).collect();
        let read = entries.iter().filter_map(|entry| entry.record.as_ref());
        self.cost.log += read
            .map(|read| record::encode(read).len() as u64)
            .sum::<u64>();
        let page = Page {
            stream: Stream::Rules,
            requested_at,
            from,
            oldest: 0,
            next: self.records.len() as Offset,
            entries,
        };
        self.schedule(latency(node, 0), Task::Event(node, Event::Read(page)));
    }
}

fn address(node: usize) -> Address {
    format!("10.0.0.0:{node}").into()
}

fn node_index(address: &str) -> usize {
    address
        .rsplit(':')
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(0)
}

fn latency(one: usize, other: usize) -> Duration {
    let (one, other) = (one % ZONES, other % ZONES);
    LATENCIES[usize::from(one != other)
        + usize::from(one / ZONES_PER_REGION != other / ZONES_PER_REGION)]
}

/// A frame that introduces all entries to its receiver.
fn introduction(beats: &[Heartbeat], from: usize) -> Frame {
    let own = &beats[from];
    Frame {
        from: own.entry.clone(),
        boot: own.boot.clone(),
        zone: own.zone.clone(),
        address: own.address.clone(),
        heartbeats: beats.to_vec(),
        ..Frame::default()
    }
}

impl Ord for Job {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Job {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Job {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Job {}
