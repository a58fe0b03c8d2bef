//! What was sent, answered and run.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One line of the record.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: Duration,
    pub text: String,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub engine: String,
    pub request: String,
    /// How the engine dealt with it.
    pub what: &'static str,
}

/// What a client got for a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub request: String,
    pub status: u16,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

/// The record of a run; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    started_at: Instant,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lines: Vec<Line>,
    arrivals: Vec<Arrival>,
    outcomes: Vec<Outcome>,
    crashes: Vec<Duration>,
    // The entry to which a client sent a request and when, by the request's id.
    senders: HashMap<String, (usize, Duration)>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Arc::default(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Sleeps until a time since the start.
    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    pub fn note(&self, text: impl Into<String>) {
        let (at, text) = (self.now(), text.into());
        self.with(|state| state.lines.push(Line { at, text }));
    }

    /// Notes that a client sends a request to an entry.
    pub fn send(&self, request: &str, entry: usize, what: &str) {
        self.note(format!("client sends {request} to entry {entry}: {what}"));
        let (request, at) = (request.to_owned(), self.now());
        self.with(|state| state.senders.insert(request, (entry, at)));
    }

    /// Notes what a client got; status 0 if it got no answer.
    pub fn end(&self, request: &str, status: u16, is_whole: bool) {
        let end = if is_whole { "whole" } else { "broken off" };
        self.note(format!("client gets {request}: {status}, {end}"));
        let outcome = Outcome {
            request: request.to_owned(),
            status,
            is_whole,
        };
        self.with(|state| state.outcomes.push(outcome));
    }

    /// What clients have got so far.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.with(|state| state.outcomes.clone())
    }

    /// Notes that a request reached an engine.
    pub fn arrive(&self, engine: &str, request: &str, what: &'static str) {
        self.note(format!("engine {engine} gets {request}: {what}"));
        let arrival = Arrival {
            at: self.now(),
            engine: engine.to_owned(),
            request: request.to_owned(),
            what,
        };
        self.with(|state| state.arrivals.push(arrival));
    }

    /// Notes that an engine crashes.
    pub fn crash(&self, engine: &str) {
        self.note(format!("engine {engine} crashes"));
        let at = self.now();
        self.with(|state| state.crashes.push(at));
    }

    /// When engines have crashed so far, in the order of time.
    pub fn crashes(&self) -> Vec<Duration> {
        let mut crashes = self.with(|state| state.crashes.clone());
        crashes.sort();
        crashes
    }

    /// Number of arrivals of a kind at an engine in the last second.
    pub fn recent_arrivals(&self, engine: &str, what: &str) -> usize {
        let from = self.now().saturating_sub(Duration::from_secs(1));
        self.with(|state| {
            let recent = state.arrivals.iter().rev().take_while(|it| it.at >= from);
            recent
                .filter(|it| it.engine == engine && it.what == what)
                .count()
        })
    }

    /// The arrivals so far, in the order of time.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = self.with(|state| state.arrivals.clone());
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// The entry to which a client sent a request, and when.
    pub fn sender(&self, request: &str) -> Option<(usize, Duration)> {
        self.with(|state| state.senders.get(request).copied())
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.with(|state| state.lines.clone());
        lines.sort_by_key(|line| line.at);
        let line = |it: &Line| format!("{:9.3} s  {}\n", it.at.as_secs_f64(), it.text);
        std::fs::write(path, lines.iter().map(line).collect::<String>())
    }

    fn with<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.state.lock().expect("the lock of the record"))
    }
}
