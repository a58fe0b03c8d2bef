//! A simulated fleet of entries in one process. A queue of timed jobs drives the clock, without threads or sleeps.

mod answer;
mod caller;
mod fault;
pub(crate) mod invariant;
mod journal;
mod log;
mod network;
mod node;
mod ratings;
mod rules;
mod upstream;

pub(crate) use caller::{CallSpec, Operation, Outcome};
pub(crate) use fault::{Fault, Step};
pub(crate) use journal::{Applied, Dispatch, Hold, Journal};

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::id::{Address, UpstreamId};
use comfreyroad::mechanism::Mechanism;
use comfreyroad::settings::Settings;
use fastrand::Rng;
use indexmap::IndexMap;

use caller::Call;
use fault::Injection;
use log::Log;
use network::Network;
use node::Node;
use ratings::Ratings;
use rules::Plan;
use upstream::Upstream;

/// Interval of an entry's timer event.
const TICK: Duration = Duration::from_millis(100);
/// Availability zones of the fleet.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of entries in the fleet.
pub(crate) const ENTRIES: usize = 4;
/// Default seed, used if `COMFREYROAD_SEED` is not set.
const DEFAULT_SEED: u64 = 20_261_204;

/// An action that is scheduled for a time.
type Job = Box<dyn FnOnce(&mut Bench)>;

/// The simulated fleet with its log, network, rating service, upstreams and callers.
pub(crate) struct Bench {
    pub(crate) now: Now,
    pub(crate) rng: Rng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) log: Log,
    pub(crate) network: Network,
    pub(crate) ratings: Ratings,
    pub(crate) upstreams: IndexMap<UpstreamId, Upstream>,
    pub(crate) calls: Vec<Call>,
    pub(crate) journal: Journal,
    pub(crate) injected_at: Option<Instant>,
    plan: Plan,
    injection: Option<Injection>,
    queue: BTreeMap<(Instant, u64), Job>,
    sequence: u64,
}

/// Returns the seed of this run, from `COMFREYROAD_SEED` or the default.
pub(crate) fn seed() -> u64 {
    let word = std::env::var("COMFREYROAD_SEED").ok();
    word.and_then(|word| word.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

impl Bench {
    /// Creates a fleet whose first rules are published and whose entries have just started.
    pub(crate) fn new(seed: u64) -> Self {
        Self::with(seed, |_| {})
    }

    /// Creates a fleet with changed settings for every entry.
    pub(crate) fn with(seed: u64, change: impl Fn(&mut Settings)) -> Self {
        // The only read of the real clock; all later times are offsets from it.
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
            network: Network::default(),
            ratings: Ratings::default(),
            upstreams: upstream::fleet(now.instant),
            calls: Vec::new(),
            journal: Journal::default(),
            injected_at: None,
            plan: Plan::default(),
            injection: None,
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

    /// Creates a fleet with one mechanism disabled in every entry.
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

    /// Schedules a job.
    pub(crate) fn after(&mut self, wait: Duration, job: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        let at = self.now.instant + wait;
        self.queue.insert((at, self.sequence), Box::new(job));
    }

    /// Advances the clock and runs the jobs that become due.
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

    /// Draws a one-way network latency.
    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(800..1_600))
    }
}
