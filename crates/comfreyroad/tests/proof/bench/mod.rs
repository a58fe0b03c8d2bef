//! A fleet of entries in one process: no threads, no sleeps, and a clock that moves from one job to the next.

mod answer;
mod caller;
mod fault;
mod journal;
mod log;
mod node;
pub(crate) mod promise;
mod ratings;
mod rules;
mod upstream;
mod wire;

pub(crate) use caller::{Ask, CallSpec, Outcome};
pub(crate) use fault::{Fault, Step};
pub(crate) use journal::{Enacted, Hold, Journal, Sending};

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::id::{Address, UpstreamId};
use comfreyroad::mechanism::Mechanism;
use comfreyroad::settings::Settings;
use fastrand::Rng;
use indexmap::IndexMap;

use caller::Call;
use fault::Armed;
use log::Log;
use node::Node;
use ratings::Ratings;
use rules::Plan;
use upstream::Upstream;
use wire::Wire;

/// Time between two ticks of an entry.
const TICK: Duration = Duration::from_millis(100);
/// Availability zones.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Entries.
pub(crate) const ENTRIES: usize = 4;
/// The seed where the environment names none.
const SEED: u64 = 20_261_204;

/// Something to be done at a time.
type Job = Box<dyn FnOnce(&mut Bench)>;

/// The fleet and everything around it.
pub(crate) struct Bench {
    pub(crate) now: Now,
    pub(crate) rng: Rng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) log: Log,
    pub(crate) wire: Wire,
    pub(crate) ratings: Ratings,
    pub(crate) upstreams: IndexMap<UpstreamId, Upstream>,
    pub(crate) calls: Vec<Call>,
    pub(crate) journal: Journal,
    pub(crate) struck: Option<Instant>,
    plan: Plan,
    armed: Option<Armed>,
    queue: BTreeMap<(Instant, u64), Job>,
    sequence: u64,
}

/// The seed of this run, from the environment.
pub(crate) fn seed() -> u64 {
    let word = std::env::var("COMFREYROAD_SEED").ok();
    word.and_then(|word| word.parse().ok()).unwrap_or(SEED)
}

impl Bench {
    /// A fleet whose first rules are published and whose entries have just started.
    pub(crate) fn new(seed: u64) -> Self {
        Self::with(seed, |_| {})
    }

    /// The same with other settings for the entries.
    pub(crate) fn with(seed: u64, change: impl Fn(&mut Settings)) -> Self {
        // The one reading of a real clock; everything after is counted from here.
        let base = Instant::now() + Duration::from_secs(1_000);
        let now = Now {
            instant: base,
            system: SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_000),
        };
        let mut bench = Self {
            now,
            rng: Rng::with_seed(seed),
            nodes: Vec::new(),
            log: Log::default(),
            wire: Wire::default(),
            ratings: Ratings::default(),
            upstreams: upstream::fleet(now.instant),
            calls: Vec::new(),
            journal: Journal::default(),
            struck: None,
            plan: Plan::default(),
            armed: None,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        bench.edit("mona", |_| {});
        for index in 0..ENTRIES {
            let mut settings = bench.settings(index);
            change(&mut settings);
            bench.nodes.push(Node::new(settings));
            bench.start(index);
        }
        bench
    }

    /// The same with a mechanism switched off.
    pub(crate) fn without(seed: u64, mechanism: Mechanism) -> Self {
        Self::with(seed, |settings| settings.disabled.push(mechanism))
    }

    fn settings(&mut self, index: usize) -> Settings {
        let address = |index: usize| -> Address { format!("10.0.0.{index}:8080").into() };
        Settings {
            entry: format!("entry-{index}").into(),
            zone: ZONES[index % ZONES.len()].into(),
            address: address(index),
            peers: (0..ENTRIES).filter(|i| *i != index).map(address).collect(),
            seed: self.rng.u64(..),
            ..Settings::default()
        }
    }

    /// Does something later.
    pub(crate) fn after(&mut self, wait: Duration, job: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        let at = self.now.instant + wait;
        self.queue.insert((at, self.sequence), Box::new(job));
    }

    /// Lets time pass, and does what falls due in it.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now.instant + time;
        while let Some(next) = self.queue.first_entry() {
            let (at, _) = *next.key();
            if at > until {
                break;
            }
            let job = next.remove();
            self.set_clock(at);
            job(self);
        }
        self.set_clock(until);
    }

    fn set_clock(&mut self, at: Instant) {
        self.now.system += at - self.now.instant;
        self.now.instant = at;
    }

    /// A latency between two machines.
    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(800..1_600))
    }
}
