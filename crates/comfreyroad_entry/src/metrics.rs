//! Prometheus metrics. Counters are updated by each action; gauges are set from the state at each scrape.

use std::time::Instant;

use comfreyroad::action::Action;
use comfreyroad::{Entry, refusal::Ran};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;

/// Metrics of this entry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    finished: Counter,
    aborted: Counter,
    refused: Family<Labels, Counter>,
    sent: Counter,
    notes: Family<Labels, Counter>,
    at_risk: Gauge,
    calls: Gauge,
    pending_records: Gauge,
    generation: Gauge,
    rules_age_ms: Gauge,
    members: Gauge,
    ready: Gauge,
    upstreams: Family<Labels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("comfreyroad");
        macro_rules! register {
            ($kind:ty, $name:literal, $help:literal) => {{
                let metric = <$kind>::default();
                registry.register($name, $help, metric.clone());
                metric
            }};
        }
        Self {
            finished: register!(Counter, "answers", "Answers that were completed"),
            aborted: register!(Counter, "answers_broken", "Answers that were aborted"),
            refused: register!(Family<Labels, Counter>, "refusals", "Refusals by code and by whether the request may have run"),
            sent: register!(Counter, "attempts", "Attempts sent to upstreams"),
            notes: register!(Family<Labels, Counter>, "events", "Log events by number"),
            at_risk: register!(
                Gauge,
                "bills_at_risk",
                "Answers that ended before their bill was on the log"
            ),
            calls: register!(Gauge, "calls", "Calls in progress"),
            pending_records: register!(
                Gauge,
                "records_pending",
                "Records not yet confirmed to be on the log"
            ),
            generation: register!(
                Gauge,
                "rules_generation",
                "Generation of the rules in force"
            ),
            rules_age_ms: register!(
                Gauge,
                "rules_age_ms",
                "Milliseconds since the rules were last confirmed"
            ),
            members: register!(Gauge, "entries", "Live entries, including this one"),
            ready: register!(Gauge, "ready", "1 if the load balancer may send requests"),
            upstreams: register!(Family<Labels, Gauge>, "upstreams", "Upstreams by stage"),
            registry,
        }
    }
}

impl Metrics {
    /// Updates the counters for an action.
    pub fn count(&self, action: &Action) {
        match action {
            Action::Finish { .. } => drop(self.finished.inc()),
            Action::Abort(_) => drop(self.aborted.inc()),
            Action::Send(_) => drop(self.sent.inc()),
            Action::Refuse { refusal, .. } => {
                let ran = if refusal.ran() == Ran::No {
                    "no"
                } else {
                    "maybe"
                };
                let labels = vec![
                    ("code", refusal.code().to_string()),
                    ("ran", ran.to_owned()),
                ];
                self.refused.get_or_create(&labels).inc();
            }
            Action::Note(note) => {
                let labels = vec![("number", note.kind.number.to_string())];
                self.notes.get_or_create(&labels).inc();
            }
            _ => {}
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self, entry: &Entry) -> String {
        self.update_gauges(entry);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn update_gauges(&self, entry: &Entry) {
        let state = entry.state();
        let age = state
            .rules
            .confirmed_at()
            .map(|at| Instant::now().saturating_duration_since(at));
        self.rules_age_ms
            .set(age.map_or(-1, |age| gauge_value(age.as_millis())));
        self.generation.set(gauge_value(state.rules.generation()));
        self.at_risk.set(gauge_value(state.ledger.at_risk()));
        self.calls.set(gauge_value(entry.dispatcher().calls()));
        self.pending_records
            .set(gauge_value(state.appends.pending()));
        self.members
            .set(gauge_value(state.members.view().members.len()));
        self.ready.set(state.lifecycle.is_ready().into());
        self.upstreams.clear();
        for upstream in state.upstreams.all() {
            self.upstreams
                .get_or_create(&vec![("stage", upstream.stage().to_owned())])
                .inc();
        }
    }
}

fn gauge_value(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}
