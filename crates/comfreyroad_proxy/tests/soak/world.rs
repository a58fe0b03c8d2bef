//! A fleet with its surroundings, and the course of a run.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::calendar::{Calendar, Scope};
use super::caller::{self, Callers, Kind};
use super::engine::{Engine, Runs};
use super::entry::{Addresses, Entry, GRACE};
use super::fault::{Fault, LEAVING};
use super::link::{Link, Mode};
use super::promise::{APPLY, Evidence};
use super::store::Store;

const ENTRIES: usize = 4;
const ENGINES: usize = 4;
const CALLERS: u64 = 8;
/// Time in which faults begin.
const FAULTS: Duration = Duration::from_secs(12);
/// Time for everything to be well again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(50);

/// What is to be done later.
#[derive(Clone, Copy, Debug)]
enum Later {
    MendStore(usize),
    MendEngine(usize),
    RestartEngine(usize),
    Resume(usize),
    Spawn(usize),
    /// All entries have a configuration by then.
    Probe(u64, Instant),
}

/// A fleet with its surroundings.
#[derive(Debug)]
pub(super) struct World {
    rng: Rng,
    store: Store,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    callers: Callers,
    runs: Runs,
    calendar: Calendar,
    version: u64,
    later: Vec<(Instant, Later)>,
    drains: Vec<(usize, Instant, Instant)>,
    terms: Vec<(usize, Instant)>,
    broken: Vec<String>,
    folder: PathBuf,
}

