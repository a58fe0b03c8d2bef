//! A cluster of entries with fake engines, a fake store and callers, and the course of a run.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::caller::{self, Callers, Kind};
use super::disturbances::{Disturbances, Scope};
use super::engine::{Engine, Runs};
use super::entry::{Entry, GRACE_S, Ports};
use super::fault::{DRAIN_DURATION, Fault};
use super::invariants::{CONFIGURATION_TIMEOUT, Observations};
use super::link::{Link, Mode};
use super::store::Store;

const ENTRIES: usize = 4;
const ENGINES: usize = 4;
const CALLERS: u64 = 8;
/// Duration of the phase in which faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(12);
/// Time for the cluster to recover after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval of checks for conditions and due actions.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An action scheduled for a later time.
#[derive(Clone, Copy, Debug)]
enum Action {
    RestoreStoreLink(usize),
    RestoreEngineLink(usize),
    RestartEngine(usize),
    ResumeEntry(usize),
    StartEntry(usize),
    /// Checks that all entries apply a configuration.
    CheckApplied(u64, Instant),
}

/// A cluster of entries with fake engines, a fake store and callers.
#[derive(Debug)]
pub(super) struct Cluster {
    rng: Rng,
    store: Store,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    callers: Callers,
    runs: Runs,
    disturbances: Disturbances,
    configuration_version: u64,
    scheduled: Vec<(Instant, Action)>,
    drains: Vec<(usize, Instant, Instant)>,
    shutdowns: Vec<(usize, Instant)>,
    violations: Vec<String>,
    folder: PathBuf,
}

impl Cluster {
    pub(super) fn start(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let folder =
            std::env::temp_dir().join(format!("comfreyroad-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (store, address) = Store::start();
        let runs = Runs::default();
        let engine = |number| Engine::start(number, store.clone(), runs.clone(), rng.u64(..));
        let engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
        let ports: Vec<Ports> = (0..ENTRIES).map(|_| Ports::acquire()).collect();
        let seeds: Vec<_> = ports.iter().take(3).map(|it| it.control.address).collect();
        let entry =
            |(number, ports)| Entry::start(number, ports, &seeds, Link::to(address), &folder);
        let entries: Vec<Entry> = ports.into_iter().enumerate().map(entry).collect();
        let callers = Callers::new(entries.iter().map(|it| it.ports.front.address).collect());
        let mut cluster = Self {
            rng,
            store,
            engines,
            entries,
            callers,
            runs,
            disturbances: Disturbances::default(),
            configuration_version: 0,
            scheduled: Vec::new(),
            drains: Vec::new(),
            shutdowns: Vec::new(),
            violations: Vec::new(),
            folder,
        };
        cluster.publish_configuration();
        cluster.scheduled.clear();
        cluster.wait_until_ready("start");
        cluster
    }

    /// Injects faults, then waits for the recovery. Returns the violations of invariants.
    pub(super) fn run(mut self) -> Vec<String> {
        let threads = self.start_callers();
        let end = Instant::now() + FAULT_PHASE;
        while Instant::now() < end {
            let fault = Fault::random(&mut self.rng, ENTRIES, ENGINES);
            println!("{fault:?}");
            self.inject(fault);
            let pause = Duration::from_millis(self.rng.u64(100..1500));
            self.advance(Instant::now() + pause);
        }
        while let Some(last) = self.scheduled.iter().map(|(at, _)| *at).max() {
            self.advance(last + CHECK_INTERVAL);
        }
        self.check_recovery();
        self.callers.is_finished.store(true, Ordering::Relaxed);
        for thread in threads {
            thread.join().unwrap();
        }
        let observations = Observations {
            outcomes: self.callers.outcomes.lock().unwrap().clone(),
            runs: self.runs.lock().unwrap().clone(),
            disturbances: self.disturbances.clone(),
            drains: std::mem::take(&mut self.drains),
            shutdowns: std::mem::take(&mut self.shutdowns),
        };
        let served = observations.outcomes.iter().filter(|it| it.status() == 200);
        println!(
            "{} of {} served",
            served.count(),
            observations.outcomes.len()
        );
        self.violations.extend(observations.violations());
        if self.violations.is_empty() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            self.violations
                .push(format!("logs in {}", self.folder.display()));
        }
        std::mem::take(&mut self.violations)
    }

    fn start_callers(&mut self) -> Vec<JoinHandle<()>> {
        let caller = |_| {
            let (callers, seed) = (self.callers.clone(), self.rng.u64(..));
            std::thread::spawn(move || callers.run(seed))
        };
        (0..CALLERS).map(caller).collect()
    }

    /// Waits until an instant and runs the scheduled actions that become due.
    fn advance(&mut self, until: Instant) {
        // At least one iteration runs, so that actions which are overdue after a slow step are run even if `until` has
        // passed.
        loop {
            std::thread::sleep(CHECK_INTERVAL);
            let now = Instant::now();
            let (due, remaining) = self.scheduled.drain(..).partition(|(at, _)| *at <= now);
            self.scheduled = remaining;
            let due: Vec<(Instant, Action)> = due;
            due.into_iter().for_each(|(_, it)| self.run_action(it));
            if now >= until {
                return;
            }
        }
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.scheduled.push((Instant::now() + delay, action));
    }

    fn inject(&mut self, fault: Fault) {
        let entry = |number| Scope::Entry(number);
        match fault {
            Fault::Store(number, mode, duration) => {
                self.disturbances.add(entry(number), duration);
                self.entries[number].store.set(mode);
                self.schedule(duration, Action::RestoreStoreLink(number));
            }
            Fault::StoreSilence(number) => {
                self.disturbances.add(entry(number), Duration::ZERO);
                self.entries[number].store.silence();
            }
            Fault::Engine(number, mode, duration) => {
                self.disturbances.add(Scope::All, duration);
                self.engines[number].link.set(mode);
                self.schedule(duration, Action::RestoreEngineLink(number));
            }
            Fault::EngineSilence(number) => {
                self.disturbances.add(Scope::All, Duration::ZERO);
                self.engines[number].link.silence();
            }
            Fault::Crash(number, duration) => {
                self.disturbances.add(Scope::All, duration);
                self.engines[number].crash();
                self.schedule(duration, Action::RestartEngine(number));
            }
            Fault::Drain(number) => {
                self.engines[number].drain();
                let now = Instant::now();
                self.drains.push((number, now, now + DRAIN_DURATION));
                self.schedule(DRAIN_DURATION, Action::RestartEngine(number));
            }
            Fault::Pause(number, duration) => {
                self.disturbances.add(entry(number), duration);
                self.entries[number].signal("-STOP");
                self.schedule(duration, Action::ResumeEntry(number));
            }
            Fault::Kill(number) => {
                let duration = Duration::from_millis(300);
                self.disturbances.add(entry(number), duration);
                self.entries[number].kill();
                self.schedule(duration, Action::StartEntry(number));
            }
            Fault::Shutdown(number) => {
                let duration = Duration::from_secs(GRACE_S);
                let started = self.disturbances.add(entry(number), duration);
                self.shutdowns.push((number, started));
                self.entries[number].signal("-TERM");
                self.schedule(duration, Action::StartEntry(number));
            }
            Fault::Reload(number) => self.entries[number].signal("-HUP"),
            Fault::Configure => self.publish_configuration(),
        }
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::RestoreStoreLink(number) => self.entries[number].store.set(Mode::Pass),
            Action::RestoreEngineLink(number) => self.engines[number].link.set(Mode::Pass),
            Action::RestartEngine(number) => self.engines[number].restart(),
            Action::ResumeEntry(number) => self.entries[number].signal("-CONT"),
            Action::StartEntry(number) => {
                self.entries[number].signal("-CONT");
                self.entries[number].wait_or_kill(Duration::from_secs(1));
                self.entries[number].spawn();
                self.disturbances
                    .add(Scope::Entry(number), Duration::from_millis(500));
            }
            Action::CheckApplied(version, published) => self.check_applied(version, published),
        }
    }

