//! Simulation of a fleet in one process: entries, cold upstreams and a manual clock. It is much smaller than the test
//! bench of the fault matrix, so that hundreds of entries fit: a log with one record, a VM list, load reports, frames
//! and responses. Faults occur only where a test injects them.

mod environment;
mod rules;
mod upstream;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::mechanism::Mechanism;
use comfreyroad::request::{Chat, Head, Request, Target};
use comfreyroad::upstream::{Vm, VmKind, VmState};
use comfreyroad::{Entry, Event, Settings};
use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

pub(crate) use upstream::Upstream;

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// The parameters of a fleet: its size, the disabled mechanisms, the seed and the service time.
#[derive(Clone, Debug)]
pub(crate) struct Size {
    pub(crate) zones: usize,
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) disabled: Vec<Mechanism>,
    pub(crate) seed: u64,
    /// Range of the service time of a request, in milliseconds.
    pub(crate) service: std::ops::Range<u64>,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            zones: 3,
            entries: 6,
            upstreams: 3,
            disabled: Vec::new(),
            seed: 1,
            service: 500..4_000,
        }
    }
}

/// The VM of an entry.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) entry: Option<Entry>,
    pub(crate) boot: u64,
    /// Events that arrived during a pause; `None` if the entry is not paused.
    pub(crate) deferred: Option<Vec<Event>>,
    /// Its state in the VM list; `None` if it is not listed.
    pub(crate) listed: Option<VmState>,
}

/// Counters of the simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counters {
    pub(crate) frames: u64,
    pub(crate) bytes: u64,
    /// The part of `bytes` used for heartbeats, and for digests.
    pub(crate) heartbeat_bytes: u64,
    pub(crate) digest_bytes: u64,
    pub(crate) polls: u64,
    pub(crate) busy: Duration,
}

/// Requests sent to a cold upstream beyond its capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Overloads {
    pub(crate) count: u32,
    /// The worst one: running requests and capacity.
    pub(crate) worst: Option<(u32, u32)>,
}

/// A simulated fleet.
pub(crate) struct Fleet {
    pub(crate) now: Now,
    pub(crate) nodes: Vec<Node>,
    pub(crate) upstreams: IndexMap<Arc<str>, Upstream>,
    /// Directed links (from, to) on which frames are lost.
    pub(crate) cut_links: IndexSet<(usize, usize)>,
    pub(crate) counters: Counters,
    pub(crate) is_list_down: bool,
    /// Whether the sizes of frames are counted.
    pub(crate) is_measured: bool,
    /// Requests that exceeded the capacity of a cold upstream.
    pub(crate) overloads: Overloads,
    size: Size,
    rng: Rng,
    text: Arc<str>,
    queue: BTreeMap<(Instant, u64), (usize, u64, Event)>,
    sequence: u64,
}

