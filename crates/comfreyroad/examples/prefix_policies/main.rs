//! Compares the time to the first token of policies that choose an engine for the next request of a session: at random,
//! by the hash of the session, by an index of cache events, and with KV cache fetched from another engine if the number
//! of matched tokens exceeds a threshold.
//!
//! `cargo run --release -p comfreyroad --example prefix_policies`

mod engine;
mod index;

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use engine::{Engine, PREFILL_TOKENS_PER_S};
use index::Index;

/// Number of engines.
const ENGINES: usize = 12;
/// Number of answers that an engine runs concurrently.
const SLOTS: f64 = 32.0;
/// Number of concurrent sessions.
const SESSIONS: usize = 400;
/// Number of requests in a run.
const REQUESTS: usize = 40_000;
/// Number of tokens that each request adds to its session.
const TOKENS_PER_TURN: u32 = 900;
/// Number of requests in a session.
const TURNS: u32 = 8;
/// Delay of cache events, in seconds.
const EVENT_DELAY_S: f64 = 2.0;
/// Percentage of cache events that are lost.
const LOST_EVENTS_PERCENT: u32 = 5;
/// Fixed part of the time of a KV cache fetch, in seconds.
const FETCH_OVERHEAD_S: f64 = 0.03;
/// Throughput of a KV cache fetch, in tokens per second.
const FETCH_TOKENS_PER_S: f64 = 60_000.0;
/// Seeds of the runs.
const SEEDS: std::ops::Range<u64> = 1..6;

#[derive(Clone, Copy)]
enum Choice {
    Random,
    Hash,
    Index,
}

#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    choice: Choice,
    /// Number of additional matched tokens above which KV cache is fetched.
    fetch_threshold: Option<u32>,
}

struct Simulation {
    engines: Vec<Engine>,
    index: Index,
    rng: Rng,
    policy: Policy,
    prefilled: u64,
    requested: u64,
    fetches: u64,
}

fn main() {
    let policy = |name, choice, fetch_threshold| Policy {
        name,
        choice,
        fetch_threshold,
    };
    let policies = [
        policy("two at random", Choice::Random, None),
        policy("two by hash", Choice::Hash, None),
        policy("index", Choice::Index, None),
        policy("random, fetch above 0", Choice::Random, Some(0)),
        policy("random, fetch above 1024", Choice::Random, Some(1_024)),
        policy("random, fetch above 4096", Choice::Random, Some(4_096)),
        policy("hash, fetch above 0", Choice::Hash, Some(0)),
        policy("hash, fetch above 1024", Choice::Hash, Some(1_024)),
        policy("index, fetch above 1024", Choice::Index, Some(1_024)),
    ];
    for rate in [8.0, 16.0, 20.0] {
        println!(
            "{rate} requests/s, {ENGINES} engines, mean of {} seeds",
            SEEDS.count()
        );
        println!(
            "{:28}{:>10}{:>10}{:>14}{:>10}",
            "policy", "mean ms", "p95 ms", "prefilled", "fetches"
        );
        for policy in policies {
            let rows: Vec<[f64; 4]> = SEEDS.map(|seed| run(policy, rate, seed)).collect();
            let mean =
                |column: usize| rows.iter().map(|row| row[column]).sum::<f64>() / rows.len() as f64;
            println!(
                "{:28}{:>10.0}{:>10.0}{:>14.3}{:>10.3}",
                policy.name,
                mean(0),
                mean(1),
                mean(2),
                mean(3)
            );
        }
    }
}

