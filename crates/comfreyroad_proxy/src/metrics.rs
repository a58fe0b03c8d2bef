//! Prometheus metrics: counters of log events and responses, latency histograms, and gauges that are set from the
//! router's state on each scrape.

use std::sync::atomic::Ordering;
use std::time::Instant;

use comfreyroad::note::Note;
use comfreyroad_router::Router;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::logger;

type Labels = Vec<(&'static str, String)>;

/// Upper bounds of the histogram buckets in seconds: from a call within a zone to the longest response.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

/// Metrics of this process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    events: Family<Labels, Counter>,
    responses: Family<Labels, Counter>,
    response_start: Family<Labels, Histogram>,
    response_end: Family<Labels, Histogram>,
    store_calls: Family<Labels, Histogram>,
    open_requests: Gauge,
    configuration: Gauge,
    entries: Gauge,
    upstreams: Gauge,
    limited_upstreams: Gauge,
    customers_beyond: Gauge,
    ready: Gauge,
    store_lost: Gauge,
    log_lines_lost: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("comfreyroad"),
            events: Family::default(),
            responses: Family::default(),
            response_start: Family::new_with_constructor(histogram),
            response_end: Family::new_with_constructor(histogram),
            store_calls: Family::new_with_constructor(histogram),
            open_requests: Gauge::default(),
            configuration: Gauge::default(),
            entries: Gauge::default(),
            upstreams: Gauge::default(),
            limited_upstreams: Gauge::default(),
            customers_beyond: Gauge::default(),
            ready: Gauge::default(),
            store_lost: Gauge::default(),
            log_lines_lost: Counter::default(),
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
        registry.register("answers", text, self.responses.clone());
        let unit = || Unit::Seconds;
        let text = "Time to the head of an answer by route";
        registry.register_with_unit("first", text, unit(), self.response_start.clone());
        let text = "Time to the end of an answer by route";
        registry.register_with_unit("whole", text, unit(), self.response_end.clone());
        let text = "Time of calls to the store by call and outcome";
        registry.register_with_unit("store_call", text, unit(), self.store_calls.clone());
        registry.register(
            "open_requests",
            "Requests under way",
            self.open_requests.clone(),
        );
        let text = "Number of the configuration in force";
        registry.register("configuration", text, self.configuration.clone());
        registry.register("entries", "Live entries", self.entries.clone());
        registry.register("upstreams", "Known upstreams", self.upstreams.clone());
        let text = "Upstreams that state a rate limit";
        registry.register("limited_upstreams", text, self.limited_upstreams.clone());
        let text = "Customers beyond their share of a pool";
        registry.register("customers_beyond", text, self.customers_beyond.clone());
        registry.register("ready", "Whether the entry is ready", self.ready.clone());
        let text = "Whether the store does not answer";
        registry.register("store_lost", text, self.store_lost.clone());
        let text = "Log lines for which the reader of the log had no room";
        registry.register("log_lines_lost", text, self.log_lines_lost.clone());
    }

    /// Counts a log event.
    pub fn count(&self, note: &Note) {
        let labels = vec![("event", note.kind.number.to_string())];
        self.events.get_or_create(&labels).inc();
    }

    /// Counts a response whose status and headers go to a caller, and observes the time to them.
    pub fn count_response_start(&self, route: &str, status: u16, received: Instant) {
        let labels = vec![("route", route.to_owned()), ("status", status.to_string())];
        self.responses.get_or_create(&labels).inc();
        let labels = vec![("route", route.to_owned())];
        let took = received.elapsed().as_secs_f64();
        self.response_start.get_or_create(&labels).observe(took);
    }

    /// Observes the time to the end of a response.
    pub fn observe_response_end(&self, route: &str, received: Instant) {
        let labels = vec![("route", route.to_owned())];
        let took = received.elapsed().as_secs_f64();
        self.response_end.get_or_create(&labels).observe(took);
    }

    /// Observes the duration of a call to the store.
    pub fn observe_store_call(&self, call: &str, started: Instant, is_good: bool) {
        let outcome = if is_good { "answered" } else { "failed" };
        let labels = vec![("call", call.to_owned()), ("outcome", outcome.to_owned())];
        let took = started.elapsed().as_secs_f64();
        self.store_calls.get_or_create(&labels).observe(took);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self, router: &Router, open_requests: usize) -> String {
        let state = router.state();
        self.open_requests.set(open_requests as i64);
        let generation = state.configuration.active().map_or(0, |it| it.generation);
        self.configuration.set(generation as i64);
        self.entries.set(state.members.fleet().entries.len() as i64);
        self.upstreams.set(state.upstreams.all().count() as i64);
        let limited = state
            .upstreams
            .all()
            .filter(|it| it.stated_rate().is_some());
        self.limited_upstreams.set(limited.count() as i64);
        self.customers_beyond
            .set(state.shares.beyond_count() as i64);
        self.ready.set(state.lifecycle.is_ready().into());
        self.store_lost
            .set(state.subscriptions.is_store_lost().into());
        let lost = logger::lost_lines();
        self.log_lines_lost.inner().store(lost, Ordering::Relaxed);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("cannot encode metrics: {error}");
        }
        text
    }
}