impl Fleet {
    /// A fleet whose entries have just started.
    pub(crate) fn new(size: Size) -> Self {
        let entries = size.entries;
        // The only use of a real clock for simulated time.
        let now = Now {
            instant: Instant::now() + Duration::from_secs(100_000),
            system: SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_000),
        };
        let mut fleet = Self {
            now,
            nodes: Vec::new(),
            upstreams: upstream::all(&size, now),
            cut_links: IndexSet::new(),
            counters: Counters::default(),
            is_list_down: false,
            is_measured: false,
            overloads: Overloads::default(),
            rng: Rng::with_seed(size.seed),
            text: rules::text(size.zones).into(),
            queue: BTreeMap::new(),
            sequence: 0,
            size,
        };
        for _ in 0..entries {
            fleet.join();
        }
        fleet
    }

    /// Adds an entry, which is listed immediately.
    pub(crate) fn join(&mut self) -> usize {
        let index = self.nodes.len();
        let address = |index: usize| format!("10.0.{}.{}:80", index / 250, index % 250).into();
        let settings = Settings {
            entry: format!("entry-{index}").into(),
            zone: zone(index % self.size.zones),
            address: address(index),
            peers: (0..index.min(3)).map(address).collect(),
            seed: self.rng.u64(..),
            disabled: self.size.disabled.clone(),
            ..Settings::default()
        };
        self.nodes.push(Node {
            settings,
            entry: None,
            boot: 0,
            deferred: None,
            listed: Some(VmState::Live),
        });
        self.start(index);
        index
    }

    /// Starts an entry that is down, with empty state.
    pub(crate) fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.entry.is_some() {
            return;
        }
        node.boot += 1;
        node.listed = Some(VmState::Live);
        node.settings.boot = format!("boot-{}", node.boot).into();
        node.entry = Some(Entry::new(&node.settings));
        let boot = node.boot;
        self.deliver(index, boot, Event::Started);
        let offset = Duration::from_micros(self.rng.u64(..100_000));
        self.schedule(index, boot, offset, Event::Tick);
    }

    /// Kills an entry immediately. Requests that it has sent continue to run at the upstreams.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].entry = None;
        self.nodes[index].deferred = None;
    }

    /// Requests a graceful shutdown of an entry.
    pub(crate) fn shut_down(&mut self, index: usize) {
        let boot = self.nodes[index].boot;
        self.deliver(index, boot, Event::Shutdown);
    }

    /// The number of open calls at an entry, or `None` if it is down or paused.
    pub(crate) fn calls(&self, index: usize) -> Option<usize> {
        let node = &self.nodes[index];
        let entry = node.entry.as_ref().filter(|_| node.deferred.is_none());
        entry.map(|entry| entry.dispatcher().calls())
    }

    /// The total number of requests that an upstream has received.
    pub(crate) fn received(&self, upstream: &str) -> u64 {
        self.upstreams
            .get(upstream)
            .map_or(0, |upstream| upstream.received)
    }

    pub(crate) fn pause(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.entry.is_some() {
            node.deferred.get_or_insert_default();
        }
    }

    pub(crate) fn resume(&mut self, index: usize) {
        let boot = self.nodes[index].boot;
        for event in self.nodes[index].deferred.take().unwrap_or_default() {
            self.deliver(index, boot, event);
        }
    }

    /// Submits a chat request to an entry.
    pub(crate) fn call(&mut self, index: usize, deadline: Duration) {
        self.sequence += 1;
        let head = Head {
            call: self.sequence,
            id: format!("request-{}", self.sequence).into(),
            key: [1; 32],
            session: None,
            received: self.now.instant,
            deadline: self.now.instant + deadline,
            attempt: 1,
            may_repeat: Some(true),
            target: Target::Chat(Chat {
                model: "mona@1".into(),
                stream: true,
                max_tokens: 10,
                prompt_tokens: 10,
                prefix: 1,
            }),
            body: Arc::from([]),
        };
        let boot = self.nodes[index].boot;
        self.deliver(index, boot, Event::Call(Box::new(Request::new(head))));
    }

    /// Processes events until this much simulated time has passed.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now.instant + time;
        while let Some(next) = self.queue.first_entry() {
            let (at, _) = *next.key();
            if at > until {
                break;
            }
            let (index, boot, event) = next.remove();
            self.set_clock(at);
            self.expire();
            self.deliver(index, boot, event);
        }
        self.set_clock(until);
        self.expire();
    }

    fn set_clock(&mut self, at: Instant) {
        self.now.system += at - self.now.instant;
        self.now.instant = at;
    }

    /// Schedules an event for one incarnation of an entry; it is dropped if the entry restarts before.
    pub(crate) fn schedule(&mut self, index: usize, boot: u64, wait: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now.instant + wait;
        self.queue.insert((at, self.sequence), (index, boot, event));
    }

    fn deliver(&mut self, index: usize, boot: u64, event: Event) {
        let node = &mut self.nodes[index];
        if node.boot != boot {
            return;
        }
        let is_tick = matches!(event, Event::Tick);
        let Some(entry) = &mut node.entry else { return };
        if let Some(deferred) = &mut node.deferred {
            if !is_tick {
                deferred.push(event);
            }
        } else {
            let began = Instant::now();
            let actions = entry.handle(self.now, event);
            self.counters.busy += began.elapsed();
            for action in actions {
                self.perform(index, boot, action);
            }
        }
        if is_tick {
            self.schedule(index, boot, TICK, Event::Tick);
        }
    }

    /// The VM list as the platform returns it.
    fn list(&self) -> Vec<Vm> {
        let entry = |node: &Node| {
            Some(Vm {
                id: node.settings.entry.clone(),
                kind: VmKind::Entry,
                pool: "".into(),
                zone: node.settings.zone.clone(),
                address: node.settings.address.clone(),
                state: node.listed?,
            })
        };
        let entries = self.nodes.iter().filter_map(entry);
        entries
            .chain(self.upstreams.values().filter_map(Upstream::vm))
            .collect()
    }

    /// Entries that run and are not paused.
    pub(crate) fn live(&self) -> impl Iterator<Item = (usize, &Entry)> {
        let nodes = self.nodes.iter().enumerate();
        let live = nodes.filter(|(_, node)| node.deferred.is_none());
        live.filter_map(|(index, node)| Some((index, node.entry.as_ref()?)))
    }

    /// Slots of an upstream that several entries may use now, with the indices of these entries.
    pub(crate) fn shared_slots(&self, upstream: &str) -> Vec<(u32, Vec<usize>)> {
        let mut users: IndexMap<u32, Vec<usize>> = IndexMap::new();
        for (index, entry) in self.live() {
            for slot in entry.state().upstreams.usable_slots(self.now, upstream) {
                users.entry(slot).or_default().push(index);
            }
        }
        users.retain(|_, users| users.len() > 1);
        users.into_iter().collect()
    }
}

fn zone(index: usize) -> Arc<str> {
    format!("zone-{index}").into()
}