impl World {
    pub(super) fn start(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let folder =
            std::env::temp_dir().join(format!("comfreyroad-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (store, address) = Store::start();
        let runs = Runs::default();
        let engine = |number| Engine::start(number, store.clone(), runs.clone(), rng.u64(..));
        let engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
        let addresses: Vec<Addresses> = (0..ENTRIES).map(|_| Addresses::free()).collect();
        let seeds: Vec<_> = addresses.iter().take(3).map(|it| it.control).collect();
        let entry = |(number, own): (usize, &Addresses)| {
            Entry::start(number, *own, &seeds, Link::to(address), &folder)
        };
        let entries: Vec<Entry> = addresses.iter().enumerate().map(entry).collect();
        let callers = Callers::new(entries.iter().map(|it| it.front).collect());
        let mut world = Self {
            rng,
            store,
            engines,
            entries,
            callers,
            runs,
            calendar: Calendar::default(),
            version: 0,
            later: Vec::new(),
            drains: Vec::new(),
            terms: Vec::new(),
            broken: Vec::new(),
            folder,
        };
        world.configure();
        world.later.clear();
        world.wait("start");
        world
    }

    /// Plays faults, then waits for the recovery. Returns what is broken.
    pub(super) fn play(mut self) -> Vec<String> {
        let threads = self.call();
        let ends = Instant::now() + FAULTS;
        while Instant::now() < ends {
            let fault = Fault::draw(&mut self.rng, ENTRIES, ENGINES);
            println!("{fault:?}");
            self.begin(fault);
            let pause = Duration::from_millis(self.rng.u64(100..1500));
            self.pass(Instant::now() + pause);
        }
        while let Some(last) = self.later.iter().map(|(at, _)| *at).max() {
            self.pass(last + STEP);
        }
        self.recover();
        self.callers.is_over.store(true, Ordering::Relaxed);
        for thread in threads {
            thread.join().unwrap();
        }
        let evidence = Evidence {
            outcomes: self.callers.outcomes.lock().unwrap().clone(),
            runs: self.runs.lock().unwrap().clone(),
            calendar: self.calendar.clone(),
            drains: std::mem::take(&mut self.drains),
            terms: std::mem::take(&mut self.terms),
        };
        let good = evidence.outcomes.iter().filter(|it| it.status() == 200);
        println!("{} of {} served", good.count(), evidence.outcomes.len());
        self.broken.extend(evidence.broken());
        if self.broken.is_empty() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            self.broken
                .push(format!("logs in {}", self.folder.display()));
        }
        std::mem::take(&mut self.broken)
    }

    fn call(&mut self) -> Vec<JoinHandle<()>> {
        let caller = |_| {
            let (callers, seed) = (self.callers.clone(), self.rng.u64(..));
            std::thread::spawn(move || callers.run(seed))
        };
        (0..CALLERS).map(caller).collect()
    }

    /// Lets time pass, and does what is due.
    fn pass(&mut self, until: Instant) {
        // What was due is done also where a step before took longer than planned.
        loop {
            std::thread::sleep(STEP);
            let now = Instant::now();
            let (due, later) = self.later.drain(..).partition(|(at, _)| *at <= now);
            self.later = later;
            let due: Vec<(Instant, Later)> = due;
            due.into_iter().for_each(|(_, it)| self.finish(it));
            if now >= until {
                return;
            }
        }
    }

    fn after(&mut self, time: Duration, what: Later) {
        self.later.push((Instant::now() + time, what));
    }

    fn begin(&mut self, fault: Fault) {
        let entry = |number| Scope::Entry(number);
        match fault {
            Fault::Store(number, mode, lasts) => {
                self.calendar.add(entry(number), lasts);
                self.entries[number].store.set(mode);
                self.after(lasts, Later::MendStore(number));
            }
            Fault::StoreSilence(number) => {
                self.calendar.add(entry(number), Duration::ZERO);
                self.entries[number].store.silence();
            }
            Fault::Engine(number, mode, lasts) => {
                self.calendar.add(Scope::All, lasts);
                self.engines[number].link.set(mode);
                self.after(lasts, Later::MendEngine(number));
            }
            Fault::EngineSilence(number) => {
                self.calendar.add(Scope::All, Duration::ZERO);
                self.engines[number].link.silence();
            }
            Fault::Crash(number, lasts) => {
                self.calendar.add(Scope::All, lasts);
                self.engines[number].crash();
                self.after(lasts, Later::RestartEngine(number));
            }
            Fault::Drain(number) => {
                self.engines[number].drain();
                let now = Instant::now();
                self.drains.push((number, now, now + LEAVING));
                self.after(LEAVING, Later::RestartEngine(number));
            }
            Fault::Pause(number, lasts) => {
                self.calendar.add(entry(number), lasts);
                self.entries[number].signal("-STOP");
                self.after(lasts, Later::Resume(number));
            }
            Fault::Kill(number) => {
                let lasts = Duration::from_millis(300);
                self.calendar.add(entry(number), lasts);
                self.entries[number].kill();
                self.after(lasts, Later::Spawn(number));
            }
            Fault::Shutdown(number) => {
                let lasts = Duration::from_secs(GRACE);
                // The calendar takes the same moment, or a later one.
                self.terms.push((number, Instant::now()));
                self.calendar.add(entry(number), lasts);
                self.entries[number].signal("-TERM");
                self.after(lasts, Later::Spawn(number));
            }
            Fault::Reload(number) => self.entries[number].signal("-HUP"),
            Fault::Configure => self.configure(),
        }
    }

    fn finish(&mut self, later: Later) {
        match later {
            Later::MendStore(number) => self.entries[number].store.set(Mode::Pass),
            Later::MendEngine(number) => self.engines[number].link.set(Mode::Pass),
            Later::RestartEngine(number) => self.engines[number].restart(),
            Later::Resume(number) => self.entries[number].signal("-CONT"),
            Later::Spawn(number) => {
                self.entries[number].signal("-CONT");
                self.entries[number].reap(Duration::from_secs(1));
                self.entries[number].spawn();
                self.calendar
                    .add(Scope::Entry(number), Duration::from_millis(500));
            }
            Later::Probe(version, published) => self.probe(version, published),
        }
    }

    /// Publishes a configuration with a route that only it has.
    fn configure(&mut self) {
        self.version += 1;
        let version = self.version;
        let text = CONFIG.replace("VERSION", &version.to_string());
        self.store.put("keyed.op", "config", &text);
        let published = Instant::now();
        self.after(APPLY, Later::Probe(version, published));
    }

    /// Undisturbed entries know a configuration, unless there is a newer one.
    fn probe(&mut self, version: u64, published: Instant) {
        if version != self.version {
            return;
        }
        for (number, entry) in self.entries.iter().enumerate() {
            let status = caller::status(entry.front, &format!("/v{version}/x"));
            let is_calm = self.calendar.is_calm(number, published, Instant::now());
            if is_calm && status == Some(404) {
                let since = published.elapsed();
                let broken = format!("e{number} lacks configuration {version} after {since:?}");
                self.broken.push(broken);
            }
        }
    }

    /// With all faults over, every entry serves every kind of request within a time.
    fn recover(&mut self) {
        self.wait("recovery");
        for number in 0..ENTRIES {
            for kind in [Kind::Once, Kind::Again, Kind::Events] {
                let until = Instant::now() + RECOVERY;
                let callers = self.callers.clone();
                let ask = || {
                    let mut stream = caller::connect(callers.fronts[number])?;
                    Some(callers.ask(&mut stream, number, kind).status())
                };
                while ask() != Some(200) {
                    if Instant::now() > until {
                        self.broken
                            .push(format!("e{number} does not serve {kind:?}"));
                        break;
                    }
                    std::thread::sleep(STEP);
                }
            }
        }
    }

    /// Waits until all entries are ready.
    fn wait(&mut self, what: &str) {
        let until = Instant::now() + RECOVERY;
        while !self.entries.iter().all(Entry::is_ready) {
            if Instant::now() > until {
                self.broken
                    .push(format!("not all entries are ready: {what}"));
                return;
            }
            std::thread::sleep(STEP);
        }
    }
}

/// Requests that run once, that may run again, and that go on, and a route by which a configuration is known.
const CONFIG: &str = r#"{"version":VERSION,"routes":[
 {"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":1000,
  "service":"pool","max_attempts":1},
 {"name":"again","host":"h","path_prefix":"/again/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":1000,
  "service":"pool","max_attempts":3},
 {"name":"events","host":"h","path_prefix":"/events/","kind":"streaming","timeout_ms":4000,"target_latency_ms":1000,
  "service":"pool","max_attempts":3,"resumable":true,"target_gap_ms":500},
 {"name":"v","host":"h","path_prefix":"/vVERSION/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":1000,
  "service":"pool"}],
 "services":[{"name":"pool","max_conns":200}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"customer","api_keys":["key"]}]}"#;