    /// Publishes a configuration with a route that no other configuration has.
    fn publish_configuration(&mut self) {
        self.configuration_version += 1;
        let version = self.configuration_version;
        let text = CONFIG.replace("VERSION", &version.to_string());
        self.store.put("keyed.op", "config", &text);
        let published = Instant::now();
        self.schedule(
            CONFIGURATION_TIMEOUT,
            Action::CheckApplied(version, published),
        );
    }

    /// Checks that undisturbed entries apply a configuration, unless a newer one was published.
    fn check_applied(&mut self, version: u64, published: Instant) {
        if version != self.configuration_version {
            return;
        }
        for (number, entry) in self.entries.iter().enumerate() {
            let status = caller::status(entry.ports.front.address, &format!("/v{version}/x"));
            let is_undisturbed =
                self.disturbances
                    .is_undisturbed(number, published, Instant::now());
            if is_undisturbed && status == Some(404) {
                let since = published.elapsed();
                let violation =
                    format!("e{number} does not apply configuration {version} after {since:?}");
                self.violations.push(violation);
            }
        }
    }

    /// Checks that after the last fault every entry serves every kind of request within [`RECOVERY_TIMEOUT`].
    fn check_recovery(&mut self) {
        self.wait_until_ready("recovery");
        for number in 0..ENTRIES {
            for kind in [Kind::Once, Kind::Retryable, Kind::Events] {
                let until = Instant::now() + RECOVERY_TIMEOUT;
                let callers = self.callers.clone();
                let request = || {
                    let mut stream = caller::connect(callers.fronts[number])?;
                    Some(callers.send(&mut stream, number, kind).status())
                };
                while request() != Some(200) {
                    if Instant::now() > until {
                        self.violations
                            .push(format!("e{number} does not serve {kind:?}"));
                        break;
                    }
                    std::thread::sleep(CHECK_INTERVAL);
                }
            }
        }
    }

    /// Waits until all entries are ready.
    fn wait_until_ready(&mut self, phase: &str) {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        while !self.entries.iter().all(Entry::is_ready) {
            if Instant::now() > until {
                self.violations
                    .push(format!("not all entries are ready: {phase}"));
                return;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

/// Routes for requests that run once, for requests that may be retried and for resumable streams, and a route that
/// identifies the configuration.
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
