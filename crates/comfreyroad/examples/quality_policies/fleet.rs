//! A fleet of entries with a log, a rating service and engines, on a simulated clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::action::Send;
use comfreyroad::clock::Now;
use comfreyroad::event::{LogEntry, Page, Signal};
use comfreyroad::id::{CallId, Offset};
use comfreyroad::record::{Record, Stream};
use comfreyroad::request::{Chat, Head, Request, Target, Usage};
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use comfreyroad::{Action, Entry, Event, Settings};
use indexmap::IndexMap;

use crate::catalog::Catalog;

/// Interval of the timer event of an entry.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of tokens in a prompt.
const PROMPT_TOKENS: u32 = 1_000;
/// Number of tokens in an answer.
const ANSWER_TOKENS: u32 = 500;
/// Number of engines.
const ENGINES: usize = 4;

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Number of answers delivered, by version.
    pub(crate) by_version: IndexMap<Arc<str>, u64>,
    /// Number of good answers delivered.
    pub(crate) good: u64,
    /// Number of refused requests.
    pub(crate) refused: u64,
    /// Cost of all runs and ratings, in millionths.
    pub(crate) cost: u64,
    /// Number of ratings.
    pub(crate) ratings: u64,
    /// Number of answers delivered from `DEGRADATION_S` on, by version.
    pub(crate) after_degradation: IndexMap<Arc<str>, u64>,
    /// Time from the start to the first hold on the log.
    pub(crate) held_at: Option<Duration>,
    /// Number of answers of each version when it reached `FIXED_SAMPLE` ratings.
    pub(crate) at_fixed_sample: IndexMap<Arc<str>, u64>,
}

impl Outcome {
    /// Returns the number of answers delivered.
    pub(crate) fn answers(&self) -> u64 {
        self.by_version.values().sum()
    }
}

/// Time at which a version becomes bad, in seconds.
pub(crate) const DEGRADATION_S: u64 = 700;
/// Number of ratings after which a fixed-sample test decides.
pub(crate) const FIXED_SAMPLE: u32 = 200;

enum Job {
    Tick(usize),
    Deliver(usize, Event),
    Request(u64),
}

/// The simulated entries and the services they use.
pub(crate) struct Fleet {
    catalog: Catalog,
    entries: Vec<Entry>,
    now: Now,
    start: Instant,
    log: IndexMap<Stream, Vec<(SystemTime, Record)>>,
    reads: IndexMap<(usize, Stream), Offset>,
    queue: BTreeMap<(Instant, u64), Job>,
    sequence: u64,
    requests: IndexMap<(usize, CallId), Arc<str>>,
    exchanges: IndexMap<u64, usize>,
    rated: IndexMap<Arc<str>, u32>,
    rating_cost: u64,
    outcome: Outcome,
}

