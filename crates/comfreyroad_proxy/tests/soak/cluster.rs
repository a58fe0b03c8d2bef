//! A cluster of entries with fake engines, a fake store and callers, and the course of a run.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fastrand::Rng;
use rustix::process::Signal;

use super::body::Body;
use super::caller::{self, Callers, Kind, Request};
use super::disturbances::{Disturbances, SETTLE_TIME, Scope};
use super::engine::{Engine, Runs};
use super::entry::{Entry, Ports};
use super::fault::{DRAIN_DURATION, Fault};
use super::health::Health;
use super::history::History;
use super::invariants::{CONFIGURATION_TIMEOUT, Observations};
use super::lifetime::Lifetime;
use super::link::{Link, Mode};
use super::scenario::Scenario;
use super::signals::Signals;
use super::store::Store;

const ENTRIES: usize = 4;
const ENGINES: usize = 4;
/// Time for the cluster to recover after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time that an engine works on a request with which the recovery is checked.
const RECOVERY_WORK: Duration = Duration::from_millis(100);
/// Time in which most entries learn a record, before the store is taken away.
const PROPAGATION: Duration = Duration::from_millis(300);
/// Longest time until what a restored store lacks is written again.
const REWRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of checks for conditions and due actions.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An action scheduled for a later time.
#[derive(Clone, Copy, Debug)]
enum Action {
    RestoreStoreLink(usize),
    RestoreEngineLink(usize),
    RestartEngine(usize),
    ResumeEntry(usize),
    /// Takes the store away for some time, after which it is back from a copy of some age.
    RestoreStore(Duration, Duration),
    ReturnStore,
    /// Writes again what the store has lost.
    WriteAgain,
    StartEntry(usize),
    ShutDownEntry(usize, Signals),
    Configure,
    RestoreHealth(usize),
    /// Checks that all entries apply a configuration.
    CheckApplied(u64, Instant),
}

/// A cluster of entries with fake engines, a fake store and callers.
#[derive(Debug)]
pub(super) struct Cluster {
    scenario: Scenario,
    rng: Rng,
    store: Store,
    history: History,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    callers: Callers,
    runs: Runs,
    disturbances: Disturbances,
    configuration_version: u64,
    scheduled: Vec<(Instant, Action)>,
    drains: Vec<(usize, Instant, Instant)>,
    violations: Vec<String>,
    folder: PathBuf,
}

