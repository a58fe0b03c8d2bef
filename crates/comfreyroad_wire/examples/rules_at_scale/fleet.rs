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

/// Availability zones.
const ZONES: usize = 9;
/// Zones of a region.
const REGION: usize = 3;
/// One way within a zone, within a region and between regions.
const WAYS: [Duration; 3] = [
    Duration::from_micros(500),
    Duration::from_millis(1),
    Duration::from_millis(40),
];
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Time after which a peer or the log counts as silent.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What the rules have cost since the last look.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cost {
    /// Brief frames.
    pub(crate) frames: u64,
    /// Their bytes, by sender.
    pub(crate) bytes: Vec<u64>,
    /// Bytes of news in other frames.
    pub(crate) news: u64,
    /// Frames with a text, by sender.
    pub(crate) texts: Vec<u64>,
    /// Processor time of brief frames and of reads.
    pub(crate) nanos: u64,
    /// Reads of the rules' stream.
    pub(crate) reads: u64,
    /// Bytes read from it.
    pub(crate) log: u64,
}

impl Cost {
    pub(crate) fn sum(&self) -> u64 {
        self.bytes.iter().sum()
    }

    pub(crate) fn texts(&self) -> u64 {
        self.texts.iter().sum()
    }

    pub(crate) fn most_texts(&self) -> u64 {
        self.texts.iter().max().copied().unwrap_or(0)
    }

    pub(crate) fn most(&self) -> u64 {
        self.bytes.iter().max().copied().unwrap_or(0)
    }
}

/// Entries, the network and the log.
pub(crate) struct Fleet {
    now: Now,
    nodes: Vec<Entry>,
    jobs: BinaryHeap<Job>,
    sequence: u64,
    records: Vec<Rc<Record>>,
    polls: Vec<(usize, Offset, Instant)>,
    pad: usize,
    loss: usize,
    without_log: usize,
    cost: Cost,
    enacted: Vec<Instant>,
}

/// Something to be done at a time.
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
    Answer {
        to: usize,
        bytes: Vec<u8>,
    },
    Read {
        node: usize,
        from: Offset,
        asked: Instant,
        until: Instant,
    },
    Timeout(usize, Instant),
}

