//! Prometheus metrics: counters of log events, histograms of times, and gauges read from the state when asked for.

use std::time::Instant;

use comfreyroad::note::Note;
use comfreyroad_router::Router;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

type Labels = Vec<(&'static str, String)>;

/// Bounds of the buckets of times, in seconds: from a call inside a zone to the longest answer.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

/// What this process counts and shows.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    events: Family<Labels, Counter>,
    answers: Family<Labels, Counter>,
    first: Family<Labels, Histogram>,
    whole: Family<Labels, Histogram>,
    store: Family<Labels, Histogram>,
    open: Gauge,
    generation: Gauge,
    entries: Gauge,
    upstreams: Gauge,
    ready: Gauge,
    store_lost: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("comfreyroad"),
            events: Family::default(),
            answers: Family::default(),
            first: Family::new_with_constructor(histogram),
            whole: Family::new_with_constructor(histogram),
            store: Family::new_with_constructor(histogram),
            open: Gauge::default(),
            generation: Gauge::default(),
            entries: Gauge::default(),
            upstreams: Gauge::default(),
            ready: Gauge::default(),
            store_lost: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("events", "Log events by number", self.events.clone());
        let text = "Answers to callers by route and HTTP status";
        registry.register("answers", text, self.answers.clone());
        let unit = || Unit::Seconds;
        let text = "Time to the head of an answer by route";
        registry.register_with_unit("first", text, unit(), self.first.clone());
        let text = "Time to the end of an answer by route";
        registry.register_with_unit("whole", text, unit(), self.whole.clone());
        let text = "Time of calls to the store by call and outcome";
        registry.register_with_unit("store_call", text, unit(), self.store.clone());
        registry.register("open_requests", "Requests under way", self.open.clone());
        let text = "Number of the configuration in force";
        registry.register("configuration", text, self.generation.clone());
        registry.register("entries", "Live entries", self.entries.clone());
        registry.register("upstreams", "Known upstreams", self.upstreams.clone());
        registry.register("ready", "Whether the entry is ready", self.ready.clone());
        let text = "Whether the store does not answer";
        registry.register("store_lost", text, self.store_lost.clone());
    }

    /// Counts a log event.
    pub fn count(&self, note: &Note) {
        let labels = vec![("event", note.kind.number.to_string())];
        self.events.get_or_create(&labels).inc();
    }

    /// Counts an answer whose head goes to a caller.
    pub fn answered(&self, route: &str, status: u16, received: Instant) {
        let labels = vec![("route", route.to_owned()), ("status", status.to_string())];
        self.answers.get_or_create(&labels).inc();
        let labels = vec![("route", route.to_owned())];
        let took = received.elapsed().as_secs_f64();
        self.first.get_or_create(&labels).observe(took);
    }

    /// Counts an answer that has come to its end.
    pub fn finished(&self, route: &str, received: Instant) {
        let labels = vec![("route", route.to_owned())];
        let took = received.elapsed().as_secs_f64();
        self.whole.get_or_create(&labels).observe(took);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: &str, started: Instant, is_good: bool) {
        let outcome = if is_good { "answered" } else { "failed" };
        let labels = vec![("call", call.to_owned()), ("outcome", outcome.to_owned())];
        let took = started.elapsed().as_secs_f64();
        self.store.get_or_create(&labels).observe(took);
    }

    /// All metrics as text.
    pub fn encode(&self, router: &Router, open: usize) -> String {
        let state = router.state();
        self.open.set(open as i64);
        let generation = state.configuration.active().map_or(0, |it| it.generation);
        self.generation.set(generation as i64);
        self.entries.set(state.members.fleet().entries.len() as i64);
        self.upstreams.set(state.upstreams.all().count() as i64);
        self.ready.set(state.lifecycle.is_ready().into());
        self.store_lost
            .set(state.subscriptions.is_store_lost().into());
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("encode metrics: {error}");
        }
        text
    }
}