impl Cluster {
    pub(super) fn start(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let folder = std::env::temp_dir().join(format!(
            "comfreyroad-soak-{}-{scenario:?}-{seed}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let (store, address) = Store::start();
        let runs = Runs::default();
        let engine =
            |number| Engine::start(number, store.clone(), runs.clone(), scenario, rng.u64(..));
        let engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
        let ports: Vec<Ports> = (0..ENTRIES).map(|_| Ports::acquire()).collect();
        let seeds: Vec<_> = ports.iter().take(3).map(|it| it.control.address).collect();
        let grace = scenario.grace();
        let entry = |(number, ports)| {
            Entry::start(number, ports, &seeds, Link::to(address), grace, &folder)
        };
        let entries: Vec<Entry> = ports.into_iter().enumerate().map(entry).collect();
        let fronts = entries.iter().map(|it| it.ports.front.address).collect();
        let callers = Callers::new(fronts, scenario);
        let mut cluster = Self {
            scenario,
            rng,
            store,
            history: History::default(),
            engines,
            entries,
            callers,
            runs,
            disturbances: Disturbances::default(),
            configuration_version: 0,
            scheduled: Vec::new(),
            drains: Vec::new(),
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
        let end = Instant::now() + self.scenario.fault_phase();
        while Instant::now() < end {
            let fault = self.scenario.fault(&mut self.rng, ENTRIES, ENGINES);
            println!("{fault:?}");
            self.inject(fault);
            let interval = self.scenario.fault_interval(&mut self.rng);
            self.advance(Instant::now() + interval);
        }
        while let Some(last) = self.scheduled.iter().map(|(at, _)| *at).max() {
            self.advance(last + CHECK_INTERVAL);
        }
        if self.scenario == Scenario::PlannedStops {
            self.callers.is_finished.store(true, Ordering::Relaxed);
        }
        self.check_recovery();
        self.check_configuration();
        self.callers.is_finished.store(true, Ordering::Relaxed);
        for thread in threads {
            thread.join().unwrap();
        }
        let lifetimes = self.lifetimes();
        let observations = Observations {
            outcomes: self.callers.outcomes.lock().unwrap().clone(),
            runs: self.runs.lock().unwrap().clone(),
            disturbances: self.disturbances.clone(),
            drains: std::mem::take(&mut self.drains),
            lifetimes,
            scenario: self.scenario,
        };
        println!("{}", observations.summary());
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
        (0..self.scenario.callers()).map(caller).collect()
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
            self.watch_entries();
            self.history.take_due(&self.store);
            if now >= until {
                return;
            }
        }
    }

    /// Notes which entries are ready, and restarts those that ended by themselves.
    fn watch_entries(&mut self) {
        for number in 0..ENTRIES {
            let is_start = |(_, action): &(Instant, Action)| matches!(action, Action::StartEntry(it) if *it == number);
            let entry = &mut self.entries[number];
            if !entry.is_terminated() {
                entry.handles_signals();
            }
            if !entry.is_running() && !self.scheduled.iter().any(is_start) {
                self.schedule(Duration::ZERO, Action::StartEntry(number));
            }
        }
    }

    fn lifetimes(&mut self) -> Vec<Lifetime> {
        let lifetimes = |entry: &mut Entry| {
            entry.is_running();
            entry.lifetimes.clone()
        };
        self.entries.iter_mut().flat_map(lifetimes).collect()
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
            Fault::Drain(number) => self.drain(number, DRAIN_DURATION),
            Fault::Pause(number, duration) => {
                self.disturbances.add(entry(number), duration);
                self.entries[number].signal(Signal::STOP);
                self.schedule(duration, Action::ResumeEntry(number));
            }
            Fault::Kill(number) => {
                let duration = Duration::from_millis(300);
                self.disturbances.add(entry(number), duration);
                self.entries[number].kill();
                self.schedule(duration, Action::StartEntry(number));
            }
            Fault::Shutdown(number) => self.shut_down(number, Signals::ONE),
            planned => self.inject_planned(planned),
        }
    }

    /// Injects what is planned work or happens beside it, and is no fault of an entry.
    fn inject_planned(&mut self, fault: Fault) {
        match fault {
            Fault::Shutdowns(first, count, interval, signals) => {
                for index in 0..count {
                    let action = Action::ShutDownEntry((first + index) % ENTRIES, signals);
                    self.schedule(interval * index as u32, action);
                }
            }
            Fault::Reload(number, signals) => {
                if self.may_signal(number) {
                    self.entries[number].signal_in_series(Signal::HUP, signals);
                }
            }
            Fault::Shrink(count, duration) => {
                for number in count..ENGINES {
                    self.drain(number, duration);
                }
            }
            Fault::Restore(changes, absence, age) => {
                (0..changes).for_each(|_| self.publish_configuration());
                self.schedule(PROPAGATION, Action::RestoreStore(absence, age));
            }
            Fault::Configure => self.publish_configuration(),
            Fault::ConfigureInSeries(interval) => {
                for number in 0..3 {
                    self.schedule(interval * number, Action::Configure);
                }
            }
            Fault::Weaken(number, health, duration) => {
                self.engines[number].set_health(health);
                self.schedule(duration, Action::RestoreHealth(number));
            }
            Fault::Starve(number, duty, duration) => {
                if self.may_signal(number) {
                    if duty.has_long_rests() {
                        self.disturbances
                            .add_planned(Scope::Entry(number), duration);
                    }
                    self.entries[number].starve(duty, Instant::now() + duration);
                }
            }
            fault => unreachable!("{fault:?} is no planned work"),
        }
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::RestoreStoreLink(number) => self.entries[number].store.set(Mode::Pass),
            Action::RestoreEngineLink(number) => self.engines[number].link.set(Mode::Pass),
            Action::RestartEngine(number) => self.engines[number].restart(),
            Action::RestoreStore(absence, age) => self.restore_store(absence, age),
            Action::ReturnStore => self.store.set_away(false),
            Action::WriteAgain => {
                self.write_configuration();
                self.engines.iter().for_each(Engine::register_again);
            }
            Action::ResumeEntry(number) => self.entries[number].signal(Signal::CONT),
            Action::StartEntry(number) => {
                self.entries[number].signal(Signal::CONT);
                let timeout = self.scenario.kill_delay();
                if self.entries[number].is_terminated()
                    && !self.entries[number].wait_or_kill(timeout)
                {
                    println!("e{number} was killed at the end of its grace period");
                }
                self.entries[number].spawn();
                self.disturbances
                    .add_planned(Scope::Entry(number), Duration::from_millis(500));
            }
            Action::ShutDownEntry(number, signals) => self.shut_down(number, signals),
            Action::Configure => self.publish_configuration(),
            Action::RestoreHealth(number) => self.engines[number].set_health(Health::Sound),
            Action::CheckApplied(version, published) => self.check_applied(version, published),
        }
    }

