//! Time to the first token by how an engine is chosen for a session's next request: at random, by the session's hash, by
//! an index of cache events, and with KV cache fetched from another engine above a threshold of matched tokens.
//!
//! `cargo run --release -p comfreyroad --example prefix_policies`

mod engine;
mod index;

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use engine::{Engine, PREFILL};
use index::Index;

/// Engines.
const ENGINES: usize = 12;
/// Answers that an engine runs at once.
const SLOTS: f64 = 32.0;
/// Sessions at a time.
const SESSIONS: usize = 400;
/// Requests of a run.
const REQUESTS: usize = 40_000;
/// Tokens that each request adds to its session.
const TURN: u32 = 900;
/// Requests of a session.
const TURNS: u32 = 8;
/// Time until an event is known, in seconds.
const LAG: f64 = 2.0;
/// Events that never come, of a hundred.
const GAPS: u32 = 5;
/// Time that a fetch takes however little it brings, in seconds.
const FETCH: f64 = 0.03;
/// Tokens that a fetch brings in a second.
const FETCHED: f64 = 60_000.0;
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
    /// Tokens above which KV cache is fetched.
    fetch: Option<u32>,
}

struct Run {
    engines: Vec<Engine>,
    index: Index,
    rng: Rng,
    policy: Policy,
    prefilled: u64,
    asked: u64,
    fetches: u64,
}

fn main() {
    let policy = |name, choice, fetch| Policy {
        name,
        choice,
        fetch,
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
            "{rate} requests a second, {ENGINES} engines, mean of {} seeds",
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

/// Mean and 95th of the time to the first token, the part of tokens prefilled, and fetches a request.
fn run(policy: Policy, rate: f64, seed: u64) -> [f64; 4] {
    let mut run = Run {
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        index: Index::default(),
        rng: Rng::with_seed(seed),
        policy,
        prefilled: 0,
        asked: 0,
        fetches: 0,
    };
    let mut sessions: Vec<(u64, u32)> = (0..SESSIONS as u64).map(|session| (session, 0)).collect();
    let mut last = SESSIONS as u64;
    let (mut now, mut times) = (0.0, Vec::new());
    for _ in 0..REQUESTS {
        now += -run.rng.f64().max(1e-12).ln() / rate;
        let at = run.rng.usize(..SESSIONS);
        let (session, turns) = sessions[at];
        times.push(run.request(now, session, turns) * 1_000.0);
        sessions[at].1 += 1;
        if turns + 1 == TURNS {
            last += 1;
            sessions[at] = (last, 0);
        }
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    times.sort_by(f64::total_cmp);
    let late = times[times.len() * 95 / 100];
    let count = times.len() as f64;
    [
        mean,
        late,
        run.prefilled as f64 / run.asked as f64,
        run.fetches as f64 / count,
    ]
}

impl Run {
    fn request(&mut self, now: f64, session: u64, turns: u32) -> f64 {
        self.index.catch_up(now);
        let (prefix, all) = (turns * TURN, (turns + 1) * TURN);
        let engine = self.choose(now, session, prefix);
        let mut has = self.engines[engine].cached(session);
        let mut extra = 0.0;
        if let Some(least) = self.policy.fetch {
            let holder = (0..ENGINES).max_by_key(|other| self.index.tokens(*other, session));
            let holder = holder.filter(|other| *other != engine);
            if let Some(holder) = holder
                && self.index.tokens(holder, session) > has + least
            {
                self.fetches += 1;
                let got = self.engines[holder].cached(session);
                extra = FETCH + f64::from(got) / FETCHED;
                has = has.max(got);
            }
        }
        let left = all - has.min(prefix);
        self.prefilled += u64::from(left);
        self.asked += u64::from(all);
        let took = self.engines[engine].prefill(now, left, extra);
        let gone = self.engines[engine].store(session, all);
        self.say(now, engine, session, all);
        gone.into_iter()
            .for_each(|gone| self.say(now, engine, gone, 0));
        took
    }

    fn say(&mut self, now: f64, engine: usize, session: u64, tokens: u32) {
        if self.rng.u32(..100) >= GAPS {
            self.index.say(now + LAG, engine, session, tokens);
        }
    }

    fn choose(&mut self, now: f64, session: u64, prefix: u32) -> usize {
        let (one, two) = match self.policy.choice {
            Choice::Hash => by_hash(session),
            _ => (self.rng.usize(..ENGINES), self.rng.usize(..ENGINES)),
        };
        if matches!(self.policy.choice, Choice::Index) {
            let holder = (0..ENGINES).max_by_key(|engine| self.index.tokens(*engine, session));
            let all = [Some(one), Some(two), holder];
            let wait = |engine: &usize| {
                let saved = self.index.tokens(*engine, session).min(prefix);
                let load = self.engines[*engine].running(now) as f64 / SLOTS;
                self.engines[*engine].backlog(now) + load - f64::from(saved) / PREFILL
            };
            let best = all
                .into_iter()
                .flatten()
                .min_by(|a, b| wait(a).total_cmp(&wait(b)));
            return best.unwrap_or(one);
        }
        let load = |engine: usize| {
            self.engines[engine].running(now) as f64 / SLOTS + self.engines[engine].backlog(now)
        };
        // The first of the hash is left only where the second has clearly less to do.
        let lead = if matches!(self.policy.choice, Choice::Hash) {
            0.5
        } else {
            0.0
        };
        if load(two) + lead < load(one) {
            two
        } else {
            one
        }
    }
}

fn by_hash(session: u64) -> (usize, usize) {
    let mut engines: Vec<usize> = (0..ENGINES).collect();
    engines.sort_by_key(|engine| xxh3_64_with_seed(&session.to_le_bytes(), *engine as u64));
    (engines[0], engines[1])
}