/// Returns the mean and the 95th percentile of the time to the first token in milliseconds, the fraction of prompt
/// tokens that are prefilled, and the number of fetches per request.
fn run(policy: Policy, rate: f64, seed: u64) -> [f64; 4] {
    let mut simulation = Simulation {
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        index: Index::default(),
        rng: Rng::with_seed(seed),
        policy,
        prefilled: 0,
        requested: 0,
        fetches: 0,
    };
    let mut sessions: Vec<(u64, u32)> = (0..SESSIONS as u64).map(|session| (session, 0)).collect();
    let mut last_session = SESSIONS as u64;
    let (mut now, mut times) = (0.0, Vec::new());
    for _ in 0..REQUESTS {
        now += -simulation.rng.f64().max(1e-12).ln() / rate;
        let index = simulation.rng.usize(..SESSIONS);
        let (session, turns) = sessions[index];
        times.push(simulation.handle_request(now, session, turns) * 1_000.0);
        sessions[index].1 += 1;
        if turns + 1 == TURNS {
            last_session += 1;
            sessions[index] = (last_session, 0);
        }
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    times.sort_by(f64::total_cmp);
    let p95 = times[times.len() * 95 / 100];
    let count = times.len() as f64;
    [
        mean,
        p95,
        simulation.prefilled as f64 / simulation.requested as f64,
        simulation.fetches as f64 / count,
    ]
}

impl Simulation {
    fn handle_request(&mut self, now: f64, session: u64, turns: u32) -> f64 {
        self.index.apply_due(now);
        let (prefix, prompt) = (turns * TOKENS_PER_TURN, (turns + 1) * TOKENS_PER_TURN);
        let engine = self.choose_engine(now, session, prefix);
        let mut cached = self.engines[engine].cached_tokens(session);
        let mut fetch_s = 0.0;
        if let Some(threshold) = self.policy.fetch_threshold {
            let holder = (0..ENGINES).max_by_key(|other| self.index.tokens(*other, session));
            let holder = holder.filter(|other| *other != engine);
            if let Some(holder) = holder
                && self.index.tokens(holder, session) > cached + threshold
            {
                self.fetches += 1;
                let fetched = self.engines[holder].cached_tokens(session);
                fetch_s = FETCH_OVERHEAD_S + f64::from(fetched) / FETCH_TOKENS_PER_S;
                cached = cached.max(fetched);
            }
        }
        let uncached = prompt - cached.min(prefix);
        self.prefilled += u64::from(uncached);
        self.requested += u64::from(prompt);
        let first_token_s = self.engines[engine].prefill(now, uncached, fetch_s);
        let evicted = self.engines[engine].store(session, prompt);
        self.publish(now, engine, session, prompt);
        evicted
            .into_iter()
            .for_each(|evicted| self.publish(now, engine, evicted, 0));
        first_token_s
    }

    fn publish(&mut self, now: f64, engine: usize, session: u64, tokens: u32) {
        if self.rng.u32(..100) >= LOST_EVENTS_PERCENT {
            self.index
                .publish(now + EVENT_DELAY_S, engine, session, tokens);
        }
    }

    fn choose_engine(&mut self, now: f64, session: u64, prefix: u32) -> usize {
        let (first, second) = match self.policy.choice {
            Choice::Hash => candidates_by_hash(session),
            _ => (self.rng.usize(..ENGINES), self.rng.usize(..ENGINES)),
        };
        if matches!(self.policy.choice, Choice::Index) {
            let holder = (0..ENGINES).max_by_key(|engine| self.index.tokens(*engine, session));
            let candidates = [Some(first), Some(second), holder];
            let cost = |engine: &usize| {
                let saved = self.index.tokens(*engine, session).min(prefix);
                let load = self.engines[*engine].running(now) as f64 / SLOTS;
                self.engines[*engine].backlog(now) + load - f64::from(saved) / PREFILL_TOKENS_PER_S
            };
            let best = candidates
                .into_iter()
                .flatten()
                .min_by(|a, b| cost(a).total_cmp(&cost(b)));
            return best.unwrap_or(first);
        }
        let load = |engine: usize| {
            self.engines[engine].running(now) as f64 / SLOTS + self.engines[engine].backlog(now)
        };
        // The first engine by hash is preferred unless the second one has a clearly lower load, to keep cache hits.
        let handicap = if matches!(self.policy.choice, Choice::Hash) {
            0.5
        } else {
            0.0
        };
        if load(second) + handicap < load(first) {
            second
        } else {
            first
        }
    }
}

/// Returns the two engines with the lowest hash for a session.
fn candidates_by_hash(session: u64) -> (usize, usize) {
    let mut engines: Vec<usize> = (0..ENGINES).collect();
    engines.sort_by_key(|engine| xxh3_64_with_seed(&session.to_le_bytes(), *engine as u64));
    (engines[0], engines[1])
}