impl Fleet {
    pub(crate) fn new(catalog: Catalog, count: usize, rules: &str, settings: &Settings) -> Self {
        let start = Instant::now() + Duration::from_secs(1_000);
        let system = SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_200);
        let address = |index: usize| -> Arc<str> { format!("10.0.0.{index}:1").into() };
        let entry = |index: usize| {
            Entry::new(&Settings {
                entry: format!("entry-{index}").into(),
                address: address(index),
                zone: "a".into(),
                peers: (0..count)
                    .filter(|peer| *peer != index)
                    .map(address)
                    .collect(),
                seed: catalog.seed + index as u64,
                ..settings.clone()
            })
        };
        let mut fleet = Self {
            entries: (0..count).map(entry).collect(),
            now: Now {
                instant: start,
                system,
            },
            start,
            log: IndexMap::new(),
            reads: IndexMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            requests: IndexMap::new(),
            exchanges: IndexMap::new(),
            rated: IndexMap::new(),
            rating_cost: settings.rating_cost,
            outcome: Outcome::default(),
            catalog,
        };
        let publish = Record::Publish {
            by: "ada".into(),
            after: 0,
            text: rules.into(),
        };
        fleet.append(Stream::Rules, publish);
        for index in 0..count {
            fleet.deliver(index, Event::Started);
            fleet.schedule(TICK_INTERVAL, Job::Tick(index));
        }
        fleet
    }

    /// Sends requests at a fixed rate per second for a number of seconds and returns the result.
    pub(crate) fn run(mut self, seconds: u64, rate: u64) -> Outcome {
        let startup = Duration::from_secs(3);
        for number in 0..seconds * rate {
            let at = startup + Duration::from_millis(number * 1_000 / rate);
            self.schedule(at, Job::Request(number));
        }
        let end = self.start + startup + Duration::from_secs(seconds + 40);
        while let Some(next) = self.queue.first_entry() {
            let at = next.key().0;
            if at > end {
                break;
            }
            let job = next.remove();
            self.now.system += at - self.now.instant;
            self.now.instant = at;
            self.execute(job);
        }
        self.outcome
    }

    fn execute(&mut self, job: Job) {
        match job {
            Job::Tick(index) => {
                self.answer_reads(index);
                self.deliver(index, Event::Tick);
                self.schedule(TICK_INTERVAL, Job::Tick(index));
            }
            Job::Deliver(index, event) => self.deliver(index, event),
            Job::Request(number) => self.submit_request(number),
        }
    }

    fn schedule(&mut self, wait: Duration, job: Job) {
        self.sequence += 1;
        self.queue
            .insert((self.now.instant + wait, self.sequence), job);
    }

    fn submit_request(&mut self, number: u64) {
        let index = (number % self.entries.len() as u64) as usize;
        let id: Arc<str> = format!("r{number}").into();
        self.requests.insert((index, number), id.clone());
        let head = Head {
            call: number,
            id,
            key: [1; 32],
            session: None,
            received: self.now.instant,
            deadline: self.now.instant + Duration::from_secs(30),
            attempt: 1,
            may_repeat: None,
            target: Target::Chat(Chat {
                model: "plan".into(),
                stream: false,
                max_tokens: ANSWER_TOKENS,
                prompt_tokens: PROMPT_TOKENS,
                prefix: number,
            }),
            body: Arc::new([]),
        };
        self.deliver(index, Event::Call(Box::new(Request::new(head))));
    }

    fn deliver(&mut self, index: usize, event: Event) {
        for action in self.entries[index].handle(self.now, event) {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send(send) => self.send(index, &send),
            Action::Begin { call, version, .. } => self.on_begin(index, call, version),
            Action::Refuse { .. } | Action::Abort(_) => self.outcome.refused += 1,
            Action::Rate { call, version, .. } => self.rate_answer(index, call, &version),
            Action::Append {
                batch,
                stream,
                records,
            } => {
                let first = self.log.get(&stream).map_or(0, Vec::len) as Offset;
                for record in records {
                    self.append(stream, (*record).clone());
                }
                let event = Event::Appended { batch, first };
                self.schedule(Duration::from_millis(2), Job::Deliver(index, event));
            }
            Action::Read { stream, from, .. } => _ = self.reads.insert((index, stream), from),
            Action::ListVms => {
                let event = Event::Vms {
                    at: self.now.system,
                    vms: self.vms(),
                };
                self.schedule(Duration::from_millis(1), Job::Deliver(index, event));
            }
            Action::AskLoad { upstream, .. } => {
                let load = Some(self.load());
                let event = Event::Load { upstream, load };
                self.schedule(Duration::from_millis(1), Job::Deliver(index, event));
            }
            Action::SendFrame { to, frame } => {
                let peer = to
                    .strip_prefix("10.0.0.")
                    .and_then(|rest| rest.strip_suffix(":1"));
                let Some(peer) = peer.and_then(|peer| peer.parse::<usize>().ok()) else {
                    return;
                };
                self.sequence += 1;
                let exchange = self.sequence;
                self.exchanges.insert(exchange, index);
                let reply_request = Event::PeerRequest {
                    exchange,
                    address: frame.address.clone(),
                };
                let wait = Duration::from_millis(1);
                self.schedule(wait, Job::Deliver(peer, Event::Peer(frame)));
                self.schedule(wait, Job::Deliver(peer, reply_request));
            }
            Action::Reply { exchange, frame } => {
                if let Some(requester) = self.exchanges.swap_remove(&exchange) {
                    let event = Event::Peer(frame);
                    self.schedule(Duration::from_millis(1), Job::Deliver(requester, event));
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, index: usize, send: &Send) {
        let Some(version) = &send.version else { return };
        let properties = *self.catalog.version(version);
        self.outcome.cost += properties.cost * u64::from(PROMPT_TOKENS + ANSWER_TOKENS) / 1_000;
        let (attempt, upstream) = (send.attempt, send.upstream.clone());
        let signals = [
            Signal::Head {
                status: 200,
                content_type: None,
                tag: Some(send.tag.clone()),
                boot: Some("b1".into()),
            },
            Signal::Part {
                tag: Some(send.tag.clone()),
                offset: 0,
                length: ANSWER_TOKENS.into(),
                bytes: b"answer".as_slice().into(),
            },
            Signal::End {
                usage: Usage {
                    completion_tokens: ANSWER_TOKENS,
                    ..Usage::default()
                },
            },
        ];
        for signal in signals {
            let upstream = upstream.clone();
            let event = Event::Attempt {
                attempt,
                upstream,
                signal,
            };
            let wait = Duration::from_millis(properties.latency_ms);
            self.schedule(wait, Job::Deliver(index, event));
        }
    }

    fn elapsed_seconds(&self) -> u64 {
        (self.now.instant - self.start).as_secs()
    }

    fn on_begin(&mut self, index: usize, call: CallId, version: Option<Arc<str>>) {
        let Some(version) = version else { return };
        let id = &self.requests[&(index, call)];
        let is_good = self.catalog.is_good(&version, id, self.elapsed_seconds());
        self.outcome.good += u64::from(is_good);
        if self.elapsed_seconds() >= DEGRADATION_S {
            *self
                .outcome
                .after_degradation
                .entry(version.clone())
                .or_default() += 1;
        }
        *self.outcome.by_version.entry(version).or_default() += 1;
    }

    fn rate_answer(&mut self, index: usize, call: CallId, version: &Arc<str>) {
        let id = &self.requests[&(index, call)];
        let good = Some(self.catalog.is_good(version, id, self.elapsed_seconds()));
        self.outcome.cost += self.rating_cost;
        self.outcome.ratings += 1;
        let rated = self.rated.entry(version.clone()).or_default();
        *rated += 1;
        if *rated == FIXED_SAMPLE {
            let answers = self.outcome.by_version.get(version).copied();
            let at_fixed_sample = &mut self.outcome.at_fixed_sample;
            at_fixed_sample.insert(version.clone(), answers.unwrap_or_default());
        }
        let event = Event::Rated { call, good };
        self.schedule(Duration::from_millis(300), Job::Deliver(index, event));
    }

    fn append(&mut self, stream: Stream, record: Record) {
        if matches!(record, Record::Hold { .. }) && self.outcome.held_at.is_none() {
            self.outcome.held_at = Some(self.now.instant - self.start);
        }
        let records = self.log.entry(stream).or_default();
        records.push((self.now.system, record));
    }

    fn answer_reads(&mut self, index: usize) {
        for stream in Stream::ALL {
            let Some(from) = self.reads.swap_remove(&(index, stream)) else {
                continue;
            };
            let log = self.log.entry(stream).or_default();
            let entries = log.iter().enumerate().skip(from as usize);
            let entries: Vec<LogEntry> = entries
                .map(|(offset, (at, record))| LogEntry {
                    offset: offset as u64,
                    at: *at,
                    record: Some(record.clone()),
                })
                .collect();
            let page = Page {
                stream,
                requested_at: self.now.instant,
                from,
                oldest: 0,
                next: log.len() as u64,
                entries,
            };
            self.deliver(index, Event::Read(page));
        }
    }

    fn vms(&self) -> Vec<Vm> {
        let vm = |id: String, kind, pool: &str, address: Arc<str>| Vm {
            id: id.into(),
            kind,
            pool: pool.into(),
            zone: "a".into(),
            address,
            state: VmState::Live,
        };
        let engine = |index| {
            let id = format!("eng-{index}");
            vm(
                id,
                VmKind::Upstream,
                "drafting",
                format!("10.0.1.{index}:1").into(),
            )
        };
        let entry = |index| {
            let id = format!("entry-{index}");
            vm(id, VmKind::Entry, "", format!("10.0.0.{index}:1").into())
        };
        let entries = (0..self.entries.len()).map(entry);
        (0..ENGINES).map(engine).chain(entries).collect()
    }

    fn load(&self) -> Load {
        let versions = self.catalog.versions.iter();
        Load {
            at: self.now.system,
            boot: "b1".into(),
            uptime: Duration::from_secs(3_600),
            running: 0,
            waiting: 0,
            slots: 1_000,
            kv_used: 0.0,
            versions: versions.map(|version| version.id.into()).collect(),
        }
    }
}