    /// Takes the store away, unless it is, and puts a copy in its place.
    fn restore_store(&mut self, absence: Duration, age: Duration) {
        let is_return = |(_, action): &(Instant, Action)| matches!(action, Action::ReturnStore);
        if self.scheduled.iter().any(is_return) {
            return;
        }
        let Some(copy) = self.history.copy(age) else {
            return;
        };
        self.disturbances.add(Scope::All, absence + REWRITE_TIMEOUT);
        self.store.set_away(true);
        self.store.restore(copy);
        self.schedule(absence, Action::ReturnStore);
        let delay = REWRITE_TIMEOUT.mul_f64(self.rng.f64());
        self.schedule(absence + delay, Action::WriteAgain);
        let settled = absence + REWRITE_TIMEOUT + SETTLE_TIME + CHECK_INTERVAL;
        self.schedule(settled, Action::Configure);
    }

    /// Drains an engine, which restarts after some time, unless it is draining already.
    fn drain(&mut self, number: usize, duration: Duration) {
        let now = Instant::now();
        let is_current = |(engine, _, end): &(usize, Instant, Instant)| {
            *engine == number && now < *end + CHECK_INTERVAL
        };
        if self.drains.iter().any(is_current) {
            return;
        }
        self.engines[number].drain();
        self.drains.push((number, now, now + duration));
        self.schedule(duration, Action::RestartEngine(number));
    }

    /// Whether an entry may get a signal that it handles.
    fn may_signal(&mut self, number: usize) -> bool {
        let is_planned = self.scenario == Scenario::PlannedStops;
        !is_planned || self.entries[number].handles_signals()
    }

    /// Shuts an entry down, or tells it again.
    fn shut_down(&mut self, number: usize, signals: Signals) {
        if !self.may_signal(number) || !self.entries[number].is_running() {
            return;
        }
        if !self.entries[number].is_terminated() {
            let grace = self.scenario.grace();
            self.disturbances.add_planned(Scope::Entry(number), grace);
            self.schedule(grace, Action::StartEntry(number));
        }
        self.entries[number].signal_in_series(Signal::TERM, signals);
    }

    /// Publishes a configuration with a route that no other configuration has.
    fn publish_configuration(&mut self) {
        self.configuration_version += 1;
        let version = self.configuration_version;
        self.write_configuration();
        let published = Instant::now();
        self.schedule(
            CONFIGURATION_TIMEOUT,
            Action::CheckApplied(version, published),
        );
    }

    /// Writes the configuration that was published last.
    fn write_configuration(&self) {
        let timeout = self.scenario.request_timeout().as_millis();
        let text = CONFIG
            .replace("VERSION", &self.configuration_version.to_string())
            .replace("TIMEOUT", &timeout.to_string());
        self.store.put("keyed.op", "config", &text);
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
                    let request = Request {
                        kind,
                        work: RECOVERY_WORK,
                        body: Body::default(),
                        reading_pause: Duration::ZERO,
                    };
                    Some(callers.send(&mut stream, number, &request).status())
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

    /// Checks that after the last fault every entry applies the newest configuration within [`RECOVERY_TIMEOUT`].
    fn check_configuration(&mut self) {
        let path = format!("/v{}/x", self.configuration_version);
        let until = Instant::now() + RECOVERY_TIMEOUT;
        for (number, entry) in self.entries.iter().enumerate() {
            while caller::status(entry.ports.front.address, &path) == Some(404) {
                if Instant::now() > until {
                    let version = self.configuration_version;
                    self.violations
                        .push(format!("e{number} never applies configuration {version}"));
                    break;
                }
                std::thread::sleep(CHECK_INTERVAL);
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
 {"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":TIMEOUT,"target_latency_ms":1000,
  "service":"pool","max_attempts":1},
 {"name":"again","host":"h","path_prefix":"/again/","kind":"idempotent","timeout_ms":TIMEOUT,"target_latency_ms":1000,
  "service":"pool","max_attempts":3},
 {"name":"events","host":"h","path_prefix":"/events/","kind":"streaming","timeout_ms":TIMEOUT,"target_latency_ms":1000,
  "service":"pool","max_attempts":3,"resumable":true,"target_gap_ms":500},
 {"name":"v","host":"h","path_prefix":"/vVERSION/","kind":"idempotent","timeout_ms":TIMEOUT,"target_latency_ms":1000,
  "service":"pool"}],
 "services":[{"name":"pool","max_conns":200}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"customer","api_keys":["key"]}]}"#;