impl Fleet {
    /// Entries that have just started and know each other.
    pub(crate) fn new(entries: usize, bytes: usize) -> Self {
        let now = Now {
            instant: Instant::now() + Duration::from_secs(1000),
            system: SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_000),
        };
        let settings = |node: usize| Settings {
            entry: format!("entry-{node}").into(),
            zone: format!("zone-{}", node % ZONES).into(),
            address: address(node),
            // Heartbeats are measured elsewhere: nobody is to be lost here.
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
            pad: bytes,
            loss: 0,
            without_log: 0,
            cost: Cost::default(),
            enacted: Vec::new(),
        };
        fleet.clear();
        let beats: Vec<Heartbeat> = (0..entries)
            .map(|node| Heartbeat::initial(&settings(node)))
            .collect();
        for node in 0..entries {
            fleet.plan(Duration::ZERO, Task::Event(node, Event::Started));
            let frame = introduction(&beats, (node + 1) % entries);
            fleet.plan(
                Duration::ZERO,
                Task::Event(node, Event::Peer(Box::new(frame))),
            );
            let first = Duration::from_micros(fastrand::u64(..TICK.as_micros() as u64));
            fleet.plan(first, Task::Event(node, Event::Tick));
        }
        fleet
    }

    /// Loses a part of the frames, and cuts the last zones off from the log.
    pub(crate) fn break_down(&mut self, loss: usize, without_log: usize) {
        (self.loss, self.without_log) = (loss, without_log);
    }

    /// Takes what was counted, and begins anew.
    pub(crate) fn clear(&mut self) -> Cost {
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

    /// When entries went over to the rules published last.
    pub(crate) fn enacted(&mut self) -> Vec<Instant> {
        std::mem::take(&mut self.enacted)
    }

    /// Ages of all confirmations.
    pub(crate) fn ages(&self) -> Vec<Duration> {
        let confirmed = self
            .nodes
            .iter()
            .filter_map(|node| node.state().rules.confirmed_at());
        confirmed
            .map(|at| self.now.instant.saturating_duration_since(at))
            .collect()
    }

    /// An operator publishes.
    pub(crate) fn publish(&mut self) -> Instant {
        self.enacted.clear();
        let publishes = self
            .records
            .iter()
            .filter(|record| matches!(***record, Record::Publish { .. }));
        let after = publishes.count() as u64;
        let mut text = format!("format 1 after {after} # asked by mona\n");
        for zone in 0.. {
            text += &format!(
                "zone zone-{zone} state=in # asked by mona, who wants every line to look real\n"
            );
            if text.len() >= self.pad {
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
        for (node, from, asked) in std::mem::take(&mut self.polls) {
            self.page(node, from, asked);
        }
    }

    fn plan(&mut self, wait: Duration, task: Task) {
        self.sequence += 1;
        let (at, sequence) = (self.now.instant + wait, self.sequence);
        self.jobs.push(Job { at, sequence, task });
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now.instant + time;
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
                    self.plan(TICK, Task::Event(node, Event::Tick));
                }
                let is_counted = matches!(event, Event::Read(_));
                self.handle(node, event, is_counted);
            }
            Task::Frame { to, from, bytes } => self.on_frame(to, from, &bytes),
            Task::Answer { to, bytes } => {
                let Some(frame) = self.decode(&bytes) else {
                    return;
                };
                let is_counted = frame.is_rules_only;
                self.handle(to, Event::Peer(Box::new(frame)), is_counted);
            }
            Task::Read {
                node,
                from,
                asked,
                until,
            } => {
                if from < self.records.len() as Offset || until <= self.now.instant {
                    return self.page(node, from, asked);
                }
                self.polls.push((node, from, asked));
                self.plan(until - self.now.instant, Task::Timeout(node, asked));
            }
            Task::Timeout(node, asked) => {
                let is_it = |poll: &(usize, Offset, Instant)| poll.0 == node && poll.2 == asked;
                let Some(index) = self.polls.iter().position(is_it) else {
                    return;
                };
                let (node, from, asked) = self.polls.swap_remove(index);
                self.page(node, from, asked);
            }
        }
    }

    fn on_frame(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let Some(frame) = self.decode(bytes) else {
            return;
        };
        let is_counted = frame.is_rules_only;
        self.handle(to, Event::Peer(Box::new(frame)), is_counted);
        let asks = Event::PeerRequest {
            exchange: from as u64,
            address: address(from),
        };
        self.handle(to, asks, is_counted);
    }

    fn decode(&mut self, bytes: &[u8]) -> Option<Frame> {
        let begin = Instant::now();
        let frame = frame::decode(bytes).ok()?;
        if frame.is_rules_only {
            self.cost.nanos += begin.elapsed().as_nanos() as u64;
        }
        Some(frame)
    }

    fn handle(&mut self, node: usize, event: Event, is_counted: bool) {
        let before = self.nodes[node].state().rules.generation();
        let begin = Instant::now();
        let actions = self.nodes[node].handle(self.now, event);
        if is_counted {
            self.cost.nanos += begin.elapsed().as_nanos() as u64;
        }
        if self.nodes[node].state().rules.generation() > before {
            self.enacted.push(self.now.instant);
        }
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::SendFrame { to, frame } => {
                let to = number(&to);
                let (bytes, wait) = (self.encode(node, &frame), way(node, to));
                if fastrand::usize(..100) < self.loss {
                    let failed = Event::PeerFailed(address(to));
                    return self.plan(TIMEOUT, Task::Event(node, failed));
                }
                self.plan(
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
                let (bytes, wait) = (self.encode(node, &frame), way(node, to));
                self.plan(wait, Task::Answer { to, bytes });
            }
            Action::Read {
                stream: Stream::Rules,
                from,
                wait,
            } => {
                self.cost.reads += 1;
                if node % ZONES >= ZONES - self.without_log {
                    let failed = Event::ReadFailed(Stream::Rules);
                    return self.plan(TIMEOUT, Task::Event(node, failed));
                }
                let (asked, way) = (self.now.instant, way(node, 0));
                self.plan(
                    way,
                    Task::Read {
                        node,
                        from,
                        asked,
                        until: asked + wait,
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
                self.plan(
                    way(node, 0),
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
            let silent = Frame {
                rules: RulesStatus::default(),
                ..message.clone()
            };
            self.cost.news += bytes.len().saturating_sub(frame::encode(&silent).len()) as u64;
        }
        bytes
    }

    fn page(&mut self, node: usize, from: Offset, asked: Instant) {
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
            requested_at: asked,
            from,
            oldest: 0,
            next: self.records.len() as Offset,
            entries,
        };
        self.plan(way(node, 0), Task::Event(node, Event::Read(page)));
    }
}

fn address(node: usize) -> Address {
    format!("10.0.0.0:{node}").into()
}

fn number(address: &str) -> usize {
    address
        .rsplit(':')
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(0)
}

fn way(one: usize, other: usize) -> Duration {
    let (one, other) = (one % ZONES, other % ZONES);
    WAYS[usize::from(one != other) + usize::from(one / REGION != other / REGION)]
}

/// A frame by which an entry gets to know all others.
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
