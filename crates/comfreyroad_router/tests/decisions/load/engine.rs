use std::time::{Duration, Instant};

use comfreyroad_router::upstream::Load;
use indexmap::IndexSet;

/// Requests that an engine processes concurrently.
pub(super) const SLOTS: usize = 24;
/// Prompt tokens that the small model processes in a millisecond.
const TOKENS_PER_MS: f64 = 100.0;
/// Time for an event of the small model on an idle engine.
const EVENT_MS: f64 = 8.0;
/// How much longer the large model takes than the small one.
const LARGE_FACTOR: f64 = 5.0;

/// Factor of the usual time of work from which an engine counts as slow.
pub(super) const SLOW: f64 = 5.0;

/// A request at an engine.
#[derive(Debug)]
pub(super) struct Job {
    /// Index of the call in the fleet.
    pub(super) call: usize,
    pub(super) priority: u8,
    prefill_ms: f64,
    decode_ms: f64,
    has_started: bool,
}

/// What an engine produces in a step.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Output {
    First(usize),
    Finished(usize),
}

/// A batching engine: prompts are processed one after the other, events of all running requests side by side.
#[derive(Debug)]
pub(super) struct Engine {
    running: Vec<Job>,
    waiting: Vec<Job>,
    cached: IndexSet<String>,
    /// Accepts requests and produces nothing.
    pub(super) is_mute: bool,
    /// How long work takes, as a factor of the usual.
    pub(super) slowness: f64,
    /// Until when it is down after a crash. It accepts no connections.
    pub(super) down_until: Option<Instant>,
    pub(super) incarnation: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            running: Vec::new(),
            waiting: Vec::new(),
            cached: IndexSet::new(),
            is_mute: false,
            slowness: 1.0,
            down_until: None,
            incarnation: 0,
        }
    }
}

/// What a request asks of an engine.
#[derive(Debug)]
pub(super) struct Work<'a> {
    pub(super) prefix: &'a str,
    pub(super) shared_tokens: u32,
    pub(super) own_tokens: u32,
    pub(super) events: u32,
    pub(super) is_large: bool,
}

impl Engine {
    pub(super) fn accept(&mut self, call: usize, priority: u8, work: &Work<'_>) {
        let key = format!("{}/{}", work.prefix, work.is_large);
        let is_cached = !self.cached.insert(key);
        let shared = if is_cached { 0 } else { work.shared_tokens };
        let factor = if work.is_large { LARGE_FACTOR } else { 1.0 };
        let job = Job {
            call,
            priority,
            prefill_ms: f64::from(shared + work.own_tokens) / TOKENS_PER_MS * factor,
            decode_ms: f64::from(work.events) * EVENT_MS * factor,
            has_started: false,
        };
        let at = self.waiting.partition_point(|it| it.priority <= priority);
        self.waiting.insert(at, job);
    }

    /// Crashes until a given time and loses all requests and its cache.
    pub(super) fn crash(&mut self, until: Instant) {
        *self = Self {
            down_until: Some(until),
            incarnation: self.incarnation + 1,
            ..Self::default()
        };
    }

    pub(super) fn cancel(&mut self, call: usize) {
        self.running.retain(|job| job.call != call);
        self.waiting.retain(|job| job.call != call);
    }

    pub(super) fn load(&self, now: Instant) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            work_time_percent: (f64::from(Load::USUAL_WORK_TIME) * self.slowness) as u32,
            reported_at: now,
            own_requests: 0,
            is_relayed: false,
        }
    }

    /// Works for one step.
    pub(super) fn step(&mut self, step: Duration) -> Vec<Output> {
        if self.is_mute {
            return Vec::new();
        }
        while self.running.len() < SLOTS && !self.waiting.is_empty() {
            self.running.push(self.waiting.remove(0));
        }
        let ms = step.as_secs_f64() * 1000.0 / self.slowness;
        let speed = 1.0 / (1.0 + self.running.len() as f64 / SLOTS as f64);
        let mut outputs = Vec::new();
        let mut prefill_ms = ms;
        for job in &mut self.running {
            let used = prefill_ms.min(job.prefill_ms);
            job.prefill_ms -= used;
            prefill_ms -= used;
            if job.prefill_ms > 0.0 {
                continue;
            }
            if !job.has_started {
                job.has_started = true;
                outputs.push(Output::First(job.call));
            }
            job.decode_ms -= ms * speed;
            if job.decode_ms <= 0.0 {
                outputs.push(Output::Finished(job.call));
            }
        }
        let is_over = |job: &Job| outputs.contains(&Output::Finished(job.call));
        self.running.retain(|job| !is_over(job));
        outputs
    }
}
